"""Capture: inputs and decisions as JSON lines in a ring of bounded size. No clock and no I/O.

An input's line and those of its decisions form a block. The ring consists of segments; each but the first
begins with a snapshot of the state, so that a replay can begin there after
earlier segments were dropped.
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
from finchladder.features.fault_injection import FaultOrder
from finchladder.features.request_admission import AdmissionDecision

SEGMENTS_PER_RING = 8  # number of segments of a full ring; the oldest is dropped as a whole
OPENING_LINE_BYTES = 256  # bytes reserved for the first line of a dump
CHUNK_BYTES = 64 * 1024
MAX_SKIPPED_SNAPSHOTS = 64  # limit on the snapshots skipped after one that was too large
FILE_RETRY_INTERVAL_S = 10.0  # minimum time between two openings of a file if writing fails
# bounds of a recorded load report; decisions don't depend on load reports
MAX_REPORT_VALUES = 16
MAX_REPORT_NAME_LENGTH = 32  # characters

STATE_BY_ENDING = {
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


def encode_input(t: float, e: api.Event | NewRoutes) -> Line:
    """Encodes an input as a line; `t` has all digits, so that decoding restores the same float."""
    if isinstance(e, api.Request):
        line: Line = {"t": t, "in": "request", "id": e.id, "class": e.job_class, "patience": e.timeout_s}
        more = {"slots": e.slots, "key": e.key, "tenant": e.tenant, "memory": e.memory, "hint": e.work_hint}
        more |= {"route": e.route, "repeat": e.is_client_retry or None}
        return line | {name: value for name, value in more.items() if value is not None}
    if isinstance(e, api.Started):
        return {"t": t, "in": "event", "id": e.request, "state": "started", "attempt": e.attempt}
    if isinstance(e, api.Progress):
        progress = {"state": "running", "attempt": e.attempt, "share": e.done_share}
        return {"t": t, "in": "event", "id": e.request} | progress
    if isinstance(e, api.Ended):
        ended = {
            "state": STATE_BY_ENDING[e.ending],
            "attempt": e.attempt,
            "finished": e.finished,
            "took": e.duration_s,
        }
        line = {"t": t, "in": "event", "id": e.request} | ended
        return line | ({"report": _bounded_report(e.report)} if e.report else {})
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
    raise TypeError(
        f"events of type {type(e).__name__} can't be recorded"
    )  # the program submits only the types above


def _bounded_report(report: dict[str, float]) -> dict[str, float]:
    usable = [(n, v) for n, v in report.items() if len(n) <= MAX_REPORT_NAME_LENGTH and math.isfinite(v)]
    return dict(usable[:MAX_REPORT_VALUES])


def encode_action(t: float, a: api.Action) -> Line:
    """Encodes an action as a line."""
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


def encode_decision(t: float, actions: Sequence[api.Action], error: Exception | None) -> list[Line]:
    """Encodes the dispatcher's actions, or the error in place of them."""
    if error is not None:
        return [{"t": t, "out": "error", "error": type(error).__name__}]
    return [encode_action(t, a) for a in actions]


def encode_admission(t: float, request_id: str, decision: AdmissionDecision) -> list[Line]:
    """Encodes the decision on a request; a request that is admitted without a fault has no line."""
    if decision.wait_s > 0:
        return [{"t": t, "out": "turn_away", "id": request_id, "retry_after": decision.wait_s}]
    if (fault := decision.fault) is not None:
        return [{"t": t, "out": "drill", "id": request_id, "hold": fault.delay_s, "abort": fault.abort}]
    return []


def encode_fault_order(t: float, order: FaultOrder, until: float | None) -> list[Line]:
    """Encodes the answer to an order for fault injection; an order without effect has no line."""
    return [{"t": t, "out": "drill", "class": order.job_class, "until": until}] if until is not None else []


def encode_block(lines: Sequence[Line]) -> bytes:
    """Encodes lines and joins them to a block."""
    return b"".join(encode(line) + b"\n" for line in lines)


class Segment:
    """Consecutive blocks, preceded by a snapshot of the state if there is one."""

    __slots__ = ("start", "blocks", "size")

    def __init__(self, start: bytes | None) -> None:
        """Starts without blocks."""
        self.start = start  # the snapshot's line; empty for the initial state; None: no snapshot
        self.blocks: list[bytes] = []
        self.size = len(start or b"")


