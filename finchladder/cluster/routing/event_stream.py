"""Server-sent events of a stream: cut into whole events, so that a broken stream can be taken up after the
last one.
"""

EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")


class EventBuffer:
    """Cuts bytes into whole events and remembers the last id. Memory: one unfinished event."""

    def __init__(self) -> None:
        self._incomplete = b""
        self.last_event_id = ""

    def feed(self, data: bytes) -> bytes:
        """The bytes of all events that are whole now; the rest is kept."""
        self._incomplete += data
        end = max(self._last_event_end(separator) for separator in EVENT_SEPARATORS)
        whole, self._incomplete = self._incomplete[:end], self._incomplete[end:]
        self._record_last_event_id(whole)
        return whole

    def _last_event_end(self, separator: bytes) -> int:
        found = self._incomplete.rfind(separator)
        return 0 if found < 0 else found + len(separator)

    def _record_last_event_id(self, events: bytes) -> None:
        start = max(events.rfind(b"\nid:"), 0 if events.startswith(b"id:") else -1)
        if start < 0:
            return
        line = events[start:].lstrip(b"\n").split(b"\n", 1)[0]
        self.last_event_id = line[3:].strip().decode("latin-1")

    def discard_incomplete(self) -> None:
        """Forgets an event that broke off."""
        self._incomplete = b""

    @property
    def has_incomplete(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._incomplete)
