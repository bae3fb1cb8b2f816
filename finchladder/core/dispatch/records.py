"""The records of workers, attempts and jobs; they contain no decision logic.

The order of `__slots__` is stored data: captures store the fields by position, see `features.snapshot`.
"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import TYPE_CHECKING

from finchladder.core.api import NEVER_RAN, Ending, JobClass, Request, WorkerEntry, WorkerPool

if TYPE_CHECKING:
    from finchladder.core.dispatch.worker_index import PoolIndex

QueueKey = tuple[int, str]  # priority and class of the jobs in a queue


class Worker:
    """The state of one worker as known to this dispatcher."""

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
        "failure_rate",
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

    def __init__(self, entry: WorkerEntry, load_threshold: float) -> None:
        """`load_threshold`: assumed capacity in slots before the first observation."""
        self.address = entry.worker
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.is_ready = False
        self.load = 0.0  # slots in flight from this dispatcher
        self.last_report_at = 0.0  # time of the worker's last report on any job
        # attempts that are not known to have started, each with its `observed_sent_at`
        self.unstarted_attempts: dict[Attempt, float] = {}
        # set by worker_load; 0 if the weight is unknown, implausible or does not report the load
        self.weight = 0.0
        # set by worker_load: time from arrival to finish of a job of mean length, in multiples of the running
        # time of such a job on an idle worker of the largest capacity
        self.expected_finish = 1.0
        self.nominal_capacity = 1.0  # set by worker_capacity from the static weight in the list
        # set by worker_index
        self.position = 0  # order among workers with the same load
        self.load_level: tuple[float, bool] | None = None
        self.pools: tuple[PoolIndex, ...] = ()
        self.restart(entry.started_at, load_threshold, 0.0)

    def restart(self, started_at: float, load_threshold: float, credit: float) -> None:
        """Resets everything learned about the worker, as a new process has started at its address.

        `credit`: slow start credit of the new process in seconds of work.
        """
        self.started_at = started_at
        self.load_threshold = load_threshold
        self.backoff_until = 0.0
        self.backoff_count = 0
        self.failure_rate = 0.0  # moving average of the share of failed attempts
        self.ejected_until = 0.0
        self.ejection_count = 0
        self.slow_start_credit = credit  # seconds of work that may still be sent to it in slow start
        self.credit_updated_at = started_at
        # number of runs, and sum of their run times, each divided by the mean of its class; both decay
        self.run_time_samples = (0.0, 0.0)
        # keys of the jobs sent during slow start; the worker is assumed to have cached their data
        self.fetched_keys: dict[int | None, None] = {}


class Attempt:
    """One send of a job to a worker.

    All times except `sent_at` are values of `DispatcherState.observed_now`, which excludes event loop stalls.
    """

    __slots__ = (
        "worker",
        "sent_at",
        "started_at",
        "ending",
        "is_stalled",
        "last_report_at",
        "observed_sent_at",
    )

    def __init__(self, worker: Worker, sent_at: float, observed_sent_at: float) -> None:
        self.worker = worker
        self.sent_at = sent_at
        self.observed_sent_at = observed_sent_at
        self.started_at: float | None = None
        self.ending: Ending | None = None
        self.is_stalled = False  # considered lost, as the worker no longer reports on it
        self.last_report_at = observed_sent_at


class Job:
    """A client's request and its attempts, from receipt until it is answered and no attempt is in flight."""

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

    def __init__(
        self, request: Request, job_class: JobClass, now: float, serial: int, max_attempts: int
    ) -> None:
        """`serial`: number of the job in order of arrival; `max_attempts`: the limit from the settings."""
        limits = request.limits
        self.serial = serial
        self.id = request.id
        self.job_class = job_class
        self.key = request.key
        self.tenant = request.tenant
        self.slots = request.slots if request.slots > 0 else 1.0
        self.work_hint_s = request.work_hint
        self.arrived_at = now
        self.deadline = now + request.timeout_s
        self.attempts: list[Attempt] = []
        self.is_done = False
        self.outstanding = 0  # attempts in flight
        self.max_attempts = max_attempts if limits is None else min(max_attempts, limits.max_sends)
        self.must_wait = False  # its own `RequestLimits` do not allow another send yet
        self.queue_key: QueueKey = (0 if limits is None else limits.priority, job_class.name)
        self.needed_pool: str | WorkerPool | None = job_class.kind
        if limits is not None and limits.pool:
            self.needed_pool = limits.pool

    def possibly_run_attempts(self) -> Iterator[Attempt]:
        """Yields the attempts that may have run: all except those known not to have run."""
        return (a for a in self.attempts if a.ending not in NEVER_RAN)


QueuedJobs = OrderedDict[int | None, dict[str, Job]]  # the jobs of one queue, by key and then by id
