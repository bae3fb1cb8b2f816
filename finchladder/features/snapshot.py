"""The state of the decisions as JSON values, and back: what a capture needs that has lost its start.

Goes through all fields of the records, so a field that policy.py or records.py comes to hold later is carried
without a change here. What follows from the settings is left out: a state is restored into decisions made
anew from the configuration as it is then.
"""

import base64
import struct
from collections import OrderedDict
from collections.abc import Mapping
from random import Random
from typing import Any

import msgspec

from finchladder.core.alarms import Alarms
from finchladder.core.api import Ending, JobClass, Own, Request, WorkerPool
from finchladder.core.asking import Asking
from finchladder.core.counts import KeyCounts
from finchladder.core.guarded import Guarded, Run, Scope
from finchladder.core.hedging import Allowance, Times
from finchladder.core.limits import Limiter
from finchladder.core.policy import Dispatcher
from finchladder.core.records import Attempt, Job, Worker
from finchladder.core.retries import Budget
from finchladder.core.routes import Queue, Route, Routes
from finchladder.core.told import Told
from finchladder.features.arrivals import Arrivals
from finchladder.features.door import Buckets
from finchladder.features.drills import Order

ADDRESSES = 1000  # of the door's table; a larger one is not carried, and a replay says so
RECORDS: tuple[type, ...] = (Worker, Attempt, Job, KeyCounts, Asking, Told, Run, Scope, Limiter, Budget,
                            Allowance, Times, Alarms)  # fmt: skip
WHOLE: tuple[type, ...] = (Route, Queue, WorkerPool, Request, Own)  # values that are never changed
FOLLOWS = {"s", "classes", "spares_unsafe", "sweep", "start_grace", "stall", "handlers", "actions", "tenants",
           "fleet", "agenda"}  # fmt: skip
ROUND = {"s", "handlers", "inner", "margin_s", "freed"}  # the same of what stands round the Dispatcher
RANDOM = "<625I"

State = dict[str, Any]


class StateError(ValueError):
    """The state can't be carried, or does not go with the configuration; the message says why in one line."""


def fields_of(kind: type) -> list[str]:
    anew = ("level", "pools")  # by Dispatcher.reindex
    return [name for name in kind.__slots__ if name not in anew]  # type: ignore[attr-defined]


def put_random(random: Random) -> list[object]:
    version, numbers, gauss = random.getstate()
    return [version, base64.b64encode(struct.pack(RANDOM, *numbers)).decode(), gauss]


def set_random(random: Random, data: list[Any]) -> None:
    version, numbers, gauss = data
    random.setstate((version, struct.unpack(RANDOM, base64.b64decode(numbers)), gauss))


class Writer:
    """Each record once, and a reference wherever it stands: a real server is known by many jobs."""

    def __init__(self) -> None:
        self.numbers: dict[int, int] = {}
        self.records: list[list[Any]] = []
        self.wholes: list[list[Any]] = []

    def put(self, value: Any) -> Any:
        kind = type(value)
        if value is None or kind in (bool, int, float, str):
            return value
        if kind in RECORDS:
            return {"record": self._record(value)}
        if kind in WHOLE:
            return {"whole": self._whole(value)}
        if kind is dict or kind is OrderedDict:
            name = "dict" if kind is dict else "ordered"
            return {name: [[self.put(k), self.put(v)] for k, v in value.items()]}
        if kind is list:
            return [self.put(v) for v in value]
        if kind is tuple:
            return {"tuple": [self.put(v) for v in value]}
        if kind is Ending:
            return {"ending": value.value}
        if kind is JobClass:
            return {"class": value.name}
        if kind is Random:
            return {"random": put_random(value)}
        raise StateError(f"a {kind.__name__} can't be carried")

    def _record(self, value: Any) -> int:
        if (number := self.numbers.get(id(value))) is None:
            number = self.numbers[id(value)] = len(self.records)
            row: list[Any] = [RECORDS.index(type(value))]
            self.records.append(row)  # before its fields, which may lead back to it
            row += [self.put(getattr(value, name)) for name in fields_of(type(value))]
        return number


    def _whole(self, value: Any) -> int:
        if (number := self.numbers.get(id(value))) is None:
            number = self.numbers[id(value)] = len(self.wholes)
            self.wholes.append([WHOLE.index(type(value)), msgspec.to_builtins(value)])
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
                record.level, record.pools = None, ()

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
        if kind == "tuple":
            return tuple(self.get(v) for v in held)
        if kind == "random":
            random = Random()
            set_random(random, held)
            return random
        pairs = [(self.get(k), self.get(v)) for k, v in held]
        return OrderedDict(pairs) if kind == "ordered" else dict(pairs)


def take(decisions: Dispatcher | Guarded, arrivals: Arrivals) -> State:
    writer = Writer()
    dispatcher = decisions.inner if isinstance(decisions, Guarded) else decisions
    fields = {name: writer.put(v) for name, v in vars(dispatcher).items() if name not in FOLLOWS}
    tenants = {n: [t.own, t.peers, t.count, t.credit] for n, t in dispatcher.tenants.items()}
    state: State = {"records": writer.records, "fields": fields, "tenants": tenants}
    if isinstance(decisions, Guarded):
        state["routes"] = {name: writer.put(v) for name, v in vars(decisions).items() if name not in ROUND}
    if writer.wholes:
        state["wholes"] = writer.wholes
    if arrivals.door is not None:
        state["door"] = _door(arrivals)
    if (drills := arrivals.drills) is not None:
        running = [[until, order] for until, order in drills.running.values()]
        state["drills"] = [put_random(drills.random), running, drills.stopped]
    return state


def restore(state: State, decisions: Dispatcher | Guarded, arrivals: Arrivals) -> list[str]:
    """Into decisions made anew. Returns what of them can't be compared from here on."""
    try:
        _restore(state, decisions)
        return _restore_arrivals(state, arrivals)
    except (LookupError, TypeError, ValueError, AttributeError, struct.error, msgspec.MsgspecError) as e:
        raise e if isinstance(e, StateError) else StateError(f"it can't be read: {e}") from None


def _restore(state: State, decisions: Dispatcher | Guarded) -> None:
    dispatcher = decisions.inner if isinstance(decisions, Guarded) else decisions
    reader = Reader(state["records"], state.get("wholes", []), dispatcher.classes)
    known = set(vars(dispatcher)) - FOLLOWS
    if known != set(state["fields"]):
        raise StateError("it is of another version of the decisions")
    fields = {name: reader.get(value) for name, value in state["fields"].items()}
    for name in ("held", "run"):  # by class: those that the configuration has now
        now = getattr(dispatcher, name)
        kept = {n: v for n, v in fields[name].items() if (n if name == "run" else n[1]) in dispatcher.classes}
        fields[name] = kept | {n: v for n, v in now.items() if n not in kept}
    vars(dispatcher).update(fields)
    for n, (own, peers, count, credit) in state["tenants"].items():
        if (t := dispatcher.tenants.get(n)) is not None:
            t.own, t.peers, t.count, t.credit = own, peers, count, credit
    dispatcher.reindex()
    if isinstance(decisions, Guarded):
        routes = Routes(scope.route for scope in decisions.scopes.values())  # of the configuration of now
        vars(decisions).update({n: reader.get(v) for n, v in state.get("routes", {}).items()})
        decisions.take(routes)


def _tables(arrivals: Arrivals) -> dict[str, Buckets]:
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
