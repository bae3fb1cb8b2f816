"""The state of the decisions as JSON values, and back: what a capture needs that has lost its start.

Goes through all fields of the records, so a field that policy.py or records.py comes to hold later is carried
without a change here. What follows from the settings is left out: a state is restored into decisions made
anew from the configuration as it is then.
"""

import base64
import struct
from collections import OrderedDict
from collections.abc import Callable, Generator, Iterable, Mapping
from copy import copy
from functools import reduce
from itertools import chain, repeat
from operator import attrgetter
from random import Random
from typing import Any, NamedTuple

import msgspec

from finchladder.core.alarms import Alarms
from finchladder.core.api import Ending, JobClass, Request, RequestLimits, WorkerPool
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.dispatch.key_frequency import KeyFrequency
from finchladder.core.dispatch.records import Attempt, Job, Worker
from finchladder.core.dispatch.tenant_rates import PeerTenantRates
from finchladder.core.dispatch.worker_capacity import TypicalWeight, WorkerCapacity
from finchladder.core.dispatch.worker_load import WorkerLoad
from finchladder.core.dispatch.zone_spillover import SpilloverState, ZoneSpillover
from finchladder.core.health.outlier_ejection import OutlierEjection
from finchladder.core.membership.subscription import ListSubscription
from finchladder.core.routing.concurrency_limit import ConcurrencyLimiter
from finchladder.core.routing.hedging import HedgeBudget, LatencyPercentile
from finchladder.core.routing.limited_dispatcher import RoutedJob, RouteLimitedDispatcher, RouteLimits
from finchladder.core.routing.retry_budget import RetryBudgetWindow
from finchladder.core.routing.routes import Queue, Route, Routes
from finchladder.features.fault_injection import Order
from finchladder.features.request_admission import Arrivals

ADDRESSES = 1000  # of the door's table; a larger one is not carried, and a replay says so
RECORDS: tuple[type, ...] = (
    Worker,
    Attempt,
    Job,
    KeyFrequency,
    ListSubscription,
    PeerTenantRates,
    RoutedJob,
    RouteLimits,
    ConcurrencyLimiter,
    RetryBudgetWindow,
    HedgeBudget,
    LatencyPercentile,
    Alarms,
    ZoneSpillover,
    WorkerLoad,
    WorkerCapacity,
    TypicalWeight,
    OutlierEjection,
)
IN_PLACE: dict[type, tuple[str, ...]] = {  # records of which there are many, and their containers
    Worker: ("unstarted_attempts", "fetched_keys"),
    Job: ("attempts",),
    RoutedJob: (),
}
SCALARS = frozenset({type(None), bool, int, float, str})
CONTAINERS = frozenset({dict, list, OrderedDict})
SLICE, PIECE, DEEP = 64, 512, 64  # records, items, and items that are containers, written at a time
encode = msgspec.json.Encoder().encode
WHOLE: tuple[type, ...] = (Route, Queue, WorkerPool, Request, RequestLimits)  # values that are never changed
# Stored name of each field of the dispatcher that is stored, and the path of the attribute that holds it.
# Captures outlive names: a field that moves or is renamed changes its path here and keeps its stored name.
DISPATCHER_FIELDS = {
    "random": "state.random",
    "run": "estimates.mean_run_times_s",
    "workers": "state.workers",
    "jobs": "state.jobs",
    "held": "queues.by_class",
    "health": "state.health",
    "key_counts": "state.key_frequency",
    "crowd": "state.worker_load",
    "tell_at": "tenants.next_report_at",
    "scan_at": "scan.next_at",
    "strain": "outcomes.full_share",
    "told": "tenants.peer_rates",
    "warm_rate": "estimates.warm_rate",
    "warm_done": "estimates.warm_work_s",
    "warm_since": "estimates.window_start",
    "retry_tokens": "rules.retry_tokens",
    "asking": "endpoint_list.subscription",
    "now": "state.now",
    "seen": "state.observed_now",
    "unseen": "state.stalled_s",
    "timer_due": "is_timer_set",
    "serial": "serial",
}
# The same for what only a dispatcher with zone spillover has. A state without it is restored all the same,
# and the spillover then begins anew.
ZONE_FIELDS = {
    "spills": "spillovers",
    "counts": "send_counts",
    "look_at": "next_observation_at",
    "draws": "zone_random",
}
ROUND = {"settings", "handlers", "inner", "margin_s", "freed"}  # the same of what stands round the Dispatcher
RANDOM = "<625I"

