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
from finchladder.features.fault_injection import FaultOrder
from finchladder.features.request_admission import RequestAdmission

MAX_STORED_ADDRESSES = 1000  # of the door's table; a larger one is not carried, and a replay says so
RECORD_TYPES: tuple[type, ...] = (
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
MUTABLE_FIELDS: dict[type, tuple[str, ...]] = {  # records of frequent types, and their containers
    Worker: ("unstarted_attempts", "fetched_keys"),
    Job: ("attempts",),
    RoutedJob: (),
}
SCALARS = frozenset({type(None), bool, int, float, str})
CONTAINERS = frozenset({dict, list, OrderedDict})
RECORDS_PER_STEP, ITEMS_PER_STEP, CONTAINERS_PER_STEP = (
    64,
    512,
    64,
)  # records, items, and items that are containers, written at a time
encode = msgspec.json.Encoder().encode
IMMUTABLE_TYPES: tuple[type, ...] = (
    Route,
    Queue,
    WorkerPool,
    Request,
    RequestLimits,
)  # values that are never changed
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
UNSTORED_ROUTE_FIELDS = {
    "settings",
    "handlers",
    "inner",
    "margin_s",
    "freed",
}  # the same of what stands round the Dispatcher
RANDOM_STATE_FORMAT = "<625I"

State = dict[str, Any]


class StateError(ValueError):
    """The state can't be carried, or does not go with the configuration; the message says why in one line."""


def stored_slots(kind: type) -> list[str]:
    anew = ("load_level", "pools", "settings")  # by Dispatcher.reindex
    return [name for name in kind.__slots__ if name not in anew]  # type: ignore[attr-defined]


def encode_random(random: Random) -> list[object]:
    version, numbers, gauss = random.getstate()
    return [version, base64.b64encode(struct.pack(RANDOM_STATE_FORMAT, *numbers)).decode(), gauss]


def restore_random(random: Random, data: list[Any]) -> None:
    version, numbers, gauss = data
    random.setstate((version, struct.unpack(RANDOM_STATE_FORMAT, base64.b64decode(numbers)), gauss))


class FrozenContainer(NamedTuple):
    """A container as it was: `name` as the state has it, and what it held, pairs for a dict.

    `is_nested`: a dict that holds containers in turn.
    """

    name: str
    items: list[Any]
    is_nested: bool = False


def tracked_type(kind: type, save: Callable[[Any], None]) -> type:
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
    return type(kind.__name__, (kind,), fields | {name: reading(name) for name in MUTABLE_FIELDS[kind]})


class SnapshotWriter:
    """Encodes the state at one moment in steps, while decisions continue: copy on write.

    `begin` copies the containers and turns the records of the most frequent types into tracked types (see
    `tracked_type`), so that each is encoded before its first change, or else when its turn comes. All other
    mutable state is reached through a tracked record, so it is encoded in time as well. `begin` takes 0.4 us
    for each record, a `step` about 2 ms; `discard` ends the snapshot at any time. Each record is encoded once
    and referenced by its number elsewhere, as many jobs refer to the same worker.
    """

    def __init__(self, decisions: Dispatcher | RouteLimitedDispatcher, arrivals: RequestAdmission) -> None:
        self.decisions, self.arrivals = decisions, arrivals
        self.original_types = {tracked_type(kind, self._save_record): kind for kind in MUTABLE_FIELDS}
        self.tracked_types = {kind: watch for watch, kind in self.original_types.items()}
        self._clear()

    def _clear(self) -> None:
        self.work: Generator[None, None, None] | None = None
        self.out: list[bytes] = []
        self.numbers: dict[int, int] = {}  # of records and wholes, by identity
        self.records: list[Any] = []  # by number; they must live until all is written, as must the wholes
        self.rows: list[bytes | None] = []
        self.immutable_values: list[Any] = []
        self.unwritten: list[
            tuple[int, list[Any]]
        ] = []  # records whose fields are copied, and not yet written
        self.size = 0  # bytes written so far

    def begin(self) -> None:
        decisions, arrivals = self.decisions, self.arrivals
        dispatcher = decisions.inner if isinstance(decisions, RouteLimitedDispatcher) else decisions
        tracked: list[Any] = [*dispatcher.workers.values(), *dispatcher.jobs.values()]
        if isinstance(decisions, RouteLimitedDispatcher):
            tracked += decisions.runs.values()
        self.records, self.rows = [*tracked], [None] * len(tracked)
        self.numbers = dict(zip(map(id, tracked), range(len(tracked)), strict=True))
        for record in tracked:
            record.__class__ = self.tracked_types[type(record)]
        fields = {name: self._freeze(attrgetter(path)(dispatcher)) for name, path in _stored(dispatcher)}
        tenants = {
            n: [t.own_rps, t.peers_rps, t.request_count, t.credit]
            for n, t in dispatcher.tenants.by_tenant.items()
        }
        parts: dict[str, Any] = {"fields": fields, "tenants": encode(tenants)}
        if isinstance(decisions, RouteLimitedDispatcher):
            kept = {name: v for name, v in vars(decisions).items() if name not in UNSTORED_ROUTE_FIELDS}
            parts["routes"] = {name: self._freeze(v) for name, v in kept.items()}
        if arrivals.client_limits is not None:
            parts["door"] = encode(_client_limits(arrivals))
        if (drills := arrivals.fault_injector) is not None:
            running = [[until, order] for until, order in drills.active.values()]
            parts["drills"] = encode([encode_random(drills.random), running, drills.stopped])
        self.work = self._write(len(tracked), parts)

    def step(self) -> bytes | None:
        """The whole state as JSON, once it is written; None: there is more to do."""
        assert self.work is not None
        for _ in self.work:
            return None
        state = b"".join(self.out)
        self._clear()  # none is watched any more
        return state

    def discard(self) -> None:
        """O(records). It can be begun anew."""
        for record in self.records:
            if type(record) in self.original_types:
                object.__setattr__(record, "__class__", self.original_types[type(record)])
        self._clear()

    def _write(self, record_count: int, parts: dict[str, Any]) -> Generator[None, None, None]:
        for n in range(record_count):
            if self.rows[n] is None:
                self._save_record(self.records[n])
            if n % RECORDS_PER_STEP == RECORDS_PER_STEP - 1:
                yield
        put = self.out.append
        for head, (name, part) in zip(chain([b"{"], repeat(b",")), parts.items(), strict=False):
            put(head + encode(name) + b":")
            if isinstance(part, bytes):
                put(part)
                continue
            for comma, (field, value) in zip(chain([b"{"], repeat(b",")), part.items(), strict=False):
                put(comma + encode(field) + b":")
                yield from self._encode_in_steps(value, self.out)
            put(b"}")
        for number, values in self.unwritten:
            row = [b"[%d" % RECORD_TYPES.index(type(self.records[number]))]
            for value in values:
                row.append(b",")
                yield from self._encode_in_steps(value, row)
            self.rows[number] = b"".join(row) + b"]"
        if self.immutable_values:
            put(b',"wholes":' + encode([[IMMUTABLE_TYPES.index(type(v)), v] for v in self.immutable_values]))
        put(b',"records":[' + b",".join(row for row in self.rows if row is not None) + b"]}")

    def _encode_in_steps(self, value: Any, out: list[bytes]) -> Generator[None, None, None]:
        """A container of many items, or of containers, is written some at a time."""
        if not isinstance(value, FrozenContainer) or (
            len(value.items) <= ITEMS_PER_STEP and not value.is_nested
        ):
            return self._append(encode(self._to_json(value)), out)
        name, items, _ = value
        pairs = name != "list"
        out.append(b'{"%b":[' % name.encode() if pairs else b"[")
        for at in range(0, len(items), CONTAINERS_PER_STEP if value.is_nested else ITEMS_PER_STEP):
            if at:
                out.append(b",")
                yield
            if pairs and value.is_nested:
                for n, (k, v) in enumerate(items[at : at + CONTAINERS_PER_STEP]):
                    self._append((b"," if n else b"") + b"[" + encode(self._to_json(k)) + b",", out)
                    yield from self._encode_in_steps(v, out)
                    out.append(b"]")
                continue
            some = items[at : at + ITEMS_PER_STEP]
            put = (
                [[self._to_json(k), self._to_json(v)] for k, v in some]
                if pairs
                else [self._to_json(v) for v in some]
            )
            self._append(encode(put)[1:-1], out)
        out.append(b"]}" if pairs else b"]")

    def _append(self, data: bytes, out: list[bytes]) -> None:
        self.size += len(data)
        out.append(data)

    def _freeze(self, value: Any) -> Any:
        """What is changed in place is copied, down to records that are watched."""
        kind = type(value)
        if kind is dict or kind is OrderedDict:
            name, items = "dict" if kind is dict else "ordered", list(value.items())
            if self._needs_copy(value.values()):
                items = [(k, self._freeze(v)) for k, v in items]
            return FrozenContainer(name, items, any(type(v) is FrozenContainer for _, v in items[:1]))
        if kind is list:
            return FrozenContainer(
                "list", [self._freeze(v) for v in value] if self._needs_copy(value) else value[:]
            )
        if kind in RECORD_TYPES and kind not in self.tracked_types and id(value) not in self.numbers:
            number = self._number(value)
            self.unwritten.append((number, [self._freeze(getattr(value, n)) for n in stored_slots(kind)]))
        return copy(value) if kind is Random else value

    def _needs_copy(self, values: Iterable[Any]) -> bool:
        return not self.immutable_types.issuperset(map(type, values))

    @property
    def immutable_types(self) -> set[type]:
        """Types of which nothing need be copied."""
        return {*SCALARS, tuple, Ending, JobClass, SpilloverState, *IMMUTABLE_TYPES, *self.original_types}

    def _to_json(self, value: Any) -> Any:
        kind = type(value)
        if kind in SCALARS:
            return value
        if kind in RECORD_TYPES or kind in self.original_types:
            return {"record": self._record_number(value)}
        if kind in IMMUTABLE_TYPES:
            return {"whole": self._immutable_number(value)}
        if kind is FrozenContainer:
            items = value.items
            if value.name == "list":
                return [self._to_json(v) for v in items]
            return {value.name: [[self._to_json(k), self._to_json(v)] for k, v in items]}
        if kind is dict or kind is OrderedDict:
            return self._to_json(FrozenContainer("dict" if kind is dict else "ordered", list(value.items())))
        if kind is list:
            return [self._to_json(v) for v in value]
        if kind is tuple:
            return {"tuple": [self._to_json(v) for v in value]}
        if kind is Ending:
            return {"ending": value.value}
        if kind is SpilloverState:
            return {"spill": value.value}
        if kind is JobClass:
            return {"class": value.name}
        if kind is Random:
            return {"random": encode_random(value)}
        raise StateError(f"a {kind.__name__} can't be carried")

    def _number(self, record: Any) -> int:
        number = self.numbers[id(record)] = len(self.records)
        self.records.append(record)
        self.rows.append(None)
        return number

    def _record_number(self, record: Any) -> int:
        if (number := self.numbers.get(id(record))) is None:
            number = self._number(record)
            self._save_record(record)
        return number

    def _save_record(self, record: Any) -> None:
        """Writes it as it is, as nobody has changed it yet."""
        kind = self.original_types.get(type(record), type(record))
        object.__setattr__(record, "__class__", kind)
        row = [RECORD_TYPES.index(kind)]
        for name in stored_slots(kind):
            value = getattr(record, name)
            if type(value) in CONTAINERS and name not in MUTABLE_FIELDS.get(kind, (name,)):
                raise StateError(f"{kind.__name__}.{name} is a container that is not watched")
            row.append(value if type(value) in SCALARS else self._to_json(value))
        self._set_row(self.numbers[id(record)], row)

    def _set_row(self, number: int, row: list[Any]) -> None:
        data = self.rows[number] = encode(row)
        self.size += len(data)

    def _immutable_number(self, value: Any) -> int:
        if (number := self.numbers.get(id(value))) is None:
            number = self.numbers[id(value)] = len(self.immutable_values)
            self.immutable_values.append(value)
        return number


class SnapshotReader:
    def __init__(
        self, rows: list[list[Any]], wholes: list[list[Any]], classes: Mapping[str, JobClass]
    ) -> None:
        self.classes = classes
        self.immutable_values = [msgspec.convert(plain, IMMUTABLE_TYPES[kind]) for kind, plain in wholes]
        self.records = [RECORD_TYPES[row[0]].__new__(RECORD_TYPES[row[0]]) for row in rows]
        for record, (kind, *values) in zip(self.records, rows, strict=True):
            for name, value in zip(stored_slots(RECORD_TYPES[kind]), values, strict=True):
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
            return self.immutable_values[held]
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
            restore_random(random, held)
            return random
        pairs = [(self.get(k), self.get(v)) for k, v in held]
        return OrderedDict(pairs) if kind == "ordered" else dict(pairs)


def take(decisions: Dispatcher | RouteLimitedDispatcher, arrivals: RequestAdmission) -> State:
    """All at once."""
    taking = SnapshotWriter(decisions, arrivals)
    taking.begin()
    while (state := taking.step()) is None:
        pass
    found: State = msgspec.json.decode(state)
    return found


def restore(
    state: State, decisions: Dispatcher | RouteLimitedDispatcher, arrivals: RequestAdmission
) -> list[str]:
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
    reader = SnapshotReader(state["records"], state.get("wholes", []), dispatcher.classes)
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


def _bucket_tables(arrivals: RequestAdmission) -> dict[str, Any]:
    if arrivals.client_limits is None:
        return {}
    general = {"": arrivals.client_limits.general} if arrivals.client_limits.general is not None else {}
    return general | arrivals.client_limits.by_class


def _client_limits(arrivals: RequestAdmission) -> dict[str, Any] | None:
    tables = _bucket_tables(arrivals)
    if sum(len(b.full_at) for b in tables.values()) > MAX_STORED_ADDRESSES:
        return None
    return {name: [b.started_at, list(b.full_at.items())] for name, b in tables.items()}


def _restore_arrivals(state: State, arrivals: RequestAdmission) -> list[str]:
    not_comparable = []
    tables, carried = _bucket_tables(arrivals), state.get("door", {})
    if tables and carried is None:
        not_comparable.append(
            "what was decided on arriving requests, as the door's table was too large to carry"
        )
    for name in tables.keys() & (carried or {}).keys():  # a table that is new now starts empty
        tables[name].started_at, full_at = carried[name]
        tables[name].full_at = OrderedDict((a, t) for a, t in full_at)
    if arrivals.fault_injector is not None and "drills" in state:
        random, running, arrivals.fault_injector.stopped = state["drills"]
        restore_random(arrivals.fault_injector.random, random)
        orders = [(until, msgspec.convert(order, FaultOrder)) for until, order in running]
        arrivals.fault_injector.active = {order.job_class: (until, order) for until, order in orders}
        arrivals.fault_injector.applied = dict.fromkeys(arrivals.fault_injector.active, 0)  # decides nothing
    return not_comparable
