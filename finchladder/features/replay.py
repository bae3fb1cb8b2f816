"""Replay of a capture: repeats its inputs and compares the decisions. Times are those of the capture."""

from collections.abc import Callable, Iterable, Iterator
from difflib import SequenceMatcher
from typing import Any

import msgspec

from finchladder.config.options import Options
from finchladder.config.settings import read_seed
from finchladder.core import api
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.routing.limited_dispatcher import (
    Decisions,
    NewRoutes,
    RouteLimitedDispatcher,
    make_decisions,
)
from finchladder.core.routing.routes import Route, Routes
from finchladder.features import snapshot
from finchladder.features.capture import (
    STATE_BY_ENDING,
    Line,
    encode,
    encode_admission,
    encode_decision,
    encode_fault_order,
)
from finchladder.features.fault_injection import FaultOrder
from finchladder.features.request_admission import RequestAdmission

ENDING_BY_STATE = {state: ending for ending, state in STATE_BY_ENDING.items()}


class Opening(msgspec.Struct):
    """First line of a capture."""

    t: float
    seed: str
    lost: int = 0


class StateIn(msgspec.Struct):
    """A snapshot of the state."""

    t: float
    state: dict[str, Any]


class RequestIn(msgspec.Struct, rename={"job_class": "class"}):
    """A request for the dispatcher."""

    t: float
    id: str
    job_class: str
    patience: float
    slots: float = 1.0
    key: int | None = None
    tenant: str | None = None
    memory: float = 0.0
    hint: float | None = None
    route: str | None = None
    repeat: bool = False

    def event(self) -> api.Event:
        """Returns the core's event."""
        return api.Request(
            self.id,
            self.job_class,
            self.patience,
            self.slots,
            self.key,
            self.tenant,
            self.memory,
            self.hint,
            self.route,
            self.repeat,
        )


class EventIn(msgspec.Struct):
    """A worker's report on an attempt, or the end of an attempt."""

    t: float
    id: str
    state: str
    attempt: int
    share: float = 0.0
    finished: bool = False
    took: float = 0.0
    report: dict[str, float] | None = None

    def event(self) -> api.Event:
        """Returns the core's event."""
        if self.state == "started":
            return api.Started(self.id, self.attempt)
        if self.state == "running":
            return api.Progress(self.id, self.attempt, self.share)
        if self.state not in ENDING_BY_STATE:
            raise ValueError(f"unknown state {self.state!r}")
        ending = ENDING_BY_STATE[self.state]
        return api.Ended(self.id, self.attempt, ending, self.finished, self.took, self.report)


class TimerIn(msgspec.Struct):
    """A timer that fired."""

    t: float
    token: int

    def event(self) -> api.Event:
        """Returns the core's event."""
        return api.Timer(self.token)


class LoopStallIn(msgspec.Struct):
    """An event loop stall."""

    t: float
    seconds: float

    def event(self) -> api.Event:
        """Returns the core's event."""
        return api.LoopStall(self.seconds)


class DisconnectIn(msgspec.Struct):
    """A client that disconnected."""

    t: float
    id: str

    def event(self) -> api.Event:
        """Returns the core's event."""
        return api.ClientDisconnected(self.id)


class ListIn(msgspec.Struct):
    """An endpoint list."""

    t: float
    kind: api.ListKind
    entries: tuple[api.WorkerEntry, ...]

    def event(self) -> api.Event:
        """Returns the core's event."""
        return api.WorkerList(self.kind, self.entries)


class RoutesIn(msgspec.Struct):
    """New routes."""

    t: float
    routes: tuple[Route, ...]

    def event(self) -> NewRoutes:
        """Returns the core's event."""
        return NewRoutes(Routes(self.routes))


class ArrivalIn(msgspec.Struct, rename={"job_class": "class"}):
    """A request before admission."""

    t: float
    id: str
    job_class: str
    client: str
    patience: float


class FaultOrderIn(msgspec.Struct):
    """An order for fault injection."""

    t: float
    order: FaultOrder