State = dict[str, Any]


class StateError(ValueError):
    """The state can't be carried, or does not go with the configuration; the message says why in one line."""


def fields_of(kind: type) -> list[str]:
    anew = ("load_level", "pools", "settings")  # by Dispatcher.reindex
    return [name for name in kind.__slots__ if name not in anew]  # type: ignore[attr-defined]


def put_random(random: Random) -> list[object]:
    version, numbers, gauss = random.getstate()
    return [version, base64.b64encode(struct.pack(RANDOM, *numbers)).decode(), gauss]


def set_random(random: Random, data: list[Any]) -> None:
    version, numbers, gauss = data
    random.setstate((version, struct.unpack(RANDOM, base64.b64decode(numbers)), gauss))


class Frozen(NamedTuple):
    """A container as it was: `name` as the state has it, and what it held, pairs for a dict.

    `deep`: a dict that holds containers in turn.
    """

    name: str
    items: list[Any]
    deep: bool = False


def watched(kind: type, save: Callable[[Any], None]) -> type:
    """Like `kind`, but an object of it is saved before the first change of it. What is changed in place is
    saved when it is looked at."""

    def set_field(record: Any, name: str, value: Any) -> None:
        save(record)
        setattr(record, name, value)

    def reading(name: str) -> property:
        def get(record: Any) -> Any:
            save(record)
            return getattr(record, name)

        return property(get)

    fields: dict[str, Any] = {"__slots__": (), "__setattr__": set_field}
    return type(kind.__name__, (kind,), fields | {name: reading(name) for name in IN_PLACE[kind]})


