"""Replay of a capture: repeats its inputs and compares the decisions. It has no clock."""

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
from finchladder.features.capture import STATES, Line, decided_lines, encode, judged_lines, ordered_lines
from finchladder.features.fault_injection import Order
from finchladder.features.request_admission import Arrivals

ENDINGS = {state: ending for ending, state in STATES.items()}


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
        if self.state not in ENDINGS:
            raise ValueError(f"unknown state {self.state!r}")
        ending = ENDINGS[self.state]
        return api.Ended(self.id, self.attempt, ending, self.finished, self.took, self.report)


class TimerIn(msgspec.Struct):
    """A timer that fired."""

    t: float
    token: int

    def event(self) -> api.Event:
        """Returns the core's event."""
        return api.Timer(self.token)


class UnseenIn(msgspec.Struct):
    """An event loop stall."""

    t: float
    seconds: float

    def event(self) -> api.Event:
        """Returns the core's event."""
        return api.LoopStall(self.seconds)


class GoneIn(msgspec.Struct):
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


class DrillIn(msgspec.Struct):
    """An order for fault injection."""

    t: float
    order: Order


class LeaveIn(msgspec.Struct):
    """The start of the graceful shutdown."""

    t: float


Event = RequestIn | EventIn | TimerIn | UnseenIn | GoneIn | ListIn | RoutesIn
Input = Opening | StateIn | ArrivalIn | DrillIn | LeaveIn | Event
INPUTS: dict[str, type[Input]] = {
    "capture": Opening,
    "state": StateIn,
    "request": RequestIn,
    "event": EventIn,
    "timer": TimerIn,
    "unseen": UnseenIn,
    "gone": GoneIn,
    "list": ListIn,
    "arrival": ArrivalIn,
    "drill": DrillIn,
    "leave": LeaveIn,
    "routes": RoutesIn,
}


class Peek(msgspec.Struct):
    """The fields that tell the kind of a line."""

    in_: str | None = msgspec.field(default=None, name="in")
    out: str | None = None


class MalformedLineError(ValueError):
    """A line can't be decoded."""

    def __init__(self, number: int, why: object) -> None:
        """Names the line by its number, from 1."""
        super().__init__(f"line {number}: {why}")


def read_lines(lines: Iterable[bytes], warn: Callable[[str], None]) -> Iterator[tuple[int, Input | Line]]:
    """Yields each line's number and its input or decision; a truncated last line is skipped."""
    held: tuple[int, bytes] | None = None
    for numbered in enumerate(lines, 1):
        if held is not None:
            yield _read(*held)
        held = numbered
    if held is None:
        raise ValueError("it is empty")
    try:
        last = _read(*held)
    except MalformedLineError as e:
        if held[1].endswith(b"\n") or not held[1].strip():
            raise
        warn(f"{e}; the last line was cut, and is skipped")
        return
    yield last


def _read(number: int, line: bytes) -> tuple[int, Input | Line]:
    try:
        peek = msgspec.json.decode(line, type=Peek)
        if peek.out is not None and peek.in_ is None:
            return number, msgspec.json.decode(line, type=Line)
        if peek.in_ not in INPUTS:
            raise MalformedLineError(number, "it is no record of a capture")
        return number, msgspec.json.decode(line, type=INPUTS[peek.in_])
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        raise MalformedLineError(number, e) from None


