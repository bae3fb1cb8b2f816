"""Following a prefix of an etcd: what is asked next, and what is told of what came. No sockets, no clock.

A list is taken by range, then a watch from the list's revision + 1 tells what changes. A watch that breaks
is begun again behind the last revision whose events have all come, at the next endpoint. A new list is taken
where that can't be (compacted, another cluster, a revision that went back), or where silence lasted so long
that what comes next may be old. Whose word counts is not decided here but in core/membership.py.
"""

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Any, NamedTuple

from finchladder.core import api
from finchladder.core.membership.decisions import Report
from finchladder.net.etcd.keys import Keys
from finchladder.net.etcd.messages import Answer, Header, Refusal

SOURCE = "etcd"
QUIET_S = 5.0  # nothing heard for so long: what comes then may be a replay of what was
PULSE_S = 2.0  # from an answer to the next question whether somebody with a quorum is still there
LATE_S = 10.0  # a watch that has not come up to what a pulse told so long ago is looked at
ANSWER_S = 1.0  # for a connection, an answer, a watch's beginning
ALIVE_S = 2.0  # for a pulse: one that is only slow is not left, as its watch may go on
PAGE = 256  # keys of a page: some 100 KB, read and applied in 2 ms
WAIT_S, WAIT_MOST_S, WAIT_REFUSED_S = 0.1, 1.0, 5.0  # between two rounds over all endpoints
SPREAD_S = 0.05  # before the next endpoint of a round: a thousand must not come there in one moment
STEADY_S = 2.0  # a watch that stood for so long was no mistake: the next wait is short again
MOST_ANEW = 3  # lists or logins begun anew at once; beyond that it is a failure, and waits


class State(Enum):
    """The states of a `Follower`; TABLE holds the allowed transitions."""

    WAITING = "waiting"  # for the time of the next try
    OPENING = "opening"  # a connection and, where there is a user, a login
    LISTING = "listing"
    STARTING = "starting"  # a watch was asked for
    FOLLOWING = "following"


# --- what happens


class Due(NamedTuple):
    """The timer has expired."""


class Opened(NamedTuple):
    """The endpoint is connected and, where there is a user, logged in."""

    pass


class Page(NamedTuple):
    """A page of the list."""

    answer: Answer


class Told(NamedTuple):
    """A message of the watch."""

    answer: Answer


class Alive(NamedTuple):
    """The response to a Pulse."""

    header: Header


class Checked(NamedTuple):
    """The response to a Check: keys newer than the last one reported, and the total number of keys."""

    answer: Answer


class Kind(Enum):
    """Why an endpoint failed; each is logged once during an outage."""

    LOST = "lost"  # no connection, or it broke
    SILENT = "silent"
    REFUSED = "refused"  # user, password, permission, certificate
    BEHIND = "behind"
    BAD = "bad"  # no etcd answers so


class Failed(NamedTuple):
    """The endpoint can't be followed any longer."""

    kind: Kind
    why: str


class Refused(NamedTuple):
    """The response to a List, Pulse or Check was an error."""

    refusal: Refusal


Event = Due | Opened | Page | Told | Alive | Checked | Failed | Refused

# --- what is to be done


class Open(NamedTuple):
    """Close all connections, connect to the endpoint and log in. Results: Opened, Failed."""

    endpoint: int


class Close(NamedTuple):
    """Close all connections."""

    pass


class List(NamedTuple):
    """Read the page after a key, as of a revision (0: the latest), ending any watch.

    Results: Page, Refused, Failed.
    """

    after: bytes
    revision: int


class Watch(NamedTuple):
    """Watch the prefix from a revision on. Results: Told, Failed."""

    start: int


class Pulse(NamedTuple):
    """Check that the endpoint is reachable and has a quorum. Results: Alive, Refused, Failed."""

    pass


class Check(NamedTuple):
    """Read whether, as of `revision`, any key is newer than `than`. Results: Checked, Refused, Failed."""

    revision: int
    than: int


class Wait(NamedTuple):
    """Set the timer. Result: Due."""

    seconds: float


class Tell(NamedTuple):
    """Report a list to the membership."""

    report: Report