class Taking:
    """The state of the decisions at one moment, written in slices while they go on: copy on write.

    At that moment (`begin`) containers are copied as they are, and the records of which there are many become
    `watched`: each is written before it changes, or when its turn comes. All that can change and is not
    watched is reached through something watched, so it is written in time as well. `begin` costs 0.4 us a
    record, a `step` some 2 ms, and `drop` ends it at any time. Each record is written once, and a reference
    wherever it stands: a real server is known by many jobs.
    """

    def __init__(self, decisions: Dispatcher | RouteLimitedDispatcher, arrivals: Arrivals) -> None:
        self.decisions, self.arrivals = decisions, arrivals
        self.plain = {watched(kind, self._save): kind for kind in IN_PLACE}
        self.watch = {kind: watch for watch, kind in self.plain.items()}
        self._clear()

    def _clear(self) -> None:
        self.work: Generator[None, None, None] | None = None
        self.out: list[bytes] = []
        self.numbers: dict[int, int] = {}  # of records and wholes, by identity
        self.records: list[Any] = []  # by number; they must live until all is written, as must the wholes
        self.rows: list[bytes | None] = []
        self.wholes: list[Any] = []
        self.early: list[tuple[int, list[Any]]] = []  # records whose fields are copied, and not yet written
        self.size = 0  # bytes written so far

    def begin(self) -> None:
        decisions, arrivals = self.decisions, self.arrivals
        dispatcher = decisions.inner if isinstance(decisions, RouteLimitedDispatcher) else decisions
        many: list[Any] = [*dispatcher.workers.values(), *dispatcher.jobs.values()]
        if isinstance(decisions, RouteLimitedDispatcher):
            many += decisions.runs.values()
        self.records, self.rows = [*many], [None] * len(many)
        self.numbers = dict(zip(map(id, many), range(len(many)), strict=True))
        for record in many:
            record.__class__ = self.watch[type(record)]
        fields = {name: self._freeze(attrgetter(path)(dispatcher)) for name, path in _stored(dispatcher)}
        tenants = {
            n: [t.own_rps, t.peers_rps, t.request_count, t.credit]
            for n, t in dispatcher.tenants.by_tenant.items()
        }
        parts: dict[str, Any] = {"fields": fields, "tenants": encode(tenants)}
        if isinstance(decisions, RouteLimitedDispatcher):
            kept = {name: v for name, v in vars(decisions).items() if name not in ROUND}
            parts["routes"] = {name: self._freeze(v) for name, v in kept.items()}
        if arrivals.door is not None:
            parts["door"] = encode(_door(arrivals))
        if (drills := arrivals.drills) is not None:
            running = [[until, order] for until, order in drills.running.values()]
            parts["drills"] = encode([put_random(drills.random), running, drills.stopped])
        self.work = self._write(len(many), parts)

    def step(self) -> bytes | None:
        """The whole state as JSON, once it is written; None: there is more to do."""
        assert self.work is not None
        for _ in self.work:
            return None
        state = b"".join(self.out)
        self._clear()  # none is watched any more
        return state

    def drop(self) -> None:
        """O(records). It can be begun anew."""
        for record in self.records:
            if type(record) in self.plain:
                object.__setattr__(record, "__class__", self.plain[type(record)])
        self._clear()

    def _write(self, many: int, parts: dict[str, Any]) -> Generator[None, None, None]:
        for n in range(many):
            if self.rows[n] is None:
                self._save(self.records[n])
            if n % SLICE == SLICE - 1:
                yield
        put = self.out.append
        for head, (name, part) in zip(chain([b"{"], repeat(b",")), parts.items(), strict=False):
            put(head + encode(name) + b":")
            if isinstance(part, bytes):
                put(part)
                continue
            for comma, (field, value) in zip(chain([b"{"], repeat(b",")), part.items(), strict=False):
                put(comma + encode(field) + b":")
                yield from self._pieces(value, self.out)
            put(b"}")
        for number, values in self.early:
            row = [b"[%d" % RECORDS.index(type(self.records[number]))]
            for value in values:
                row.append(b",")
                yield from self._pieces(value, row)
            self.rows[number] = b"".join(row) + b"]"
        if self.wholes:
            put(b',"wholes":' + encode([[WHOLE.index(type(v)), v] for v in self.wholes]))
        put(b',"records":[' + b",".join(row for row in self.rows if row is not None) + b"]}")

    def _pieces(self, value: Any, out: list[bytes]) -> Generator[None, None, None]:
        """A container of many, or of containers, is written some at a time."""
        if not isinstance(value, Frozen) or (len(value.items) <= PIECE and not value.deep):
            return self._out(encode(self._put(value)), out)
        name, items, _ = value
        pairs = name != "list"
        out.append(b'{"%b":[' % name.encode() if pairs else b"[")
        for at in range(0, len(items), DEEP if value.deep else PIECE):
            if at:
                out.append(b",")
                yield
            if pairs and value.deep:
                for n, (k, v) in enumerate(items[at : at + DEEP]):
                    self._out((b"," if n else b"") + b"[" + encode(self._put(k)) + b",", out)
                    yield from self._pieces(v, out)
                    out.append(b"]")
                continue
            some = items[at : at + PIECE]
            put = [[self._put(k), self._put(v)] for k, v in some] if pairs else [self._put(v) for v in some]
            self._out(encode(put)[1:-1], out)
        out.append(b"]}" if pairs else b"]")

    def _out(self, data: bytes, out: list[bytes]) -> None:
        self.size += len(data)
        out.append(data)

    def _freeze(self, value: Any) -> Any:
        """What is changed in place is copied, down to records that are watched."""
        kind = type(value)
        if kind is dict or kind is OrderedDict:
            name, items = "dict" if kind is dict else "ordered", list(value.items())
            if self._may_change(value.values()):
                items = [(k, self._freeze(v)) for k, v in items]
            return Frozen(name, items, any(type(v) is Frozen for _, v in items[:1]))
        if kind is list:
            return Frozen("list", [self._freeze(v) for v in value] if self._may_change(value) else value[:])
        if kind in RECORDS and kind not in self.watch and id(value) not in self.numbers:
            number = self._number(value)
            self.early.append((number, [self._freeze(getattr(value, n)) for n in fields_of(kind)]))
        return copy(value) if kind is Random else value

    def _may_change(self, values: Iterable[Any]) -> bool:
        return not self.still.issuperset(map(type, values))

    @property
    def still(self) -> set[type]:
        """Types of which nothing need be copied."""
        return {*SCALARS, tuple, Ending, JobClass, SpilloverState, *WHOLE, *self.plain}

    def _put(self, value: Any) -> Any:
        kind = type(value)
        if kind in SCALARS:
            return value
        if kind in RECORDS or kind in self.plain:
            return {"record": self._record(value)}
        if kind in WHOLE:
            return {"whole": self._whole(value)}
        if kind is Frozen:
            items = value.items
            if value.name == "list":
                return [self._put(v) for v in items]
            return {value.name: [[self._put(k), self._put(v)] for k, v in items]}
        if kind is dict or kind is OrderedDict:
            return self._put(Frozen("dict" if kind is dict else "ordered", list(value.items())))
        if kind is list:
            return [self._put(v) for v in value]
        if kind is tuple:
            return {"tuple": [self._put(v) for v in value]}
        if kind is Ending:
            return {"ending": value.value}
        if kind is SpilloverState:
            return {"spill": value.value}
        if kind is JobClass:
            return {"class": value.name}
        if kind is Random:
            return {"random": put_random(value)}
        raise StateError(f"a {kind.__name__} can't be carried")

    def _number(self, record: Any) -> int:
        number = self.numbers[id(record)] = len(self.records)
        self.records.append(record)
        self.rows.append(None)
        return number

    def _record(self, record: Any) -> int:
        if (number := self.numbers.get(id(record))) is None:
            number = self._number(record)
            self._save(record)
        return number

    def _save(self, record: Any) -> None:
        """Writes it as it is, as nobody has changed it yet."""
        kind = self.plain.get(type(record), type(record))
        object.__setattr__(record, "__class__", kind)
        row = [RECORDS.index(kind)]
        for name in fields_of(kind):
            value = getattr(record, name)
            if type(value) in CONTAINERS and name not in IN_PLACE.get(kind, (name,)):
                raise StateError(f"{kind.__name__}.{name} is a container that is not watched")
            row.append(value if type(value) in SCALARS else self._put(value))
        self._row(self.numbers[id(record)], row)

    def _row(self, number: int, row: list[Any]) -> None:
        data = self.rows[number] = encode(row)
        self.size += len(data)

    def _whole(self, value: Any) -> int:
        if (number := self.numbers.get(id(value))) is None:
            number = self.numbers[id(value)] = len(self.wholes)
            self.wholes.append(value)
        return number


