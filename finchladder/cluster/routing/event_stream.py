"""Server-sent events: splits a stream into complete events, so that it can be resumed after the last one."""

EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class EventBuffer:
    """Releases complete events and remembers the last event id. Memory: one incomplete event."""

    def __init__(self) -> None:
        """Starts before the first byte of a stream."""
        self._incomplete = b""
        self.last_event_id = ""

    def feed(self, data: bytes) -> bytes:
        """Adds bytes as received; returns the bytes of all events that are complete now."""
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
        first_line_start = 0 if events.startswith(ID_FIELD) else -1
        start = max(events.rfind(b"\n" + ID_FIELD), first_line_start)
        if start < 0:
            return
        line = events[start:].lstrip(b"\n").split(b"\n", 1)[0]
        self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")

    def discard_incomplete(self) -> None:
        """Drops an event that was cut off."""
        self._incomplete = b""

    @property
    def has_incomplete(self) -> bool:
        """Whether an event was received in part."""
        return bool(self._incomplete)
