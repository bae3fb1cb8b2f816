"""Capture: what goes into the decisions and comes out of them, as JSON lines in a ring. No clock, no sockets.

An input's line and those of its decisions make one block. The ring is made of segments; each but the first
begins with the state of the decisions, so that it can be replayed though the start is lost.
"""

import math
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Protocol

import msgspec

from finchladder.config.options import CaptureOptions
from finchladder.core import api
from finchladder.core.api import Ending
from finchladder.core.routing.limited_dispatcher import NewRoutes
from finchladder.features.fault_injection import Order
from finchladder.features.request_admission import Verdict

PARTS = 8  # segments in a full ring: what is lost at once when the oldest goes
OPENING = 256  # bytes kept free for the first line of a dump
PIECE = 64 * 1024
MOST_SKIPPED = 64  # times that no state is tried after one that was too large
AGAIN = 10.0  # seconds until a new file is tried after one that could not be written
REPORT, NAME = 16, 32  # values of a load report, and letters of their names; no decision looks at it today

STATES = {
    Ending.OK: "done",
    Ending.ERROR: "failed",
    Ending.OVERLOADED: "returned",
    Ending.BROKEN: "lost",
    Ending.TIMED_OUT: "timed_out",
    Ending.UNREACHABLE: "unreachable",
    Ending.CANCELLED: "cancelled",
    Ending.VOID: "void",
    Ending.UNKNOWN: "unknown",
}
Line = dict[str, Any]
encode = msgspec.json.Encoder().encode


def in_line(t: float, e: api.Event | NewRoutes) -> Line:
    """`t` is written with all the digits that bring back the very same float."""
    if isinstance(e, api.Request):
        line: Line = {"t": t, "in": "request", "id": e.id, "class": e.job_class, "patience": e.timeout_s}
        more = {"slots": e.slots, "key": e.key, "tenant": e.tenant, "memory": e.memory, "hint": e.work_hint}
        more |= {"route": e.route, "repeat": e.is_client_retry or None}
        return line | {name: value for name, value in more.items() if value is not None}
    if isinstance(e, api.Started):
        return {"t": t, "in": "event", "id": e.request, "state": "started", "attempt": e.attempt}
    if isinstance(e, api.Progress):
        told = {"state": "running", "attempt": e.attempt, "share": e.done_share}
        return {"t": t, "in": "event", "id": e.request} | told
    if isinstance(e, api.Ended):
        ended = {
            "state": STATES[e.ending],
            "attempt": e.attempt,
            "finished": e.finished,
            "took": e.duration_s,
        }
        line = {"t": t, "in": "event", "id": e.request} | ended
        return line | ({"report": _report(e.report)} if e.report else {})
    if isinstance(e, api.Timer):
        return {"t": t, "in": "timer", "token": e.token}
    if isinstance(e, api.LoopStall):
        return {"t": t, "in": "unseen", "seconds": e.duration_s}
    if isinstance(e, api.ClientDisconnected):
        return {"t": t, "in": "gone", "id": e.request}
    if isinstance(e, api.WorkerList):
        return {"t": t, "in": "list", "kind": e.kind, "entries": e.entries}
    if isinstance(e, NewRoutes):
        return {"t": t, "in": "routes", "routes": e.routes.all}
    raise TypeError(f"a {type(e).__name__} has no line")  # nothing here makes the others


def _report(report: dict[str, float]) -> dict[str, float]:
    usable = [(n, v) for n, v in report.items() if len(n) <= NAME and math.isfinite(v)]
    return dict(usable[:REPORT])


def out_line(t: float, a: api.Action) -> Line:
    if isinstance(a, api.Send):
        line: Line = {"t": t, "out": "send", "id": a.request, "server": a.worker}
        return line | ({"timeout": a.timeout_s} if a.timeout_s else {})
    if isinstance(a, api.SetTimer):
        return {"t": t, "out": "timer", "after": a.delay_s, "token": a.token}
    if isinstance(a, api.Cancel):
        return {"t": t, "out": "cancel", "id": a.request, "attempt": a.attempt}
    if isinstance(a, api.Reject):
        return {"t": t, "out": "refuse", "id": a.request, "retry_after": a.retry_after_s}
    if isinstance(a, api.Fail):
        return {"t": t, "out": "fail", "id": a.request}
    if isinstance(a, api.Subscribe):
        return {"t": t, "out": "subscribe", "on": a.on}
    if isinstance(a, api.Broadcast):
        return {"t": t, "out": "tell", "data": a.data}
    return {"t": t, "out": "log", "text": a.text}


def decided_lines(t: float, actions: Sequence[api.Action], error: Exception | None) -> list[Line]:
    if error is not None:
        return [{"t": t, "out": "error", "error": type(error).__name__}]
    return [out_line(t, a) for a in actions]