class ShutdownIn(msgspec.Struct):
    """The start of the graceful shutdown."""

    t: float


Event = RequestIn | EventIn | TimerIn | LoopStallIn | DisconnectIn | ListIn | RoutesIn
Input = Opening | StateIn | ArrivalIn | FaultOrderIn | ShutdownIn | Event
INPUTS: dict[str, type[Input]] = {
    "capture": Opening,
    "state": StateIn,
    "request": RequestIn,
    "event": EventIn,
    "timer": TimerIn,
    "unseen": LoopStallIn,
    "gone": DisconnectIn,
    "list": ListIn,
    "arrival": ArrivalIn,
    "drill": FaultOrderIn,
    "leave": ShutdownIn,
    "routes": RoutesIn,
}


class LineKind(msgspec.Struct):
    """The fields that determine the kind of a line."""

    in_: str | None = msgspec.field(default=None, name="in")
    out: str | None = None


class MalformedLineError(ValueError):
    """A line can't be decoded."""

    def __init__(self, number: int, why: object) -> None:
        """Names the line by its number, from 1."""
        super().__init__(f"line {number}: {why}")


def read_lines(lines: Iterable[bytes], warn: Callable[[str], None]) -> Iterator[tuple[int, Input | Line]]:
    """Yields each line's number and its input or decision; a truncated last line is skipped."""
    pending: tuple[int, bytes] | None = None
    for numbered in enumerate(lines, 1):
        if pending is not None:
            yield _read(*pending)
        pending = numbered
    if pending is None:
        raise ValueError("the capture is empty")
    try:
        last = _read(*pending)
    except MalformedLineError as e:
        if pending[1].endswith(b"\n") or not pending[1].strip():
            raise
        warn(f"{e}; the last line is truncated and skipped")
        return
    yield last


def _read(number: int, line: bytes) -> tuple[int, Input | Line]:
    try:
        kind = msgspec.json.decode(line, type=LineKind)
        if kind.out is not None and kind.in_ is None:
            return number, msgspec.json.decode(line, type=Line)
        if kind.in_ not in INPUTS:
            raise MalformedLineError(number, "not a line of a capture")
        return number, msgspec.json.decode(line, type=INPUTS[kind.in_])
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        raise MalformedLineError(number, e) from None


