"""Splits a stream of server-sent events into complete events, so that it can be resumed after any event."""

EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class EventBuffer:
    """Separates complete events from an incomplete one, and stores the id of the last complete event."""

    def __init__(self) -> None:
        """Creates an empty buffer for the start of a stream."""
        self._incomplete = b""
        self.last_event_id = ""

    def feed(self, data: bytes) -> bytes:
        """Appends received bytes; returns and removes the bytes of all complete events."""
        self._incomplete += data
        end = max(self._last_event_end(separator) for separator in EVENT_SEPARATORS)
        complete = self._incomplete[:end]
        self._incomplete = self._incomplete[end:]
        self._record_last_event_id(complete)
        return complete

    def _last_event_end(self, separator: bytes) -> int:
        start = self._incomplete.rfind(separator)
        return 0 if start < 0 else start + len(separator)

    def _record_last_event_id(self, events: bytes) -> None:
        first_id_start = 0 if events.startswith(ID_FIELD) else -1
        start = max(events.rfind(b"\n" + ID_FIELD), first_id_start)
        if start < 0:
            return
        id_field = events[start:].lstrip(b"\n").split(b"\n", 1)[0]
        self.last_event_id = id_field[len(ID_FIELD) :].strip().decode("latin-1")

    def discard_incomplete(self) -> None:
        """Discards the bytes of an event that was interrupted by the end of the stream."""
        self._incomplete = b""

    @property
    def has_incomplete(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._incomplete)