class Heard(NamedTuple):
    """Report to the membership that etcd is alive; `in_step`: no change is outstanding."""

    in_step: bool


class Log(NamedTuple):
    """Write a line to the log."""

    level: str
    text: str


Action = Open | Close | List | Watch | Pulse | Check | Wait | Tell | Heard | Log

# what may follow what; an event that has no place in a state came too late, and is dropped
WAITING, OPENING, LISTING, STARTING, FOLLOWING = State
TABLE: dict[State, dict[type, tuple[State, ...]]] = {
    WAITING: {Due: (OPENING,)},
    OPENING: {Opened: (LISTING, STARTING), Failed: (WAITING,)},
    LISTING: {Page: (LISTING, STARTING, WAITING), Refused: (LISTING, WAITING), Failed: (WAITING,)},
    STARTING: {Told: (FOLLOWING, LISTING, OPENING, WAITING), Failed: (WAITING,)},
    FOLLOWING: {
        Due: (FOLLOWING,),
        Told: (FOLLOWING, LISTING, OPENING, WAITING),
        Alive: (FOLLOWING, LISTING, WAITING),
        Checked: (FOLLOWING, WAITING),
        Refused: (FOLLOWING, WAITING),
        Failed: (WAITING,),
    },
}


class Follower:
    """The state machine that follows a prefix, without sockets and clock.

    `endpoints`: their names for the log, in the order in which they are tried.
    """

    def __init__(self, prefix: str, endpoints: list[str], random: Random) -> None:
        self.endpoints, self.random = endpoints, random
        self.state = WAITING
        self.keys = Keys(prefix)
        self.count = 0  # keys below the prefix
        self.cluster = 0  # whose list is held
        self.seen = 0  # all up to this revision was told; 0: no list is held
        self.term = 0  # of Raft, which only rises: less of it is another life of the same cluster
        self.at = 0  # which endpoint
        self.failures = 0  # in a row
        self.behind: dict[int, None] = {}  # endpoints that told less than was seen
        self.heard_at = -QUIET_S
        self.followed_at: float | None = None
        self.anew = 0  # lists and logins begun anew since an answer that was as it should be
        self.listed: Keys | None = None  # a list of which pages are still to come
        self.revision = 0  # of that list, and its cluster
        self.of = self.listed_term = 0
        self.after = b""
        self.changed: dict[str, None] = {}  # by fragments of which more are to come
        self.mark: tuple[float, int] | None = None  # when a pulse told a revision that is yet to be reached
        self.told: dict[Kind, None] = {}  # what the log has of this outage
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[[Any], State]] = {
            Due: self._on_due,
            Opened: self._on_opened,
            Page: self._on_page,
            Told: self._on_told,
            Alive: self._on_alive,
            Checked: self._on_checked,
            Refused: self._on_refused,
            Failed: self._on_failed,
        }
        self.now = 0.0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handles an event; returns the actions to carry out. `now` in seconds of any monotonic clock."""
        self.now, self.actions = now, []
        may = TABLE[self.state].get(type(event))
        if may is not None:
            after = self.handlers[type(event)](event)
            assert after in may, (self.state, event, after)
            self.state = after
        return self.actions

    def _do(self, *actions: Action) -> None:
        self.actions += actions

    # --- waiting and opening

    def _on_due(self, e: Due) -> State:
        if self.state is WAITING:
            self._do(Open(self.at))
            return OPENING
        if self.mark is not None and self.mark[1] > self.seen and self.now - self.mark[0] >= LATE_S:
            self._do(Check(self.mark[1], self.seen))
        else:
            self._do(Pulse())
        return FOLLOWING

    def _on_opened(self, e: Opened) -> State:
        if not self.seen or self._quiet():
            return self._list()
        return self._watch()

    def _on_failed(self, e: Failed) -> State:
        if self.followed_at is not None and self.now - self.followed_at >= STEADY_S:
            self.failures = 0
        self.followed_at, self.listed, self.mark, self.anew = None, None, None, 0
        self.changed.clear()
        name = self.endpoints[self.at]
        if e.kind not in self.told:
            self.told[e.kind] = None
            held = "the last list stays in use" if self.seen else "no list was had yet"
            self._do(Log("warning", f"etcd: {name}: {e.why}; {held}, tried again until it answers"))
        if self.behind:  # a step back is passed on once all others were asked, or can't be
            self.behind[self.at] = None
        self.at = (self.at + 1) % len(self.endpoints)
        self.failures += 1
        self._do(Close(), Wait(self._wait(e.kind)))
        return WAITING

    def _wait(self, kind: Kind) -> float:
        rounds = self.failures // len(self.endpoints)
        if not rounds or self.failures % len(self.endpoints):
            return self.random.uniform(0.0, SPREAD_S)
        most = WAIT_REFUSED_S if kind is Kind.REFUSED else WAIT_MOST_S
        return min(most, WAIT_S * 2.0 ** min(rounds, 16)) * self.random.uniform(0.5, 1.0)

    def _heard(self) -> None:
        self.heard_at = self.now

    def _quiet(self) -> bool:
        """Who knows what was held back meanwhile, there or in this process."""
        return self.now - self.heard_at > QUIET_S

    # --- the list

    def _list(self) -> State:
        self.listed, self.after, self.mark = None, b"", None
        self.changed.clear()
        self._do(List(b"", 0))
        return LISTING

    def _list_anew(self, why: str) -> State:
        self.anew += 1
        if self.anew > MOST_ANEW:
            return self._on_failed(Failed(Kind.BAD, f"{why}, again and again"))
        return self._list()

    def _on_page(self, e: Page) -> State:
        a = e.answer
        if self.listed is None:
            if self._goes_back(a.header) and self._others():
                return self._on_failed(Failed(Kind.BEHIND, self._less(a.header)))
            self.listed = self.keys.begin_anew()
            self.revision, self.of, self.count = a.header.revision, a.header.cluster_id, a.total
            self.listed_term = a.header.raft_term
        elif a.header.cluster_id != self.of:
            return self._list_anew("another cluster answers each page")
        for item in a.items:
            self.listed.apply(item, self.keys)
        if a.more and a.items:
            self.after = a.items[-1].key
            self._do(List(self.after, self.revision))
            return LISTING
        self._use(self.listed)
        return self._watch()

    def _use(self, listed: Keys) -> None:
        self._told_of(listed)
        self.keys, self.listed = listed, None
        self.cluster, self.seen, self.term = self.of, self.revision, self.listed_term
        self.behind.clear()
        self._heard()
        workers, addresses = self.keys.workers(self.keys.names())
        self._report(api.WorkerList(api.ListKind.FULL, workers), addresses)

    def _goes_back(self, header: Header) -> bool:
        if header.cluster_id != self.cluster:
            return False
        if header.revision < self.seen or header.raft_term < self.term:
            return True
        self.term = header.raft_term
        return False

    def _others(self) -> bool:
        """Whether another endpoint may know more: each is asked once before a step back is passed on."""
        self.behind[self.at] = None
        return len(self.behind) < len(self.endpoints)

    def _less(self, header: Header) -> str:
        now, was = (header.revision, header.raft_term), (self.seen, self.term)
        return f"is at revision {now[0]} in term {now[1]}, and {was[0]} in {was[1]} was told"

    # --- the watch

    def _watch(self) -> State:
        self.changed.clear()
        self._do(Watch(self.seen + 1))
        return STARTING

    def _on_told(self, e: Told) -> State:
        a = e.answer
        if a.canceled or a.refusal is not None:
            return self._canceled(a)
        if self._quiet():
            return self._list()
        if a.header.cluster_id != self.cluster:
            return self._list_anew("another cluster answers each time")
        if a.created:
            return self._created(a.header)
        if self.state is STARTING:
            return self._on_failed(Failed(Kind.BAD, "events of a watch that did not begin"))
        if not a.items and not a.fragment:  # progress: nothing up to there is still to come
            if self._goes_back(a.header):
                return self._list_anew("revisions go back")
            self._heard()
            self._do(Heard(True))
            return FOLLOWING
        return self._events(a)

    def _created(self, header: Header) -> State:
        if self._goes_back(header):
            if self._others():
                return self._on_failed(Failed(Kind.BEHIND, self._less(header)))
            return self._list_anew("revisions go back")
        self.behind.clear()
        self._heard()
        if self.state is STARTING:
            self.followed_at = self.now
            if self.told:
                self.told.clear()
                self._do(Log("info", f"etcd: {self.endpoints[self.at]}: followed from revision {self.seen}"))
            self._do(Heard(False), Wait(PULSE_S * self.random.uniform(0.5, 1.0)))
        return FOLLOWING

    def _events(self, a: Answer) -> State:
        new = [item for item in a.items if item.mod > self.seen]
        if a.items and not new and self._goes_back(a.header):
            return self._list_anew("revisions go back")
        top = 0
        for item in new:
            top = max(top, item.mod)
            self.count += item.fresh - item.deleted
            if (name := self.keys.apply(item)) is not None:
                self.changed[name] = None
        self._told_of(self.keys)
        self._heard()
        if a.fragment:
            return FOLLOWING
        self.seen = max(self.seen, top)
        if self.changed:
            workers, addresses = self.keys.workers(self.changed)
            self._report(api.WorkerList(api.ListKind.PATCH, workers), addresses)
            self.changed = {}
        return FOLLOWING

    def _canceled(self, a: Answer) -> State:
        if a.compacted or (a.refusal is not None and a.refusal.compacted):
            return self._list_anew("the history is compacted while a list is taken")
        if a.refusal is not None and a.refusal.token:
            return self._log_in_again()
        why = a.refusal.text if a.refusal is not None else "no reason given"
        refused = a.refusal is not None and a.refusal.final
        return self._on_failed(Failed(Kind.REFUSED if refused else Kind.LOST, f"ended the watch: {why}"))

    def _log_in_again(self) -> State:
        """At once, at the same endpoint; should that be of no use, the next time it is a failure."""
        self.anew += 1
        if self.anew > MOST_ANEW:
            return self._on_failed(Failed(Kind.REFUSED, "no token is taken for long"))
        self._do(Log("info", f"etcd: {self.endpoints[self.at]}: the token has ended, logged in again"))
        self._do(Open(self.at))
        return OPENING

    # --- is somebody there?

    def _on_alive(self, e: Alive) -> State:
        if self._quiet():
            return self._list()
        if e.header.cluster_id != self.cluster or self._goes_back(e.header):
            return self._list_anew("another cluster, or one that goes back, answers")
        self.anew = 0
        top = e.header.revision
        # it may be other keys than ours that it is ahead by: what it told must be reached, or looked at
        if top == self.seen:
            self.mark = None
        elif self.mark is None or self.mark[1] <= self.seen:
            self.mark = self.now, top
        self._heard()
        self._do(Heard(top == self.seen), Wait(PULSE_S))
        return FOLLOWING

    def _on_checked(self, e: Checked) -> State:
        upto = self.mark[1] if self.mark is not None else 0
        self.mark = None
        if upto > self.seen:
            if e.answer.items or e.answer.total != self.count:
                return self._on_failed(Failed(Kind.SILENT, f"the watch keeps back what is {LATE_S:g} s old"))
            self.seen = upto  # nothing of ours came up to there
        self._heard()
        self._do(Heard(True), Wait(PULSE_S))
        return FOLLOWING

    def _on_refused(self, e: Refused) -> State:
        if self.state is FOLLOWING and e.refusal.compacted:  # a check of what is gone by now
            self.mark = None
            self._do(Wait(PULSE_S))
            return FOLLOWING
        if e.refusal.compacted:
            return self._list_anew("the history is compacted while a list is taken")
        kind = Kind.REFUSED if e.refusal.final else Kind.LOST
        return self._on_failed(Failed(kind, e.refusal.text))

    # --- telling

    def _report(self, workers: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
        self._do(Tell(Report(SOURCE, self.seen, workers, addresses, f"{self.cluster:x}")))

    def _told_of(self, keys: Keys) -> None:
        most = 20
        for line in keys.unreported[:most]:
            self._do(Log("error", f"etcd: {line}"))
        if len(keys.unreported) > most:
            self._do(Log("error", f"etcd: {len(keys.unreported) - most} more keys can't be used"))
        keys.unreported.clear()
