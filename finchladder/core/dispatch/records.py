"""What a dispatcher knows of a worker, an attempt and a job: records without decisions.

The order of `__slots__` is stored data: captures hold records by position, see `features.snapshot`.
"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import TYPE_CHECKING

from finchladder.core.api import NEVER_RAN, Ending, JobClass, Request, WorkerEntry, WorkerPool

if TYPE_CHECKING:
    from finchladder.core.dispatch.worker_index import PoolIndex

QueueKey = tuple[int, str]  # priority and class of jobs that wait for the same workers


class Worker:
    """What is known of one worker."""

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

    def __init__(self, entry: WorkerEntry, load_threshold: float) -> None:
        """`load_threshold`: slots that it is taken to bear before anything is known of it."""
        self.address = entry.worker
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.is_ready = False
        self.load = 0.0  # own slots in flight
        self.last_report_at = 0.0  # when it last reported on any job
        self.unstarted_attempts: dict[Attempt, float] = {}  # not known to have started; when they were sent
        # by worker_load; weight 0: none was given, or it does not say how full the worker is
        self.weight = 0.0
        self.expected_finish = 1.0  # how long a mean job takes there, in runs of one on the largest worker
        self.nominal_capacity = 1.0  # by worker_capacity, as the list says it once for all
        # by worker_index
        self.position = 0  # among those with the same load
        self.load_level: tuple[float, bool] | None = None
        self.pools: tuple[PoolIndex, ...] = ()
        self.restart(entry.started_at, load_threshold, 0.0)

    def restart(self, started_at: float, load_threshold: float, credit: float) -> None:
        """A new process at that address: nothing learned of the one before counts for it."""
        self.started_at = started_at
        self.load_threshold = load_threshold
        self.backoff_until = 0.0
        self.backoff_count = 0
        self.failure_share = 0.0  # moving share of bad endings
        self.ejected_until = 0.0
        self.ejection_count = 0
        self.slow_start_credit = credit  # seconds of work that it may be sent
        self.credit_updated_at = started_at
        self.run_time_samples = (0.0, 0.0)  # jobs that ran there, and the sum of their ratios to usual ones
        self.fetched_keys: dict[int | None, None] = {}  # sent during slow start: what they need is cached


class Attempt:
    """One send of a job to a worker.

    All times but `sent_at` are by `DispatcherState.observed_now`, which leaves out the event loop's stalls.
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
        self.is_stalled = False  # taken for lost, as it is not reported on any more
        self.last_report_at = observed_sent_at


class Job:
    """An open request."""

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
        """`serial`: numbers jobs in their order of arrival; `max_attempts`: the settings' limit."""
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
        self.must_wait = False  # not to be sent again yet, by its own limits
        self.queue_key: QueueKey = (0 if limits is None else limits.priority, job_class.name)
        self.needed_pool: str | WorkerPool | None = job_class.kind
        if limits is not None and limits.pool:
            self.needed_pool = limits.pool

    def possibly_run_attempts(self) -> Iterator[Attempt]:
        """Its attempts, but for those that are known not to have run."""
        return (a for a in self.attempts if a.ending not in NEVER_RAN)


QueuedJobs = OrderedDict[int | None, dict[str, Job]]  # the jobs of one queue, by key and id
