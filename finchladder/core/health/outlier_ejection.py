"""Whether a worker may get a job, by how jobs ended at it here: a moving share of bad endings.

| what is held of a worker | an ending | held then |
| --- | --- | --- |
| share of bad endings | any | moved by LEARN towards it |
| share above SICK | bad | ejected, each time for twice as long |
| ejected | good | back, as a suspect |
| share above SUSPECT | - | suspect: it gets no job that may not be repeated |

A suspect is left alone by jobs that may not be repeated, an ejected one by all but one trial at a time. Too
many in trouble means a wrong signal, not a sick fleet. O(1) for each ending.
"""

from enum import Enum

from finchladder.core.api import Effect, Ending, JobClass, Settings
from finchladder.core.dispatch.records import Job, Worker
from finchladder.core.dispatch.worker_index import WorkerIndex

FAILURE_SMOOTHING = 0.3
EJECT_THRESHOLD = 0.5  # ejected when the moving share of bad endings passes this
SUSPECT_THRESHOLD = (
    0.15  # above this it gets no job that may not be repeated: what fails there is lost for good
)
MAX_READMITTED_SHARE = 0.4  # the share after a trial that went well: one good ending is no proof yet
MAX_EJECTED_SHARE = 0.5  # more sick workers than this share of the ready: the signal is wrong, not the fleet
MAX_DOUBLINGS = 4  # times that an ejection is doubled


class AttemptSignal(Enum):
    """What an attempt says of its worker."""

    GOOD = "good"
    FAILED = "failed"  # it answered, or told of the job, and did not do it
    SILENT = "silent"  # nothing more was told of a job that it had
    LINK = "link"  # no connection, or one that broke
    OVERTAKEN = "overtaken"  # a copy that was sent later ended before it


SIGNAL_BY_ENDING = {
    Ending.OK: AttemptSignal.GOOD,
    Ending.ERROR: AttemptSignal.FAILED,
    Ending.TIMED_OUT: AttemptSignal.SILENT,
    Ending.UNREACHABLE: AttemptSignal.LINK,
    Ending.BROKEN: AttemptSignal.LINK,
}


class OutlierEjection:
    __slots__ = ("settings", "ejected", "base_ejection_s", "spares_unsafe")

    def __init__(self, settings: Settings, period: float) -> None:
        """`period`: seconds of the shortest ejection, halved."""
        self.settings, self.base_ejection_s = settings, period
        self.ejected: dict[str, Worker] = {}
        self.spares_unsafe = any(c.effect is not Effect.UNSAFE for c in settings.classes)

    def record_ending(
        self,
        now: float,
        w: Worker,
        cls: JobClass,
        sign: AttemptSignal,
        sent: float,
        ran: float,
        fleet: WorkerIndex,
    ) -> None:
        """`sent`: when the attempt was; `ran`: how long it ran there, 0 if that is not known."""
        bad = sign is not AttemptSignal.GOOD
        w.failure_share += FAILURE_SMOOTHING * (bad - w.failure_share)
        if not bad and w.ejected_until:
            w.ejected_until, w.failure_share = 0.0, min(w.failure_share, MAX_READMITTED_SHARE)
            self.ejected.pop(w.address, None)
        elif not bad:
            w.ejection_count = 0 if w.failure_share <= SUSPECT_THRESHOLD else w.ejection_count
        elif w.failure_share > EJECT_THRESHOLD or w.ejected_until:
            w.ejected_until = now + self.base_ejection_s * 2 ** min(w.ejection_count + 1, MAX_DOUBLINGS)
            w.ejection_count += 1
            if w.is_ready:
                self.ejected[w.address] = w
        fleet.update_suspect(w)

    def may_receive(self, now: float, job: Job, w: Worker, fleet: WorkerIndex) -> bool:
        """Asked of those whose share is above SUSPECT. A job that may not be repeated is no trial."""
        if len(self.ejected) > MAX_EJECTED_SHARE * len(fleet.workers):
            return True
        if job.job_class.effect is Effect.UNSAFE and self.spares_unsafe:
            return len(fleet.suspects) > MAX_EJECTED_SHARE * len(fleet.workers)
        return not w.ejected_until or (now >= w.ejected_until and w.load == 0)

    def forget(self, w: Worker) -> None:
        """It is not ready any more, or has started anew."""
        self.ejected.pop(w.address, None)
