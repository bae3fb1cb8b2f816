"""Snapshots of the dispatcher's state as JSON, and their restoration.

A capture whose first inputs were dropped is replayed from a snapshot.

All slots of the record types are stored, so a field that is added to a record type needs no change here.
Values that are derived from the settings are not stored: a snapshot is restored into a new dispatcher with
the present configuration.
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

MAX_STORED_ADDRESSES = 1000  # with more, admission limits are neither stored nor replayed
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
MUTABLE_FIELDS: dict[
    type, tuple[str, ...]
] = {  # types of the most frequent records, and their fields with containers
    Worker: ("unstarted_attempts", "fetched_keys"),
    Job: ("attempts",),
    RoutedJob: (),
}
SCALARS = frozenset({type(None), bool, int, float, str})
CONTAINERS = frozenset({dict, list, OrderedDict})
RECORDS_PER_STEP, ITEMS_PER_STEP, CONTAINERS_PER_STEP = 64, 512, 64  # encoded in one step
encode = msgspec.json.Encoder().encode
# Each value of these types is encoded once and referenced by its number.
IMMUTABLE_TYPES: tuple[type, ...] = (Route, Queue, WorkerPool, Request, RequestLimits)
# Name of each stored field of the dispatcher, and the path of its attribute.
# Captures of earlier versions must remain readable: a field that moves or is renamed changes its path here
# and keeps its stored name.
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
# Stored names of the fields that earlier versions did not store; without them the initial values stay.
ADDED_FIELDS = {"ran": "estimates.observed_run_times_s"}
# Stored names and attribute paths of the fields that only a dispatcher with zone spillover has. A state
# without them can be restored; spillover then starts from its initial state.
ZONE_FIELDS = {
    "spills": "spillovers",
    "counts": "send_counts",
    "look_at": "next_observation_at",
    "draws": "zone_random",
}
# attributes of RouteLimitedDispatcher that are not stored
UNSTORED_ROUTE_FIELDS = {
    "settings",
    "handlers",
    "inner",
    "margin_s",
    "freed",
}
RANDOM_STATE_FORMAT = "<625I"

State = dict[str, Any]


class StateError(ValueError):
    """The state can't be stored, or doesn't fit the configuration; the message is one line."""


def stored_slots(kind: type) -> list[str]:
    derived = ("load_level", "pools", "settings")  # not stored: computed or set again after a restoration
    return [name for name in kind.__slots__ if name not in derived]  # type: ignore[attr-defined]


def encode_random(random: Random) -> list[object]:
    version, numbers, gauss = random.getstate()
    return [version, base64.b64encode(struct.pack(RANDOM_STATE_FORMAT, *numbers)).decode(), gauss]


def restore_random(random: Random, data: list[Any]) -> None:
    version, numbers, gauss = data
    random.setstate((version, struct.unpack(RANDOM_STATE_FORMAT, base64.b64decode(numbers)), gauss))


class FrozenContainer(NamedTuple):
    """A copied container: the stored name of its type, and its items (pairs for a dict).

    `is_nested` is set if the values of a dict are containers too.
    """

    name: str
    items: list[Any]
    is_nested: bool = False


def tracked_type(kind: type, save: Callable[[Any], None]) -> type:
    """Returns a subclass of `kind` whose objects are passed to `save` before their first change.

    Fields that are mutated in place are saved when they are read.
    """

    def set_field(record: Any, name: str, value: Any) -> None:
        save(record)
        setattr(record, name, value)

    def saving_property(name: str) -> property:
        def get(record: Any) -> Any:
            save(record)
            return getattr(record, name)

        return property(get)

    fields: dict[str, Any] = {"__slots__": (), "__setattr__": set_field}
    return type(
        kind.__name__, (kind,), fields | {name: saving_property(name) for name in MUTABLE_FIELDS[kind]}
    )


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
        self.tracked_types = {kind: tracked for tracked, kind in self.original_types.items()}
        self._clear()

    def _clear(self) -> None:
        self.work: Generator[None, None, None] | None = None
        self.out: list[bytes] = []
        self.numbers: dict[int, int] = {}  # numbers of records and immutable values by `id`
        self.records: list[Any] = []  # by number; kept so that no `id` is reused during the snapshot
        self.rows: list[bytes | None] = []
        self.immutable_values: list[Any] = []
        self.unwritten: list[tuple[int, list[Any]]] = []  # records that are copied, but not yet encoded
        self.size = 0  # bytes encoded so far

    def begin(self) -> None:
        """Copies or tracks all state, which `step` then encodes; O(records)."""
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
            stored = {name: v for name, v in vars(decisions).items() if name not in UNSTORED_ROUTE_FIELDS}
            parts["routes"] = {name: self._freeze(v) for name, v in stored.items()}
        if arrivals.client_limits is not None:
            parts["door"] = encode(_client_limits(arrivals))
        if (injector := arrivals.fault_injector) is not None:
            active = [[until, order] for until, order in injector.active.values()]
            parts["drills"] = encode([encode_random(injector.random), active, injector.stopped])
        self.work = self._write(len(tracked), parts)

    def step(self) -> bytes | None:
        """Does one step; returns the state as JSON after the last one, until then None."""
        assert self.work is not None
        for _ in self.work:
            return None
        state = b"".join(self.out)
        self._clear()  # by now every record has its original type again
        return state

    def discard(self) -> None:
        """Ends the snapshot, so that another one can begin; O(records)."""
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
        """Encodes a value; yields between parts of a large container or of one with containers in it."""
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
        """Copies a value that is mutated in place, down to records of tracked types."""
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
        """Types whose values need no copy: they are immutable, or their objects are tracked."""
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
        raise StateError(f"a snapshot can't store values of type {kind.__name__}")

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
        """Encodes a record that hasn't changed since the snapshot began, and makes it untracked."""
        kind = self.original_types.get(type(record), type(record))
        object.__setattr__(record, "__class__", kind)
        row = [RECORD_TYPES.index(kind)]
        for name in stored_slots(kind):
            value = getattr(record, name)
            if type(value) in CONTAINERS and name not in MUTABLE_FIELDS.get(kind, (name,)):
                raise StateError(f"{kind.__name__}.{name} is a container that isn't listed in MUTABLE_FIELDS")
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
    """Decodes values of a state; records and immutable values are referenced by number."""

    def __init__(
        self, rows: list[list[Any]], wholes: list[list[Any]], classes: Mapping[str, JobClass]
    ) -> None:
        self.classes = classes
        self.immutable_values = [msgspec.convert(plain, IMMUTABLE_TYPES[kind]) for kind, plain in wholes]
        self.records = [RECORD_TYPES[row[0]].__new__(RECORD_TYPES[row[0]]) for row in rows]
        for record, (kind, *values) in zip(self.records, rows, strict=True):
            for name, value in zip(stored_slots(RECORD_TYPES[kind]), values, strict=True):
                setattr(record, name, self.get(value))
            if isinstance(record, Worker):  # also a worker that only a job refers to
                record.load_level, record.pools = None, ()

    def get(self, value: Any) -> Any:
        if isinstance(value, list):
            return [self.get(v) for v in value]
        if not isinstance(value, dict):
            return value
        [(kind, content)] = value.items()
        if kind == "record":
            return self.records[content]
        if kind == "whole":
            return self.immutable_values[content]
        if kind == "class":
            if content not in self.classes:
                raise StateError(f"the state has a job of class {content!r}, which isn't configured")
            return self.classes[content]
        if kind == "ending":
            return Ending(content)
        if kind == "spill":
            return SpilloverState(content)
        if kind == "tuple":
            return tuple(self.get(v) for v in content)
        if kind == "random":
            random = Random()
            restore_random(random, content)
            return random
        pairs = [(self.get(k), self.get(v)) for k, v in content]
        return OrderedDict(pairs) if kind == "ordered" else dict(pairs)