class Replay:
    """Compares decisions and counts them."""

    def __init__(
        self,
        settings: api.Settings,
        options: Options,
        say: Callable[[str], None],
        warn: Callable[[str], None],
        routes: Routes | None = None,
    ) -> None:
        """Starts without a dispatcher, which the capture's first line creates.

        Args:
            settings: The platform's settings.
            options: The operator's options.
            say: Called with each line that differs.
            warn: Called with what can't be compared, and why.
            routes: The operator's routes, if any.
        """
        self.settings, self.options, self.say, self.warn, self.routes = settings, options, say, warn, routes
        self.inputs = self.compared = self.differ = 0
        self.dispatcher: Dispatcher | RouteLimitedDispatcher | None = (
            None  # None: there is nothing that could be compared
        )
        self.arrivals: Arrivals | None = None
        self.opening: Opening | None = None
        self.recorded: list[tuple[int, Line]] = []
        self.expected: list[Line] | None = None  # of the last input
        self.at = 0  # the last input's line

    def run(self, lines: Iterable[bytes]) -> None:
        """Replays all lines.

        Raises:
            ValueError: A line can't be decoded or isn't possible at its position.
        """
        for number, record in read_lines(lines, self.warn):
            if isinstance(record, dict):
                if not self.inputs:
                    raise MalformedLineError(number, "a decision without the input before it")
                self.recorded.append((number, record))
                continue
            self._compare(last=False)
            self.at = number
            if self.opening is None and not isinstance(record, Opening):
                raise MalformedLineError(number, "a capture begins with its seed")
            try:
                self._take(number, record)
            except ValueError as e:
                raise e if isinstance(e, MalformedLineError) else MalformedLineError(number, e) from None
        self._compare(last=True)
        self._end_of_capture()

    def _take(self, number: int, record: Input) -> None:
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
        self.dispatcher, self.arrivals = (None, None) if opening.lost else self._fresh()

    def _fresh(self) -> tuple[Dispatcher | RouteLimitedDispatcher, Arrivals]:
        assert self.opening is not None
        seed = read_seed(self.opening.seed)
        made = make_decisions(self.settings, seed, self.routes, self.options.spillover_settings())
        return made, Arrivals(self.options, seed)

    def _restore(self, record: StateIn) -> None:
        dispatcher, arrivals = self._fresh()
        lacking = snapshot.restore(record.state, dispatcher, arrivals)
        for what in lacking:
            self.warn(f"line {self.at}: can't be compared: {what}")
        self.dispatcher, self.arrivals = dispatcher, None if lacking else arrivals

    def _end_of_capture(self) -> None:
        if self.opening is not None and self.opening.lost and self.dispatcher is None:
            self.warn(
                f"the capture has lost its first {self.opening.lost} inputs and carries no state after them:"
                " none of its decisions can be compared"
            )

    def _decide(self, record: ArrivalIn | DrillIn | LeaveIn | Event) -> list[Line] | None:
        t = record.t
        if not isinstance(record, ArrivalIn | DrillIn | LeaveIn):
            event = record.event()
            if self.dispatcher is None:
                return None
            if isinstance(event, NewRoutes) and not isinstance(self.dispatcher, RouteLimitedDispatcher):
                raise ValueError("new routes hold from here on, and the operator's file is none in TOML")
            dispatcher: Decisions = self.dispatcher
            try:
                return decided_lines(t, dispatcher.handle(t, event), None)
            except Exception as e:  # any error is recorded in a capture too, and compared
                return decided_lines(t, [], e)
        if self.arrivals is None:
            return None
        if isinstance(record, ArrivalIn):
            verdict = self.arrivals.judge(t, record.client, record.id, record.job_class, record.patience)
            return judged_lines(t, record.id, verdict)
        if isinstance(record, DrillIn):
            return ordered_lines(t, record.order, self.arrivals.order(t, record.order))
        self.arrivals.leave(t)
        return []

    def _compare(self, last: bool) -> None:
        recorded, self.recorded = self.recorded, []
        if self.expected is None:
            return
        # as they would be read from a file, so that numbers compare as numbers
        expected = [msgspec.json.decode(encode(line), type=Line) for line in self.expected]
        before = [line for _, line in recorded]
        self.compared += len(before)
        if before == expected:
            return
        if last and before == expected[: len(before)]:
            self.warn(f"line {self.at}: what was decided on the last input may be cut off")
            return
        keys = [encode(line) for line in before], [encode(line) for line in expected]
        for kind, a, b, c, d in SequenceMatcher(None, *keys, autojunk=False).get_opcodes():
            if kind != "equal":
                self._differ([(n, line) for n, line in recorded[a:b]], expected[c:d])

    def _differ(self, before: list[tuple[int, Line]], now: list[Line]) -> None:
        for n in range(max(len(before), len(now))):
            number = before[n][0] if n < len(before) else self.at
            if n < len(before):
                self.say(f"{number}: - {encode(before[n][1]).decode()}")
            if n < len(now):
                self.say(f"{number}: + {encode(now[n]).decode()}")
            self.differ += 1
