"""Status of jobs by id, for a limited time. Times are arguments; no clock and no I/O."""

from collections import OrderedDict

import msgspec

from finchladder.config.options import StatusOptions
from finchladder.core.api import Ending

PROGRESS_STATES, REPORTED_FINAL_STATES = ("started", "running"), ("done", "failed", "returned", "lost")
STATE_BY_ENDING = {
    Ending.OK: "done",
    Ending.ERROR: "failed",
    Ending.UNKNOWN: "failed",
    Ending.OVERLOADED: "returned",
    Ending.BROKEN: "lost",
    Ending.TIMED_OUT: "timed_out",
    Ending.CANCELLED: "timed_out",  # a job is cancelled when no client waits for its result
}
# Used if the last attempt's ending determines no state. `left`: the client disconnected before the answer.
STATE_BY_ANSWER_KIND = {"refused": "returned", "left": "timed_out", "failed": "failed", "served": "done"}


class StatusReply(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """Answer to a status call, without the body of a result."""

    state: str
    server: str | None
    share: float
    job_class: str


class Entry:
    """State of one job."""

    __slots__ = ("job_class", "state", "server", "share", "ending", "ended_at")

    def __init__(self, job_class: str) -> None:
        """Starts as a waiting job."""
        self.job_class, self.state = job_class, "waiting"
        self.server: str | None = None  # worker of the last attempt
        self.share = 0.0
        self.ending: Ending | None = None  # ending of the last attempt
        self.ended_at = 0.0


class JobStatus:
    """Status of unfinished jobs and of recently finished ones."""

    def __init__(self, options: StatusOptions) -> None:
        """Starts without jobs."""
        self.retain_s, self.max_entries = options.retain_ms / 1000, options.max_entries
        self.unfinished: dict[str, Entry] = {}
        self.finished: OrderedDict[str, Entry] = OrderedDict()  # ordered by the time at which they ended

    def add(self, now: float, id: str, job_class: str) -> None:
        """Adds a job; it isn't tracked if the maximum number of entries is taken by unfinished jobs."""
        self._expire(now)
        self.finished.pop(id, None)
        if len(self.unfinished) + len(self.finished) >= self.max_entries:
            if not self.finished:
                return  # all entries are of unfinished jobs
            self.finished.popitem(last=False)
        self.unfinished[id] = Entry(job_class)

    def record_attempt(self, id: str, server: str) -> None:
        """Records an attempt at a worker."""
        if (e := self.unfinished.get(id)) is not None:
            e.state, e.server, e.share, e.ending = "waiting", server, 0.0, None

    def record_report(self, now: float, id: str, server: str, state: str, share: float) -> None:
        """Records a worker's report; reports on earlier attempts are ignored."""
        e = self.unfinished.get(id)
        if e is not None and e.server == server and e.ending is None and state in PROGRESS_STATES:
            if state == "running":
                e.state, e.share = state, share
            elif e.state == "waiting":
                e.state = state
        late = self.finished.get(id)
        if (
            late is not None
            and (late.server, late.state) == (server, "timed_out")
            and state in REPORTED_FINAL_STATES
        ):
            # the attempt was abandoned, but the worker reported its end later
            late.state, late.ended_at = state, now
            late.share = 1.0 if state == "done" else late.share
            self.finished.move_to_end(id)

    def record_attempt_end(self, id: str, server: str, ending: Ending) -> None:
        """Records the end of an attempt; the job waits again unless it succeeded."""
        e = self.unfinished.get(id)
        if e is None or e.ending is Ending.OK or (e.server != server and ending is not Ending.OK):
            return
        e.server, e.ending = server, ending
        e.state, e.share = ("done", 1.0) if ending is Ending.OK else ("waiting", e.share)

    def record_answer(self, now: float, id: str, kind: str) -> None:
        """Records that a job is finished: its final answer was given, or can no longer be given."""
        if (e := self.unfinished.pop(id, None)) is None:
            return
        e.state = STATE_BY_ENDING[e.ending] if e.ending in STATE_BY_ENDING else STATE_BY_ANSWER_KIND[kind]
        e.ended_at = now
        self.finished[id] = e

    def get(self, now: float, id: str) -> StatusReply | None:
        """Returns a job's status, or None if the id is unknown."""
        self._expire(now)
        if (e := self.unfinished.get(id)) is not None:
            at = (
                e.server if e.ending in (None, Ending.OK) else None
            )  # a job between two attempts is at no worker
            return StatusReply(e.state, at, e.share if at else 0.0, e.job_class)
        if (e := self.finished.get(id)) is not None:
            return StatusReply(e.state, e.server, e.share, e.job_class)
        return None

    def _expire(self, now: float) -> None:
        while self.finished:
            id, e = next(iter(self.finished.items()))
            if now < e.ended_at + self.retain_s:
                return
            del self.finished[id]
