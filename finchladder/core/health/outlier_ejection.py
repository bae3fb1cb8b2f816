"""Outlier ejection: whether a worker may get a job, by a moving share of bad endings there.

| what is known of a worker | an ending | known then |
| --- | --- | --- |
| failure share | any | moved by FAILURE_SMOOTHING towards it |
| failure share above EJECT_THRESHOLD | bad | ejected, each time for twice as long |
| ejected | good | readmitted, as a suspect |
| failure share above SUSPECT_THRESHOLD | - | suspect: it gets no UNSAFE job |

An ejected worker gets one trial job at a time, once its ejection is over. If too many are ejected, the
signal is taken to be wrong and not the fleet, as with Envoy's panic threshold.
"""

from enum import Enum

from finchladder.core.api import Effect, Ending, JobClass, Settings
from finchladder.core.dispatch.records import Job, Worker
from finchladder.core.dispatch.worker_index import WorkerIndex

FAILURE_SMOOTHING = 0.3
EJECT_THRESHOLD = 0.5  # a moving share of bad endings above this ejects
SUSPECT_THRESHOLD = 0.15  # above this it gets no UNSAFE job: what fails there is lost for good
MAX_READMITTED_SHARE = 0.4  # the share after a trial that went well: one good ending is no proof yet
MAX_EJECTED_SHARE = 0.5  # of all workers; beyond it the signal is taken to be wrong
MAX_DOUBLINGS = 4  # of an ejection's length


class AttemptSignal(Enum):
    """What an attempt shows of its worker."""

    GOOD = "good"
    FAILED = "failed"  # it answered, or reported on the job, and did not do it
    SILENT = "silent"  # it did not report on a job that it had
    LINK = "link"  # no connection, or one that broke
    OVERTAKEN = "overtaken"  # an attempt that was sent later ended before it


SIGNAL_BY_ENDING = {
    Ending.OK: AttemptSignal.GOOD,
    Ending.ERROR: AttemptSignal.FAILED,
    Ending.TIMED_OUT: AttemptSignal.SILENT,
    Ending.UNREACHABLE: AttemptSignal.LINK,
    Ending.BROKEN: AttemptSignal.LINK,
}


class OutlierEjection:
    """Failure shares and ejections; they are kept in the workers' records."""

    __slots__ = ("settings", "ejected", "base_ejection_s", "spares_unsafe")

    def __init__(self, settings: Settings, base_ejection_s: float) -> None:
        """`base_ejection_s`: half of the shortest ejection, in seconds."""
        self.settings = settings
        self.base_ejection_s = base_ejection_s
        self.ejected: dict[str, Worker] = {}
        # where all jobs are UNSAFE, a suspect would never get one that could clear it
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
        """Learns from the end of an attempt; `run_time_s`: 0 if it is not known. O(1)."""
        is_bad = signal is not AttemptSignal.GOOD
        worker.failure_share += FAILURE_SMOOTHING * (is_bad - worker.failure_share)
        if not is_bad and worker.ejected_until:
            self._readmit(worker)
        elif not is_bad:
            if worker.failure_share <= SUSPECT_THRESHOLD:
                worker.ejection_count = 0
        elif worker.failure_share > EJECT_THRESHOLD or worker.ejected_until:
            self._eject(now, worker)
        worker_index.update_suspect(worker)

    def _readmit(self, worker: Worker) -> None:
        worker.ejected_until = 0.0
        worker.failure_share = min(worker.failure_share, MAX_READMITTED_SHARE)
        self.ejected.pop(worker.address, None)

    def _eject(self, now: float, worker: Worker) -> None:
        doublings = min(worker.ejection_count + 1, MAX_DOUBLINGS)
        worker.ejected_until = now + self.base_ejection_s * 2**doublings
        worker.ejection_count += 1
        if worker.is_ready:
            self.ejected[worker.address] = worker

    def may_receive(self, now: float, job: Job, worker: Worker, worker_index: WorkerIndex) -> bool:
        """Whether a worker above SUSPECT_THRESHOLD may get the job; an UNSAFE one is never its trial."""
        max_ejected = MAX_EJECTED_SHARE * len(worker_index.workers)
        if len(self.ejected) > max_ejected:
            return True
        if job.job_class.effect is Effect.UNSAFE and self.spares_unsafe:
            return len(worker_index.suspects) > max_ejected
        return not worker.ejected_until or (now >= worker.ejected_until and worker.load == 0)

    def forget(self, worker: Worker) -> None:
        """It is not ready any more, or has started anew."""
        self.ejected.pop(worker.address, None)