class Ring:
    """Segments of bounded total size; the oldest are dropped first."""

    def __init__(self, max_bytes: int) -> None:
        """Starts empty.

        Args:
            max_bytes: The maximum size in bytes.
        """
        self.max_bytes = max_bytes - OPENING_LINE_BYTES
        self.segments = deque([Segment(b"")])
        self.size = self.lost = 0  # bytes in the ring, and inputs dropped from it
        self.next_segment_bytes = self.max_bytes // SEGMENTS_PER_RING

    def add(self, block: bytes) -> None:
        """Appends a block."""
        last = self.segments[-1]
        last.blocks.append(block)
        last.size += len(block)
        self.size += len(block)
        while self.size > self.max_bytes:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        oldest = self.segments.popleft()
        self.size -= oldest.size
        self.lost += len(oldest.blocks)
        if not self.segments:
            self.segments.append(Segment(None))
            self.next_segment_bytes = 0

    def needs_snapshot(self) -> bool:
        """Returns whether a new segment is due."""
        return self.segments[-1].size >= self.next_segment_bytes

    @property
    def max_snapshot_bytes(self) -> int:
        """Maximum size of a snapshot in bytes."""
        return self.max_bytes // 4

    def begin_segment(self) -> Segment:
        """Starts a new segment; `set_snapshot` may later add a snapshot of the present state."""
        segment = Segment(None)
        self.segments.append(segment)
        self.next_segment_bytes = self.max_bytes // SEGMENTS_PER_RING
        return segment

    def set_snapshot(self, segment: Segment, state: bytes) -> None:
        """Sets the snapshot of a segment; ignored if it is too large or the segment was dropped."""
        if len(state) > self.max_snapshot_bytes or segment not in self.segments:
            return
        segment.start = state
        segment.size += len(state)
        self.size += len(state)
        if segment is self.segments[-1]:
            self.next_segment_bytes = len(state) + self.max_bytes // SEGMENTS_PER_RING
        while self.size > self.max_bytes:
            self._drop_oldest()

    def record_gap(self) -> None:
        """Records a missed input: a replay can't continue after it, so earlier blocks are dropped."""
        self.lost += 1
        while len(self.segments) > 1 or self.segments[0].blocks or self.segments[0].start is not None:
            self._drop_oldest()

    def content(self) -> tuple[int, list[bytes]]:
        """Returns the number of missing earlier inputs, and the lines from the first replayable segment."""
        lost, segments = self.lost, list(self.segments)
        while len(segments) > 1 and segments[0].start is None:
            lost += len(segments.pop(0).blocks)
        lines = [segments[0].start] if segments[0].start else []
        return lost, lines + [block for s in segments for block in s.blocks]


def split_chunks(lines: Sequence[bytes]) -> Iterator[bytes]:
    """Joins lines and yields the result in chunks of at most `CHUNK_BYTES`."""
    chunk = bytearray()
    for line in lines:
        for start in range(0, len(line), CHUNK_BYTES):
            part = line[start : start + CHUNK_BYTES]
            if len(chunk) + len(part) > CHUNK_BYTES:
                yield bytes(chunk)
                chunk.clear()
            chunk += part
    if chunk:
        yield bytes(chunk)


class Sink(Protocol):
    """Writer of capture files.

    Neither method blocks; False means that the data wasn't accepted or an earlier call failed.
    """

    def open(self, data: bytes) -> bool:
        """Starts a new file with this content."""

    def write(self, data: bytes) -> bool:
        """Appends to the current file."""


class SnapshotSource(Protocol):
    """Incremental snapshot of the state at the time of `begin`; `size`: bytes encoded so far."""

    size: int

    def begin(self) -> None:
        """Starts a snapshot."""

    def step(self) -> bytes | None:
        """Does one step; returns the encoded snapshot after the last one."""

    def discard(self) -> None:
        """Discards the current snapshot."""


class PendingSnapshot:
    """A snapshot in progress, with the blocks since its start if both are to begin a new file."""

    def __init__(self, t: float, inputs: int, segment: Segment | None, for_file: bool) -> None:
        """Starts without blocks."""
        self.t, self.inputs, self.segment, self.for_file = t, inputs, segment, for_file
        self.blocks_since: list[bytes] = []