def take(decisions: Dispatcher | RouteLimitedDispatcher, arrivals: RequestAdmission) -> State:
    """Returns a snapshot of the present state."""
    writer = SnapshotWriter(decisions, arrivals)
    writer.begin()
    while (state := writer.step()) is None:
        pass
    decoded: State = msgspec.json.decode(state)
    return decoded


def restore(
    state: State, decisions: Dispatcher | RouteLimitedDispatcher, arrivals: RequestAdmission
) -> list[str]:
    """Restores a state into a new dispatcher and admission.

    Returns:
        The decisions that can't be compared after this state, one description each.

    Raises:
        StateError: The state can't be decoded, or doesn't fit the configuration.
    """
    try:
        _restore(state, decisions)
        return _restore_arrivals(state, arrivals)
    except (LookupError, TypeError, ValueError, AttributeError, struct.error, msgspec.MsgspecError) as e:
        raise e if isinstance(e, StateError) else StateError(f"the state can't be decoded: {e}") from None


def _stored(dispatcher: Dispatcher) -> Iterable[tuple[str, str]]:
    """Returns the stored name and the attribute path of each field of this dispatcher."""
    zone_fields = ZONE_FIELDS if dispatcher.pool_zones else {}
    return chain(zone_fields.items(), DISPATCHER_FIELDS.items(), ADDED_FIELDS.items())