class Reader:
    def __init__(
        self, rows: list[list[Any]], wholes: list[list[Any]], classes: Mapping[str, JobClass]
    ) -> None:
        self.classes = classes
        self.wholes = [msgspec.convert(plain, WHOLE[kind]) for kind, plain in wholes]
        self.records = [RECORDS[row[0]].__new__(RECORDS[row[0]]) for row in rows]
        for record, (kind, *values) in zip(self.records, rows, strict=True):
            for name, value in zip(fields_of(RECORDS[kind]), values, strict=True):
                setattr(record, name, self.get(value))
            if isinstance(record, Worker):  # also one that only a job still knows
                record.load_level, record.pools = None, ()

    def get(self, value: Any) -> Any:
        if isinstance(value, list):
            return [self.get(v) for v in value]
        if not isinstance(value, dict):
            return value
        [(kind, held)] = value.items()
        if kind == "record":
            return self.records[held]
        if kind == "whole":
            return self.wholes[held]
        if kind == "class":
            if held not in self.classes:
                raise StateError(f"it holds a job of class {held!r}, which the configuration does not have")
            return self.classes[held]
        if kind == "ending":
            return Ending(held)
        if kind == "spill":
            return SpilloverState(held)
        if kind == "tuple":
            return tuple(self.get(v) for v in held)
        if kind == "random":
            random = Random()
            set_random(random, held)
            return random
        pairs = [(self.get(k), self.get(v)) for k, v in held]
        return OrderedDict(pairs) if kind == "ordered" else dict(pairs)


def take(decisions: Dispatcher | RouteLimitedDispatcher, arrivals: Arrivals) -> State:
    """All at once."""
    taking = Taking(decisions, arrivals)
    taking.begin()
    while (state := taking.step()) is None:
        pass
    found: State = msgspec.json.decode(state)
    return found


