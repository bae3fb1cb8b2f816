"""Outlier ejection by a moving average of each worker's share of bad endings.

An ending is good if the attempt ended OK, and bad otherwise. The failure share of a worker is the moving
average: each ending moves it by FAILURE_SMOOTHING of its distance towards 1 (bad) or 0 (good).

| state of a worker | ending of an attempt | new state |
| --- | --- | --- |
| failure share above EJECT_THRESHOLD | bad | ejected, each time for twice as long |
| ejected | bad | ejected again, for twice as long |
| ejected | good | readmitted with a failure share of at most MAX_READMITTED_SHARE |
| failure share above SUSPECT_THRESHOLD | - | suspect: it receives no UNSAFE job |

Once its ejection is over, a worker receives one trial job at a time. If more than MAX_EJECTED_SHARE of the
workers are ejected, the cause is assumed to lie outside the workers, and ejections are ignored, as with
Envoy's panic threshold.
"""

from enum import Enum

from finchladder.core.api import Effect, Ending, JobClass, Settings
from finchladder.core.dispatch.records import Job, Worker
from finchladder.core.dispatch.worker_index import WorkerIndex

FAILURE_SMOOTHING = 0.3
EJECT_THRESHOLD = 0.5  # failure share above which a worker is ejected
# lower than EJECT_THRESHOLD, as a failed UNSAFE job is not sent again if it may have run
SUSPECT_THRESHOLD = 0.15  # failure share above which a worker receives no UNSAFE job
MAX_READMITTED_SHARE = 0.4  # upper bound after a successful trial job: one success does not prove recovery
MAX_EJECTED_SHARE = 0.5  # share of all workers; above it ejections are ignored
MAX_DOUBLINGS = 4  # maximum number of doublings of an ejection's length


class AttemptSignal(Enum):
    """Health signal of an attempt at a worker."""

    GOOD = "good"
    FAILED = "failed"  # the worker answered or called back that it had not completed the job
    SILENT = "silent"  # the attempt timed out, or the worker no longer reports on it
    LINK = "link"  # no connection, or a broken one
    OVERTAKEN = "overtaken"  # an attempt that was sent later to the same worker ended first


SIGNAL_BY_ENDING = {
    Ending.OK: AttemptSignal.GOOD,
    Ending.ERROR: AttemptSignal.FAILED,
    Ending.TIMED_OUT: AttemptSignal.SILENT,
    Ending.UNREACHABLE: AttemptSignal.LINK,
    Ending.BROKEN: AttemptSignal.LINK,
}


class OutlierEjection:
    """Tracks failure shares and ejections, which are stored in the workers' records."""

    __slots__ = ("settings", "ejected", "base_ejection_s", "spares_unsafe")

    def __init__(self, settings: Settings, base_ejection_s: float) -> None:
        """`base_ejection_s`: half of the shortest ejection, in seconds."""
        self.settings = settings
        self.base_ejection_s = base_ejection_s
        self.ejected: dict[str, Worker] = {}
        # False if all classes are UNSAFE: a suspect would then never receive a job that could clear it
        self.spares_unsafe = any(c.effect is not Effect.UNSAFE for c in settings.classes)

    def record_ending(
        self,
        now: float,
        worker: Worker,
        job_class: JobClass,
        signal: AttemptSignal,
        sent_at: float,
        run_time_s: float,
        worker_index: WorkerIndex,
    ) -> None:
        """Updates a worker after an attempt; `run_time_s` is 0 if it is unknown. O(1)."""
        is_bad = signal is not AttemptSignal.GOOD
        worker.failure_rate += FAILURE_SMOOTHING * (is_bad - worker.failure_rate)
        if not is_bad and worker.ejected_until:
            self._readmit(worker)
        elif not is_bad:
            if worker.failure_rate <= SUSPECT_THRESHOLD:
                worker.ejection_count = 0
        elif worker.failure_rate > EJECT_THRESHOLD or worker.ejected_until:
            self._eject(now, worker)
        worker_index.update_suspect(worker)

    def _readmit(self, worker: Worker) -> None:
        worker.ejected_until = 0.0
        worker.failure_rate = min(worker.failure_rate, MAX_READMITTED_SHARE)
        self.ejected.pop(worker.address, None)

    def _eject(self, now: float, worker: Worker) -> None:
        doublings = min(worker.ejection_count + 1, MAX_DOUBLINGS)
        worker.ejected_until = now + self.base_ejection_s * 2**doublings
        worker.ejection_count += 1
        if worker.is_ready:
            self.ejected[worker.address] = worker

    def may_receive(self, now: float, job: Job, worker: Worker, worker_index: WorkerIndex) -> bool:
        """Whether a suspect or ejected worker may receive the job; an UNSAFE job is never a trial job."""
        max_ejected = MAX_EJECTED_SHARE * len(worker_index.workers)
        if len(self.ejected) > max_ejected:
            return True
        if job.job_class.effect is Effect.UNSAFE and self.spares_unsafe:
            return len(worker_index.suspects) > max_ejected
        return not worker.ejected_until or (now >= worker.ejected_until and worker.load == 0)

    def forget(self, worker: Worker) -> None:
        """Removes a worker that is no longer ready or has restarted."""
        self.ejected.pop(worker.address, None)