def judged_lines(t: float, id: str, verdict: Verdict) -> list[Line]:
    """A request that is let through at once has no line of its own."""
    if verdict.wait > 0:
        return [{"t": t, "out": "turn_away", "id": id, "retry_after": verdict.wait}]
    if (drill := verdict.drill) is not None:
        return [{"t": t, "out": "drill", "id": id, "hold": drill.hold, "abort": drill.abort}]
    return []


def ordered_lines(t: float, order: Order, until: float | None) -> list[Line]:
    return [{"t": t, "out": "drill", "class": order.job_class, "until": until}] if until is not None else []


def block_of(lines: Sequence[Line]) -> bytes:
    return b"".join(encode(line) + b"\n" for line in lines)


class Segment:
    __slots__ = ("start", "blocks", "size")

    def __init__(self, start: bytes | None) -> None:
        self.start = start  # the state's line; empty at the very start; None where it is not known
        self.blocks: list[bytes] = []
        self.size = len(start or b"")


class Ring:
    def __init__(self, most: int) -> None:
        self.most = most - OPENING
        self.segments = deque([Segment(b"")])
        self.size = self.lost = 0  # bytes held, and inputs that are not held any more
        self.next_at = self.most // PARTS

    def add(self, block: bytes) -> None:
        last = self.segments[-1]
        last.blocks.append(block)
        last.size += len(block)
        self.size += len(block)
        while self.size > self.most:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        oldest = self.segments.popleft()
        self.size -= oldest.size
        self.lost += len(oldest.blocks)
        if not self.segments:
            self.segments.append(Segment(None))
            self.next_at = 0

    def wants_state(self) -> bool:
        return self.segments[-1].size >= self.next_at

    @property
    def room(self) -> int:
        """Bytes of the largest state that it takes."""
        return self.most // 4

    def begin(self) -> Segment:
        """A segment that begins here; the state of this moment may follow."""
        segment = Segment(None)
        self.segments.append(segment)
        self.next_at = self.most // PARTS
        return segment

    def state(self, segment: Segment, state: bytes) -> None:
        """What the segment begins with. One too large is left out, as is one whose segment was lost."""
        if len(state) > self.room or segment not in self.segments:
            return
        segment.start = state
        segment.size += len(state)
        self.size += len(state)
        if segment is self.segments[-1]:
            self.next_at = len(state) + self.most // PARTS
        while self.size > self.most:
            self._drop_oldest()

    def gap(self) -> None:
        """An input was missed: what is held leads to nothing that comes."""
        self.lost += 1
        while len(self.segments) > 1 or self.segments[0].blocks or self.segments[0].start is not None:
            self._drop_oldest()

    def content(self) -> tuple[int, list[bytes]]:
        """The inputs lost before it, and its lines: from the first segment on that can be replayed."""
        lost, segments = self.lost, list(self.segments)
        while len(segments) > 1 and segments[0].start is None:
            lost += len(segments.pop(0).blocks)
        lines = [segments[0].start] if segments[0].start else []
        return lost, lines + [block for s in segments for block in s.blocks]


def pieces(lines: Sequence[bytes]) -> Iterator[bytes]:
    """The same bytes in pieces of bounded size."""
    piece = bytearray()
    for line in lines:
        for at in range(0, len(line), PIECE):
            part = line[at : at + PIECE]
            if len(piece) + len(part) > PIECE:
                yield bytes(piece)
                piece.clear()
            piece += part
    if piece:
        yield bytes(piece)


class Sink(Protocol):
    """Where files go. Neither call may wait; False: it was not taken, or an earlier one went wrong."""

    def open(self, data: bytes) -> bool: ...
    def write(self, data: bytes) -> bool: ...


class States(Protocol):
    """Writes the state of the moment at which it begins, in steps; `size`: bytes written so far."""

    size: int

    def begin(self) -> None: ...
    def step(self) -> bytes | None: ...
    def drop(self) -> None: ...


class Beginning:
    """A state that is being written, and what came since its moment where a file is to begin with both."""

    def __init__(self, t: float, inputs: int, segment: Segment | None, for_file: bool) -> None:
        self.t, self.inputs, self.segment, self.for_file = t, inputs, segment, for_file
        self.since: list[bytes] = []


