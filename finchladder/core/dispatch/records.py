"""What a dispatcher remembers of a worker, an attempt and a job. Records only: policy.py decides."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Any

from finchladder.core.api import NEVER_RAN, Ending, JobClass, Request, WorkerEntry, WorkerPool

Line = tuple[int, str]  # priority and class: jobs that wait for the same room


class Worker:
    __slots__ = (
        "address",
        "zone",
        "kind",
        "cell",
        "born",
        "ready",
        "load",
        "t",
        "rest_until",
        "unstarted",
        "sick",
        "ejected_until",
        "ejections",
        "cold_credit",
        "credit_at",
        "rests",
        "fetched",
        "heard",
        "turn",
        "level",
        "pools",
        "weight",
        "finish",
        "size",
        "pace",
    )

    def __init__(self, e: WorkerEntry, t: float) -> None:
        self.address, self.zone, self.kind, self.cell = e.worker, e.zone, e.kind, e.cell
        self.heard = 0.0  # when it last told of any job
        self.load = 0.0  # own slots in flight
        self.unstarted: dict[Attempt, float] = {}  # attempts sent and not known to have started
        self.ready = False
        self.weight, self.finish = 0.0, 1.0  # see crowd.py; 0: not told, or it does not tell how full it is
        self.size = 1.0  # as the list tells it once for all; see sizes.py
        self.turn = 0  # its place among those with the same load
        # kept by fleet.py: the pools that it is in, and its level there
        self.level: tuple[float, bool] | None = None
        self.pools: tuple[Any, ...] = ()
        self.restart(e.started_at, t, 0.0)

    def restart(self, born: float, t: float, credit: float) -> None:
        """Nothing learned of the process before counts for the new one."""
        self.born = born
        self.t, self.rest_until, self.rests = t, 0.0, 0
        self.sick, self.ejected_until, self.ejections = 0.0, 0.0, 0
        self.cold_credit, self.credit_at = credit, born
        self.pace = (0.0, 0.0)  # jobs that ran there, and how long against the usual; see sizes.py
        self.fetched: dict[int | None, None] = {}  # keys sent while cold: what they need is there


class Attempt:
    __slots__ = ("worker", "sent", "started", "ending", "stalled", "told", "seen")

    def __init__(self, worker: Worker, sent: float, seen: float) -> None:
        self.worker, self.sent, self.seen = worker, sent, seen  # `seen`: sent, by the clock that follows
        # the next two go by a clock that stands still while the dispatcher can't look at what comes
        self.started: float | None = None
        self.ending: Ending | None = None
        self.stalled = False  # given up for lost: nothing more is told of it
        self.told = seen  # when anything was last told of it


class Job:
    __slots__ = (
        "id",
        "cls",
        "slots",
        "key",
        "tenant",
        "work",
        "arrived",
        "deadline",
        "attempts",
        "done",
        "out",
        "serial",
        "most",
        "waits",
        "line",
        "pool",
    )

    def __init__(self, r: Request, cls: JobClass, now: float, serial: int, most: int) -> None:
        """`most`: the settings' limit of attempts."""
        self.serial = serial  # jobs in their order of arrival
        self.id, self.cls, self.key, self.tenant = r.id, cls, r.key, r.tenant
        self.slots = r.slots if r.slots > 0 else 1.0
        self.work, self.arrived, self.deadline = r.work_hint, now, now + r.timeout_s
        self.attempts: list[Attempt] = []
        self.done = False
        self.out = 0  # attempts outstanding
        self.most = most if r.limits is None else min(most, r.limits.max_sends)
        self.waits = False  # must not be sent again yet, by its own limits
        self.line: Line = (0 if r.limits is None else r.limits.priority, cls.name)
        self.pool: str | WorkerPool | None = cls.kind if r.limits is None else r.limits.pool or cls.kind

    def may_have_run(self) -> Iterator[Attempt]:
        return (a for a in self.attempts if a.ending not in NEVER_RAN)


Held = OrderedDict[int | None, dict[str, Job]]  # the jobs of a line that wait, by key and id