def restore(state: State, decisions: Dispatcher | RouteLimitedDispatcher, arrivals: Arrivals) -> list[str]:
    """Into decisions made anew. Returns what of them can't be compared from here on."""
    try:
        _restore(state, decisions)
        return _restore_arrivals(state, arrivals)
    except (LookupError, TypeError, ValueError, AttributeError, struct.error, msgspec.MsgspecError) as e:
        raise e if isinstance(e, StateError) else StateError(f"it can't be read: {e}") from None


def _stored(dispatcher: Dispatcher) -> Iterable[tuple[str, str]]:
    """The stored name and the attribute's path of each field that this dispatcher has."""
    zone_fields = ZONE_FIELDS if dispatcher.pool_zones else {}
    return chain(zone_fields.items(), DISPATCHER_FIELDS.items())


def _set(dispatcher: Dispatcher, path: str, value: Any) -> None:
    *parts, name = path.split(".")
    holder = reduce(getattr, parts, dispatcher)
    setattr(holder, name, value)


def _restore(state: State, decisions: Dispatcher | RouteLimitedDispatcher) -> None:
    dispatcher = decisions.inner if isinstance(decisions, RouteLimitedDispatcher) else decisions
    reader = Reader(state["records"], state.get("wholes", []), dispatcher.classes)
    paths = dict(_stored(dispatcher))
    if paths.keys() ^ state["fields"].keys() not in (set(), ZONE_FIELDS.keys()):
        raise StateError("it is of another version of the decisions")
    fields = {name: reader.get(value) for name, value in state["fields"].items() if name in paths}
    for name in ("held", "run"):  # by class: those that the configuration has now
        now = attrgetter(paths[name])(dispatcher)
        kept = {n: v for n, v in fields[name].items() if (n if name == "run" else n[1]) in dispatcher.classes}
        fields[name] = kept | {n: v for n, v in now.items() if n not in kept}
    for name, value in fields.items():
        _set(dispatcher, paths[name], value)
    worker_load = dispatcher.worker_load
    for part in (dispatcher.state.key_frequency, worker_load, worker_load.learned_capacity):
        part.settings = dispatcher.settings  # of the configuration of now
    for n, (own, peers, count, credit) in state["tenants"].items():
        if (t := dispatcher.tenants.by_tenant.get(n)) is not None:
            t.own_rps, t.peers_rps, t.request_count, t.credit = own, peers, count, credit
    dispatcher.reindex()
    if isinstance(decisions, RouteLimitedDispatcher):
        routes = Routes(scope.route for scope in decisions.scopes.values())  # of the configuration of now
        vars(decisions).update({n: reader.get(v) for n, v in state.get("routes", {}).items()})
        decisions.apply_routes(routes)


def _tables(arrivals: Arrivals) -> dict[str, Any]:
    if arrivals.door is None:
        return {}
    general = {"": arrivals.door.general} if arrivals.door.general is not None else {}
    return general | arrivals.door.of_class


def _door(arrivals: Arrivals) -> dict[str, Any] | None:
    tables = _tables(arrivals)
    if sum(len(b.full_at) for b in tables.values()) > ADDRESSES:
        return None
    return {name: [b.start, list(b.full_at.items())] for name, b in tables.items()}


def _restore_arrivals(state: State, arrivals: Arrivals) -> list[str]:
    lacking = []
    tables, carried = _tables(arrivals), state.get("door", {})
    if tables and carried is None:
        lacking.append("what was decided on arriving requests, as the door's table was too large to carry")
    for name in tables.keys() & (carried or {}).keys():  # a table that is new now starts empty
        tables[name].start, full_at = carried[name]
        tables[name].full_at = OrderedDict((a, t) for a, t in full_at)
    if arrivals.drills is not None and "drills" in state:
        random, running, arrivals.drills.stopped = state["drills"]
        set_random(arrivals.drills.random, random)
        orders = [(until, msgspec.convert(order, Order)) for until, order in running]
        arrivals.drills.running = {order.job_class: (until, order) for until, order in orders}
        arrivals.drills.applied = dict.fromkeys(arrivals.drills.running, 0)  # decides nothing
    return lacking
