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
from finchladder.core.dispatch.worker_index import Fleet

LEARN = 0.3
SICK = 0.5  # ejected when the moving share of bad endings passes this
SUSPECT = 0.15  # above this it gets no job that may not be repeated: what fails there is lost for good
BACK = 0.4  # the share after a trial that went well: one good ending is no proof yet
EJECT_SHARE = 0.5  # more sick workers than this share of the ready: the signal is wrong, not the fleet
LONGEST = 4  # times that an ejection is doubled


class Sign(Enum):
    """What an attempt says of its worker."""

    GOOD = "good"
    FAILED = "failed"  # it answered, or told of the job, and did not do it
    SILENT = "silent"  # nothing more was told of a job that it had
    LINK = "link"  # no connection, or one that broke
    OVERTAKEN = "overtaken"  # a copy that was sent later ended before it


SIGNS = {
    Ending.OK: Sign.GOOD,
    Ending.ERROR: Sign.FAILED,
    Ending.TIMED_OUT: Sign.SILENT,
    Ending.UNREACHABLE: Sign.LINK,
    Ending.BROKEN: Sign.LINK,
}


class Health:
    __slots__ = ("s", "ejected", "period", "spares_unsafe")

    def __init__(self, settings: Settings, period: float) -> None:
        """`period`: seconds of the shortest ejection, halved."""
        self.s, self.period = settings, period
        self.ejected: dict[str, Worker] = {}
        self.spares_unsafe = any(c.effect is not Effect.UNSAFE for c in settings.classes)

    def ended(
        self, now: float, w: Worker, cls: JobClass, sign: Sign, sent: float, ran: float, fleet: Fleet
    ) -> None:
        """`sent`: when the attempt was; `ran`: how long it ran there, 0 if that is not known."""
        bad = sign is not Sign.GOOD
        w.sick += LEARN * (bad - w.sick)
        if not bad and w.ejected_until:
            w.ejected_until, w.sick = 0.0, min(w.sick, BACK)
            self.ejected.pop(w.address, None)
        elif not bad:
            w.ejections = 0 if w.sick <= SUSPECT else w.ejections
        elif w.sick > SICK or w.ejected_until:
            w.ejected_until = now + self.period * 2 ** min(w.ejections + 1, LONGEST)
            w.ejections += 1
            if w.ready:
                self.ejected[w.address] = w
        fleet.judged(w)

    def fit(self, now: float, job: Job, w: Worker, fleet: Fleet) -> bool:
        """Asked of those whose share is above SUSPECT. A job that may not be repeated is no trial."""
        if len(self.ejected) > EJECT_SHARE * len(fleet.workers):
            return True
        if job.cls.effect is Effect.UNSAFE and self.spares_unsafe:
            return len(fleet.suspects) > EJECT_SHARE * len(fleet.workers)
        return not w.ejected_until or (now >= w.ejected_until and w.load == 0)

    def drop(self, w: Worker) -> None:
        """It is not ready any more, or has started anew."""
        self.ejected.pop(w.address, None)
