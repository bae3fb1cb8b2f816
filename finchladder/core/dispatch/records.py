"""What a dispatcher remembers of a worker, an attempt and a job. Records only: policy.py decides."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Any

from finchladder.core.api import NEVER_RAN, Ending, JobClass, Request, WorkerEntry, WorkerPool

QueueKey = tuple[int, str]  # priority and class: jobs that wait for the same room


class Worker:
    __slots__ = (
        "address",
        "zone",
        "kind",
        "cell",
        "started_at",
        "is_ready",
        "load",
        "load_threshold",
        "backoff_until",
        "unstarted_attempts",
        "failure_share",
        "ejected_until",
        "ejection_count",
        "slow_start_credit",
        "credit_updated_at",
        "backoff_count",
        "fetched_keys",
        "last_report_at",
        "position",
        "load_level",
        "pools",
        "weight",
        "expected_finish",
        "nominal_capacity",
        "run_time_samples",
    )

    def __init__(self, e: WorkerEntry, t: float) -> None:
        self.address, self.zone, self.kind, self.cell = e.worker, e.zone, e.kind, e.cell
        self.last_report_at = 0.0  # when it last told of any job
        self.load = 0.0  # own slots in flight
        self.unstarted_attempts: dict[Attempt, float] = {}  # attempts sent and not known to have started
        self.is_ready = False
        self.weight, self.expected_finish = (
            0.0,
            1.0,
        )  # see crowd.py; 0: not told, or it does not tell how full it is
        self.nominal_capacity = 1.0  # as the list tells it once for all; see sizes.py
        self.position = 0  # its place among those with the same load
        # kept by fleet.py: the pools that it is in, and its level there
        self.load_level: tuple[float, bool] | None = None
        self.pools: tuple[Any, ...] = ()
        self.restart(e.started_at, t, 0.0)

    def restart(self, born: float, t: float, credit: float) -> None:
        """Nothing learned of the process before counts for the new one."""
        self.started_at = born
        self.load_threshold, self.backoff_until, self.backoff_count = t, 0.0, 0
        self.failure_share, self.ejected_until, self.ejection_count = 0.0, 0.0, 0
        self.slow_start_credit, self.credit_updated_at = credit, born
        self.run_time_samples = (
            0.0,
            0.0,
        )  # jobs that ran there, and how long against the usual; see sizes.py
        self.fetched_keys: dict[int | None, None] = {}  # keys sent while cold: what they need is there


class Attempt:
    __slots__ = (
        "worker",
        "sent_at",
        "started_at",
        "ending",
        "is_stalled",
        "last_report_at",
        "observed_sent_at",
    )

    def __init__(self, worker: Worker, sent: float, seen: float) -> None:
        self.worker, self.sent_at, self.observed_sent_at = (
            worker,
            sent,
            seen,
        )  # `seen`: sent, by the clock that follows
        # the next two go by a clock that stands still while the dispatcher can't look at what comes
        self.started_at: float | None = None
        self.ending: Ending | None = None
        self.is_stalled = False  # given up for lost: nothing more is told of it
        self.last_report_at = seen  # when anything was last told of it


class Job:
    __slots__ = (
        "id",
        "job_class",
        "slots",
        "key",
        "tenant",
        "work_hint_s",
        "arrived_at",
        "deadline",
        "attempts",
        "is_done",
        "outstanding",
        "serial",
        "max_attempts",
        "must_wait",
        "queue_key",
        "needed_pool",
    )

    def __init__(self, r: Request, cls: JobClass, now: float, serial: int, most: int) -> None:
        """`most`: the settings' limit of attempts."""
        self.serial = serial  # jobs in their order of arrival
        self.id, self.job_class, self.key, self.tenant = r.id, cls, r.key, r.tenant
        self.slots = r.slots if r.slots > 0 else 1.0
        self.work_hint_s, self.arrived_at, self.deadline = r.work_hint, now, now + r.timeout_s
        self.attempts: list[Attempt] = []
        self.is_done = False
        self.outstanding = 0  # attempts outstanding
        self.max_attempts = most if r.limits is None else min(most, r.limits.max_sends)
        self.must_wait = False  # must not be sent again yet, by its own limits
        self.queue_key: QueueKey = (0 if r.limits is None else r.limits.priority, cls.name)
        self.needed_pool: str | WorkerPool | None = (
            cls.kind if r.limits is None else r.limits.pool or cls.kind
        )

    def may_have_run(self) -> Iterator[Attempt]:
        return (a for a in self.attempts if a.ending not in NEVER_RAN)


QueuedJobs = OrderedDict[int | None, dict[str, Job]]  # the jobs of a line that wait, by key and id