def _set(dispatcher: Dispatcher, path: str, value: Any) -> None:
    *parts, name = path.split(".")
    holder = reduce(getattr, parts, dispatcher)
    setattr(holder, name, value)


def _restore(state: State, decisions: Dispatcher | RouteLimitedDispatcher) -> None:
    dispatcher = decisions.inner if isinstance(decisions, RouteLimitedDispatcher) else decisions
    reader = SnapshotReader(state["records"], state.get("wholes", []), dispatcher.classes)
    paths = dict(_stored(dispatcher))
    differing = paths.keys() ^ state["fields"].keys()
    if differing - ADDED_FIELDS.keys() not in (set(), ZONE_FIELDS.keys()):
        raise StateError("the state has other fields than this version stores")
    fields = {name: reader.get(value) for name, value in state["fields"].items() if name in paths}
    # values by class: those of classes no longer configured are dropped, new classes get initial values
    for name in ("held", "run"):
        initial = attrgetter(paths[name])(dispatcher)
        kept = {n: v for n, v in fields[name].items() if (n if name == "run" else n[1]) in dispatcher.classes}
        fields[name] = kept | {n: v for n, v in initial.items() if n not in kept}
    for name, value in fields.items():
        _set(dispatcher, paths[name], value)
    worker_load = dispatcher.worker_load
    for part in (dispatcher.state.key_frequency, worker_load, worker_load.learned_capacity):
        part.settings = dispatcher.settings  # not the stored settings
    for n, (own, peers, count, credit) in state["tenants"].items():
        if (t := dispatcher.tenants.by_tenant.get(n)) is not None:
            t.own_rps, t.peers_rps, t.request_count, t.credit = own, peers, count, credit
    dispatcher.reindex()
    if isinstance(decisions, RouteLimitedDispatcher):
        routes = Routes(scope.route for scope in decisions.scopes.values())  # not the stored routes
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
    tables, stored = _bucket_tables(arrivals), state.get("door", {})
    if tables and stored is None:
        not_comparable.append(
            "admission decisions, as the admission limits had too many client addresses to store"
        )
    for name in tables.keys() & (stored or {}).keys():  # tables that were not stored start empty
        tables[name].started_at, full_at = stored[name]
        tables[name].full_at = OrderedDict((a, t) for a, t in full_at)
    if arrivals.fault_injector is not None and "drills" in state:
        random, active, arrivals.fault_injector.stopped = state["drills"]
        restore_random(arrivals.fault_injector.random, random)
        orders = [(until, msgspec.convert(order, FaultOrder)) for until, order in active]
        arrivals.fault_injector.active = {order.job_class: (until, order) for until, order in orders}
        arrivals.fault_injector.applied = dict.fromkeys(
            arrivals.fault_injector.active, 0
        )  # used for metrics only
    return not_comparable
