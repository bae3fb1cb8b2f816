"""Job status: what is known of each job by its id, for a while. No clock, no sockets: times are handed in."""

from collections import OrderedDict

import msgspec

from finchladder.config.options import StatusOptions
from finchladder.core.api import Ending

NEWS, TOLD_ENDS = ("started", "running"), ("done", "failed", "returned", "lost")
ENDS = {
    Ending.OK: "done",
    Ending.ERROR: "failed",
    Ending.UNKNOWN: "failed",
    Ending.OVERLOADED: "returned",
    Ending.BROKEN: "lost",
    Ending.TIMED_OUT: "timed_out",
    Ending.CANCELLED: "timed_out",  # given up, as nobody waits for it any more
}
# where no attempt says more: by the kind of the final answer. `left`: the client did not wait for one
NEVER_SENT = {"refused": "returned", "left": "timed_out", "failed": "failed", "served": "done"}


class Shown(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """What a status call is answered. The body of a result is no part of it."""

    state: str
    server: str | None
    share: float
    job_class: str


class Entry:
    __slots__ = ("job_class", "state", "server", "share", "ending", "ended_at")

    def __init__(self, job_class: str) -> None:
        self.job_class, self.state = job_class, "waiting"
        self.server: str | None = None  # of the last attempt
        self.share = 0.0
        self.ending: Ending | None = None  # of the last attempt
        self.ended_at = 0.0


class JobStatus:
    def __init__(self, options: StatusOptions) -> None:
        self.retain, self.most = options.retain_ms / 1000, options.max_entries
        self.open: dict[str, Entry] = {}
        self.over: OrderedDict[str, Entry] = OrderedDict()  # by the time of their end, the oldest first

    def taken(self, now: float, id: str, job_class: str) -> None:
        self._expire(now)
        self.over.pop(id, None)
        if len(self.open) + len(self.over) >= self.most:
            if not self.over:
                return  # all are unfinished: this one runs untracked
            self.over.popitem(last=False)
        self.open[id] = Entry(job_class)

    def sent(self, id: str, server: str) -> None:
        if (e := self.open.get(id)) is not None:
            e.state, e.server, e.share, e.ending = "waiting", server, 0.0, None

    def told(self, now: float, id: str, server: str, state: str, share: float) -> None:
        """What a real server says of a job. News of an earlier attempt of it counts for nothing."""
        e = self.open.get(id)
        if e is not None and e.server == server and e.ending is None and state in NEWS:
            if state == "running":
                e.state, e.share = state, share
            elif e.state == "waiting":
                e.state = state
        late = self.over.get(id)
        if late is not None and (late.server, late.state) == (server, "timed_out") and state in TOLD_ENDS:
            # given up, but it ended all the same: now it is known how
            late.state, late.ended_at = state, now
            late.share = 1.0 if state == "done" else late.share
            self.over.move_to_end(id)

    def ended(self, id: str, server: str, ending: Ending) -> None:
        """The end of an attempt, which the job may outlive: it waits again then."""
        e = self.open.get(id)
        if e is None or e.ending is Ending.OK or (e.server != server and ending is not Ending.OK):
            return
        e.server, e.ending = server, ending
        e.state, e.share = ("done", 1.0) if ending is Ending.OK else ("waiting", e.share)

    def finished(self, now: float, id: str, kind: str) -> None:
        """The final answer was given or can't be any more, and no attempt is out."""
        if (e := self.open.pop(id, None)) is None:
            return
        e.state = ENDS[e.ending] if e.ending in ENDS else NEVER_SENT[kind]
        e.ended_at = now
        self.over[id] = e

    def look(self, now: float, id: str) -> Shown | None:
        self._expire(now)
        if (e := self.open.get(id)) is not None:
            at = e.server if e.ending in (None, Ending.OK) else None  # else it waits for another one
            return Shown(e.state, at, e.share if at else 0.0, e.job_class)
        if (e := self.over.get(id)) is not None:
            return Shown(e.state, e.server, e.share, e.job_class)
        return None

    def _expire(self, now: float) -> None:
        while self.over:
            id, e = next(iter(self.over.items()))
            if now < e.ended_at + self.retain:
                return
            del self.over[id]