class Capture:
    """Records inputs and decisions.

    A snapshot takes many steps. `schedule` runs a function in a later iteration of the event loop, here
    one step; if it is None, all steps run immediately.
    """

    def __init__(
        self, options: CaptureOptions, seed: str, snapshots: SnapshotSource, sink: Sink | None = None
    ) -> None:
        """Starts with an empty ring.

        Args:
            options: Sizes of the ring and of files.
            seed: The decisions' seed.
            snapshots: Encodes the present state.
            sink: Destination of files, if they are to be written.
        """
        self.seed, self.snapshots, self.sink = seed, snapshots, sink
        self.ring = Ring(options.ring_bytes)
        self.max_file_bytes, self.file_size = options.file_bytes, 0
        self.file_ok, self.file_retry_at = False, -math.inf
        self.inputs = 0
        self.schedule: Callable[[Callable[[], None]], None] | None = None
        self.pending: PendingSnapshot | None = None
        self.too_large = self.snapshots_to_skip = 0  # consecutive too large snapshots; next ones to skip

    def opening_line(self, t: float, lost: int) -> bytes:
        """Returns the first line of a capture."""
        return encode_block([{"t": t, "in": "capture", "seed": self.seed, "lost": lost}])

    def begin(self, t: float) -> None:
        """Opens the first file before any input; the seed determines the initial state."""
        self._open_file(t, self.inputs, b"")

    def record_event(
        self,
        t: float,
        event: api.Event | NewRoutes,
        actions: Sequence[api.Action],
        error: Exception | None = None,
    ) -> None:
        """Records an event and the dispatcher's actions."""
        self._add(t, [encode_input(t, event), *encode_decision(t, actions, error)])

    def record_request(
        self,
        t: float,
        client: str,
        request_id: str,
        job_class: str,
        patience: float,
        decision: AdmissionDecision,
    ) -> None:
        """Records a request and its admission."""
        line: Line = {"t": t, "in": "arrival", "id": request_id, "class": job_class, "client": client}
        self._add(t, [line | {"patience": patience}, *encode_admission(t, request_id, decision)])

    def record_fault_order(self, t: float, order: FaultOrder, until: float | None) -> None:
        """Records an order for fault injection."""
        self._add(t, [{"t": t, "in": "drill", "order": order}, *encode_fault_order(t, order, until)])

    def record_shutdown(self, t: float) -> None:
        """Records the start of the graceful shutdown."""
        self._add(t, [{"t": t, "in": "leave"}])

    def record_gap(self) -> None:
        """Records that an input was missed."""
        self.ring.record_gap()
        self.file_ok = False
        self._discard_snapshot()

    def dump(self, t: float) -> list[bytes]:
        """Returns the lines of the ring."""
        lost, lines = self.ring.content()
        return [self.opening_line(t, lost), *lines]

    def _add(self, t: float, lines: list[Line]) -> None:
        block = encode_block(lines)
        self.inputs += 1
        self.ring.add(block)
        file_due = self.sink is not None and self._append_to_file(t, block)
        if (pending := self.pending) is not None:
            if pending.for_file:
                pending.blocks_since.append(block)
        elif file_due or self.ring.needs_snapshot():
            self._begin_snapshot(t, file_due)

    # --- snapshots ------------------------------------------------------------------------------------------

    def _begin_snapshot(self, t: float, for_file: bool) -> None:
        segment = self.ring.begin_segment() if self.ring.needs_snapshot() else None
        if self.snapshots_to_skip:
            self.snapshots_to_skip -= 1
            if for_file:
                self._open_file(t, self.inputs, b"")
            return
        self.pending = PendingSnapshot(t, self.inputs, segment, for_file)
        self.snapshots.begin()
        if self.schedule is not None:
            return self.schedule(self._run_next_step)
        while self.pending is not None:
            self._step()

    def _run_next_step(self) -> None:
        if self.pending is not None:
            self._step()
        if self.pending is not None and self.schedule is not None:
            self.schedule(self._run_next_step)

    def _step(self) -> None:
        pending = self.pending
        assert pending is not None
        state = self.snapshots.step()
        max_size = max(
            self.ring.max_snapshot_bytes if pending.segment else 0,
            self.max_file_bytes // 2 if pending.for_file else 0,
        )
        size = self.snapshots.size if state is None else len(state)
        too_large = size > max_size or sum(map(len, pending.blocks_since)) > self.max_file_bytes // 4
        if state is None and not too_large:
            return
        self._discard_snapshot()
        if too_large or state is None:  # the next snapshots will probably be too large as well
            self.too_large += 1
            self.snapshots_to_skip = min(2**self.too_large, MAX_SKIPPED_SNAPSHOTS)
            if pending.for_file:
                self._open_file(pending.t, pending.inputs, b"", pending.blocks_since)
            return
        self.too_large = 0
        line = encode_block([{"t": pending.t, "in": "state", "state": msgspec.Raw(state)}])
        if pending.segment is not None:
            self.ring.set_snapshot(pending.segment, line)
        if pending.for_file:
            self._open_file(pending.t, pending.inputs, line, pending.blocks_since)

    def _discard_snapshot(self) -> None:
        self.pending = None
        self.snapshots.discard()

    # --- files --------------------------------------------------------------------------------------------

    def _append_to_file(self, t: float, block: bytes) -> bool:
        """Appends a block to the file; returns whether the next file is due."""
        assert self.sink is not None
        self.file_ok = self.file_ok and self.sink.write(block)
        if not self.file_ok:  # a replay can't continue past a missed input
            return t >= self.file_retry_at
        self.file_size += len(block)
        return (
            self.file_size >= self.max_file_bytes * 7 // 8
        )  # the rest is for blocks until the next file is open

    def _open_file(self, t: float, inputs: int, state: bytes, since: Sequence[bytes] = ()) -> None:
        """Opens a file; it begins with the number of earlier inputs, a snapshot and the blocks since then."""
        if self.sink is None:
            return
        self.file_retry_at = t + FILE_RETRY_INTERVAL_S
        head = self.opening_line(t, inputs) + (state if len(state) <= self.max_file_bytes // 2 else b"")
        data = head + b"".join(since)
        self.file_ok, self.file_size = self.sink.open(data), len(data)