class Replay:
    """Repeats the decisions of a capture, and counts those that are compared or differ."""

    def __init__(
        self,
        settings: api.Settings,
        options: Options,
        report: Callable[[str], None],
        warn: Callable[[str], None],
        routes: Routes | None = None,
    ) -> None:
        """Starts without a dispatcher, which the capture's first line creates.

        Args:
            settings: The platform's settings.
            options: The operator's options.
            report: Called with each recorded or repeated line that differs.
            warn: Called with a description of decisions that can't be compared.
            routes: The operator's routes, if any.
        """
        self.settings, self.options, self.report, self.warn, self.routes = (
            settings,
            options,
            report,
            warn,
            routes,
        )
        self.inputs = self.compared = self.differences = 0
        # None: the state at this line is unknown, so no decision is compared
        self.dispatcher: Dispatcher | RouteLimitedDispatcher | None = None
        self.arrivals: RequestAdmission | None = None
        self.opening: Opening | None = None
        self.recorded: list[tuple[int, Line]] = []
        self.expected: list[Line] | None = None  # decisions on the last input; None: not compared
        self.input_line = 0  # line number of the last input

    def run(self, lines: Iterable[bytes]) -> None:
        """Replays all lines.

        Raises:
            ValueError: A line can't be decoded or isn't possible at its position.
        """
        for number, record in read_lines(lines, self.warn):
            if isinstance(record, dict):
                if not self.inputs:
                    raise MalformedLineError(number, "a decision without a preceding input")
                self.recorded.append((number, record))
                continue
            self._compare(last=False)
            self.input_line = number
            if self.opening is None and not isinstance(record, Opening):
                raise MalformedLineError(number, "the first line must have the seed")
            try:
                self._process(number, record)
            except ValueError as e:
                raise e if isinstance(e, MalformedLineError) else MalformedLineError(number, e) from None
        self._compare(last=True)
        self._end_of_capture()

    def _process(self, number: int, record: Input) -> None:
        self.expected = None
        if isinstance(record, Opening):
            self._end_of_capture()
            self._begin(record)
        elif isinstance(record, StateIn):
            if self.opening is not None and self.opening.lost and self.dispatcher is None:
                self._restore(record)
        else:
            self.inputs += 1
            self.expected = self._decide(record)

    def _begin(self, opening: Opening) -> None:
        self.opening = opening
        self.dispatcher, self.arrivals = (None, None) if opening.lost else self._create()

    def _create(self) -> tuple[Dispatcher | RouteLimitedDispatcher, RequestAdmission]:
        assert self.opening is not None
        seed = read_seed(self.opening.seed)
        made = make_decisions(self.settings, seed, self.routes, self.options.spillover_settings())
        return made, RequestAdmission(self.options, seed)

    def _restore(self, record: StateIn) -> None:
        dispatcher, arrivals = self._create()
        not_comparable = snapshot.restore(record.state, dispatcher, arrivals)
        for what in not_comparable:
            self.warn(f"line {self.input_line}: can't be compared: {what}")
        self.dispatcher, self.arrivals = dispatcher, None if not_comparable else arrivals

    def _end_of_capture(self) -> None:
        if self.opening is not None and self.opening.lost and self.dispatcher is None:
            self.warn(
                f"the capture lacks its first {self.opening.lost} inputs and has no state after them:"
                " none of its decisions can be compared"
            )

    def _decide(self, record: ArrivalIn | FaultOrderIn | ShutdownIn | Event) -> list[Line] | None:
        t = record.t
        if not isinstance(record, ArrivalIn | FaultOrderIn | ShutdownIn):
            event = record.event()
            if self.dispatcher is None:
                return None
            if isinstance(event, NewRoutes) and not isinstance(self.dispatcher, RouteLimitedDispatcher):
                raise ValueError("the capture has routes, which need the operator's file in TOML (--config)")
            dispatcher: Decisions = self.dispatcher
            try:
                return encode_decision(t, dispatcher.handle(t, event), None)
            except Exception as e:  # a capture records errors of all types, so they are compared
                return encode_decision(t, [], e)
        if self.arrivals is None:
            return None
        if isinstance(record, ArrivalIn):
            decision = self.arrivals.admit(t, record.client, record.id, record.job_class, record.patience)
            return encode_admission(t, record.id, decision)
        if isinstance(record, FaultOrderIn):
            return encode_fault_order(t, record.order, self.arrivals.start_fault(t, record.order))
        self.arrivals.begin_shutdown(t)
        return []

    def _compare(self, last: bool) -> None:
        recorded, self.recorded = self.recorded, []
        if self.expected is None:
            return
        # encoded and decoded once, so that values are equal to those read from a file
        expected = [msgspec.json.decode(encode(line), type=Line) for line in self.expected]
        before = [line for _, line in recorded]
        self.compared += len(before)
        if before == expected:
            return
        if last and before == expected[: len(before)]:
            self.warn(f"line {self.input_line}: the decisions on the last input may be truncated")
            return
        keys = [encode(line) for line in before], [encode(line) for line in expected]
        for kind, a, b, c, d in SequenceMatcher(None, *keys, autojunk=False).get_opcodes():
            if kind != "equal":
                self._differ([(n, line) for n, line in recorded[a:b]], expected[c:d])

    def _differ(self, before: list[tuple[int, Line]], now: list[Line]) -> None:
        for n in range(max(len(before), len(now))):
            number = before[n][0] if n < len(before) else self.input_line
            if n < len(before):
                self.report(f"{number}: - {encode(before[n][1]).decode()}")
            if n < len(now):
                self.report(f"{number}: + {encode(now[n]).decode()}")
            self.differences += 1
