"""Server-sent events of a stream: cut into whole events, so that a broken stream can be taken up after the
last one.
"""

SEPARATORS = (b"\n\n", b"\r\n\r\n")


class EventCutter:
    """Cuts bytes into whole events and remembers the last id. Memory: one unfinished event."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """The bytes of all events that are whole now; the rest is kept."""
        self._rest += data
        end = max(self._end_of_last(separator) for separator in SEPARATORS)
        whole, self._rest = self._rest[:end], self._rest[end:]
        self._note_id(whole)
        return whole

    def _end_of_last(self, separator: bytes) -> int:
        found = self._rest.rfind(separator)
        return 0 if found < 0 else found + len(separator)

    def _note_id(self, whole: bytes) -> None:
        start = max(whole.rfind(b"\nid:"), 0 if whole.startswith(b"id:") else -1)
        if start < 0:
            return
        line = whole[start:].lstrip(b"\n").split(b"\n", 1)[0]
        self.last_id = line[3:].strip().decode("latin-1")

    def drop_rest(self) -> None:
        """Forgets an event that broke off."""
        self._rest = b""

    @property
    def unfinished(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest)
