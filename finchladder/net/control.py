"""Control calls: what is asked of a running dispatcher at its one address, beside jobs and call-backs."""

from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import unquote

import msgspec

from finchladder.net.http1 import BadMessage, Head
from finchladder.net.module import Clock
from finchladder.status import JobStatus

STATUS = "/_status/"
JSON = "Content-Type: application/json"


class Reply(NamedTuple):
    status: int
    body: bytes
    fields: tuple[str, ...] = ()


class Controls:
    """Knows the features that are on; a path that belongs to none of them is none of its business."""

    def __init__(self, clock: Clock, status: JobStatus | None) -> None:
        self.clock, self.status = clock, status

    def answer(self, head: Head, body: bytes) -> Reply | None:
        """None: no control call. BadMessage: one that can't be used."""
        path = head.target.partition("?")[0]
        if self.status is not None and path.startswith(STATUS):
            return self._by_get(head, lambda: self._status(unquote(path.removeprefix(STATUS))))
        return None

    def _by_get(self, head: Head, answer: Callable[[], Reply]) -> Reply:
        if head.method != "GET":
            raise BadMessage(405, "this is asked for by GET", allow="GET")
        return answer()

    def _status(self, id: str) -> Reply:
        assert self.status is not None
        shown = self.status.look(self.clock(), id)
        if shown is None:
            return Reply(404, b"no job of this id is known here\n")
        return Reply(200, msgspec.json.encode(shown), (JSON,))