class Capture:
    """`states` writes the decisions' present state; `sink` is there where files are to be written.

    `soon` calls what it is given a little later, once what waits has had its turn: a state takes as many
    steps as there are real servers and jobs. Where it is not set, they are taken at once.
    """

    def __init__(self, options: CaptureOptions, seed: str, states: States, sink: Sink | None = None) -> None:
        self.seed, self.states, self.sink = seed, states, sink
        self.ring = Ring(options.ring_bytes)
        self.file_most, self.file_size = options.file_bytes, 0
        self.file_ok, self.retry_at = False, -math.inf
        self.inputs = 0
        self.soon: Callable[[Callable[[], None]], None] | None = None
        self.beginning: Beginning | None = None
        self.too_large = self.skip = 0  # states in a row; times that the next one is not tried

    def opening(self, t: float, lost: int) -> bytes:
        return block_of([{"t": t, "in": "capture", "seed": self.seed, "lost": lost}])

    def begin(self, t: float) -> None:
        """Before the first input: the seed alone leads to all that follows."""
        self._open_file(t, self.inputs, b"")

    def decided(
        self,
        t: float,
        event: api.Event | NewRoutes,
        actions: Sequence[api.Action],
        error: Exception | None = None,
    ) -> None:
        self._add(t, [in_line(t, event), *decided_lines(t, actions, error)])

    def judged(
        self, t: float, client: str, id: str, job_class: str, patience: float, verdict: Verdict
    ) -> None:
        line: Line = {"t": t, "in": "arrival", "id": id, "class": job_class, "client": client}
        self._add(t, [line | {"patience": patience}, *judged_lines(t, id, verdict)])

    def ordered(self, t: float, order: Order, until: float | None) -> None:
        self._add(t, [{"t": t, "in": "drill", "order": order}, *ordered_lines(t, order, until)])

    def left(self, t: float) -> None:
        self._add(t, [{"t": t, "in": "leave"}])

    def gap(self) -> None:
        self.ring.gap()
        self.file_ok = False
        self._drop_state()

    def dump(self, t: float) -> list[bytes]:
        lost, lines = self.ring.content()
        return [self.opening(t, lost), *lines]

    def _add(self, t: float, lines: list[Line]) -> None:
        block = block_of(lines)
        self.inputs += 1
        self.ring.add(block)
        file_due = self.sink is not None and self._to_file(t, block)
        if (now := self.beginning) is not None:
            if now.for_file:
                now.since.append(block)
        elif file_due or self.ring.wants_state():
            self._begin(t, file_due)

    # --- the state ----------------------------------------------------------------------------------------

    def _begin(self, t: float, for_file: bool) -> None:
        segment = self.ring.begin() if self.ring.wants_state() else None
        if self.skip:
            self.skip -= 1
            if for_file:
                self._open_file(t, self.inputs, b"")
            return
        self.beginning = Beginning(t, self.inputs, segment, for_file)
        self.states.begin()
        if self.soon is not None:
            return self.soon(self._go_on)
        while self.beginning is not None:
            self._step()

    def _go_on(self) -> None:
        if self.beginning is not None:
            self._step()
        if self.beginning is not None and self.soon is not None:
            self.soon(self._go_on)

    def _step(self) -> None:
        now = self.beginning
        assert now is not None
        state = self.states.step()
        room = max(self.ring.room if now.segment else 0, self.file_most // 2 if now.for_file else 0)
        size = self.states.size if state is None else len(state)
        too_large = size > room or sum(map(len, now.since)) > self.file_most // 4
        if state is None and not too_large:
            return
        self._drop_state()
        if too_large or state is None:  # as it will be again soon
            self.too_large += 1
            self.skip = min(2**self.too_large, MOST_SKIPPED)
            if now.for_file:
                self._open_file(now.t, now.inputs, b"", now.since)
            return
        self.too_large = 0
        line = block_of([{"t": now.t, "in": "state", "state": msgspec.Raw(state)}])
        if now.segment is not None:
            self.ring.state(now.segment, line)
        if now.for_file:
            self._open_file(now.t, now.inputs, line, now.since)

    def _drop_state(self) -> None:
        self.beginning = None
        self.states.drop()

    # --- files --------------------------------------------------------------------------------------------

    def _to_file(self, t: float, block: bytes) -> bool:
        """True: it is time for the next file, which begins after this block."""
        assert self.sink is not None
        self.file_ok = self.file_ok and self.sink.write(block)
        if not self.file_ok:  # one input missed and the rest of the file could not be replayed
            return t >= self.retry_at
        self.file_size += len(block)
        return self.file_size >= self.file_most * 7 // 8  # so that what comes next still fits

    def _open_file(self, t: float, inputs: int, state: bytes, since: Sequence[bytes] = ()) -> None:
        """`inputs` before it; `state` of then, and what came `since`."""
        if self.sink is None:
            return
        self.retry_at = t + AGAIN
        head = self.opening(t, inputs) + (state if len(state) <= self.file_most // 2 else b"")
        data = head + b"".join(since)
        self.file_ok, self.file_size = self.sink.open(data), len(data)
