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
from finchladder.net.etcd.messages import ErrorResponse, Header, Response

SOURCE = "etcd"
MAX_SILENCE_S = 5.0  # nothing heard for so long: what comes then may be a replay of what was
PROBE_INTERVAL_S = 2.0  # from an answer to the next question whether somebody with a quorum is still there
MAX_WATCH_LAG_S = 10.0  # a watch that has not come up to what a pulse told so long ago is looked at
RESPONSE_TIMEOUT_S = 1.0  # for a connection, an answer, a watch's beginning
PROBE_TIMEOUT_S = 2.0  # for a pulse: one that is only slow is not left, as its watch may go on
KEYS_PER_PAGE = 256  # keys of a page: some 100 KB, read and applied in 2 ms
BACKOFF_S, MAX_BACKOFF_S, MAX_REFUSED_BACKOFF_S = 0.1, 1.0, 5.0  # between two rounds over all endpoints
ENDPOINT_JITTER_S = 0.05  # before the next endpoint of a round: a thousand must not come there in one moment
STABLE_WATCH_S = 2.0  # a watch that stood for so long was no mistake: the next wait is short again
MAX_RESTARTS = 3  # lists or logins begun anew at once; beyond that it is a failure, and waits


class State(Enum):
    """The states of a `Follower`; TABLE holds the allowed transitions."""

    WAITING = "waiting"  # for the time of the next try
    OPENING = "opening"  # a connection and, where there is a user, a login
    LISTING = "listing"
    STARTING = "starting"  # a watch was asked for
    FOLLOWING = "following"


# --- what happens


class TimerExpired(NamedTuple):
    """The timer has expired."""


class Opened(NamedTuple):
    """The endpoint is connected and, where there is a user, logged in."""

    pass


class ListPage(NamedTuple):
    """A page of the list."""

    answer: Response


class WatchMessage(NamedTuple):
    """A message of the watch."""

    answer: Response


class ProbeResult(NamedTuple):
    """The response to a Pulse."""

    header: Header


class CheckResult(NamedTuple):
    """The response to a Check: keys newer than the last one reported, and the total number of keys."""

    answer: Response


class Failure(Enum):
    """Why an endpoint failed; each is logged once during an outage."""

    LOST = "lost"  # no connection, or it broke
    SILENT = "silent"
    REFUSED = "refused"  # user, password, permission, certificate
    BEHIND = "behind"
    BAD = "bad"  # no etcd answers so


class EndpointFailed(NamedTuple):
    """The endpoint can't be followed any longer."""

    kind: Failure
    reason: str


class CallFailed(NamedTuple):
    """The response to a List, Pulse or Check was an error."""

    error: ErrorResponse


Event = (
    TimerExpired | Opened | ListPage | WatchMessage | ProbeResult | CheckResult | EndpointFailed | CallFailed
)

# --- what is to be done


class Open(NamedTuple):
    """Close all connections, connect to the endpoint and log in. Results: Opened, Failed."""

    endpoint: int


class Close(NamedTuple):
    """Close all connections."""

    pass


class ReadPage(NamedTuple):
    """Read the page after a key, as of a revision (0: the latest), ending any watch.

    Results: Page, Refused, Failed.
    """

    after: bytes
    revision: int


class StartWatch(NamedTuple):
    """Watch the prefix from a revision on. Results: Told, Failed."""

    start: int


class Probe(NamedTuple):
    """Check that the endpoint is reachable and has a quorum. Results: Alive, Refused, Failed."""

    pass


class Check(NamedTuple):
    """Read whether, as of `revision`, any key is newer than `than`. Results: Checked, Refused, Failed."""

    revision: int
    than: int


class SetTimer(NamedTuple):
    """Set the timer. Result: Due."""

    seconds: float


class ReportList(NamedTuple):
    """Report a list to the membership."""

    report: Report


class ReportAlive(NamedTuple):
    """Report to the membership that etcd is alive; `in_step`: no change is outstanding."""

    in_step: bool


class Log(NamedTuple):
    """Write a line to the log."""

    level: str
    text: str


Action = Open | Close | ReadPage | StartWatch | Probe | Check | SetTimer | ReportList | ReportAlive | Log

# what may follow what; an event that has no place in a state came too late, and is dropped
WAITING, OPENING, LISTING, STARTING, FOLLOWING = State
TRANSITIONS: dict[State, dict[type, tuple[State, ...]]] = {
    WAITING: {TimerExpired: (OPENING,)},
    OPENING: {Opened: (LISTING, STARTING), EndpointFailed: (WAITING,)},
    LISTING: {
        ListPage: (LISTING, STARTING, WAITING),
        CallFailed: (LISTING, WAITING),
        EndpointFailed: (WAITING,),
    },
    STARTING: {WatchMessage: (FOLLOWING, LISTING, OPENING, WAITING), EndpointFailed: (WAITING,)},
    FOLLOWING: {
        TimerExpired: (FOLLOWING,),
        WatchMessage: (FOLLOWING, LISTING, OPENING, WAITING),
        ProbeResult: (FOLLOWING, LISTING, WAITING),
        CheckResult: (FOLLOWING, WAITING),
        CallFailed: (FOLLOWING, WAITING),
        EndpointFailed: (WAITING,),
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
        self.key_count = 0  # keys below the prefix
        self.cluster_id = 0  # whose list is held
        self.last_revision = 0  # all up to this revision was told; 0: no list is held
        self.term = 0  # of Raft, which only rises: less of it is another life of the same cluster
        self.current = 0  # which endpoint
        self.failures = 0  # in a row
        self.lagging_endpoints: dict[int, None] = {}  # endpoints that told less than was seen
        self.last_response_at = -MAX_SILENCE_S
        self.following_since: float | None = None
        self.restarts = 0  # lists and logins begun anew since an answer that was as it should be
        self.partial_list: Keys | None = None  # a list of which pages are still to come
        self.list_revision = 0  # of that list, and its cluster
        self.list_cluster_id = self.list_term = 0
        self.page_after = b""
        self.changed: dict[str, None] = {}  # by fragments of which more are to come
        self.expected_revision: tuple[float, int] | None = (
            None  # when a pulse told a revision that is yet to be reached
        )
        self.logged_failures: dict[Failure, None] = {}  # what the log has of this outage
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[[Any], State]] = {
            TimerExpired: self._on_timer_expired,
            Opened: self._on_opened,
            ListPage: self._on_list_page,
            WatchMessage: self._on_watch_message,
            ProbeResult: self._on_probe_result,
            CheckResult: self._on_check_result,
            CallFailed: self._on_call_failed,
            EndpointFailed: self._on_endpoint_failed,
        }
        self.now = 0.0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handles an event; returns the actions to carry out. `now` in seconds of any monotonic clock."""
        self.now, self.actions = now, []
        may = TRANSITIONS[self.state].get(type(event))
        if may is not None:
            after = self.handlers[type(event)](event)
            assert after in may, (self.state, event, after)
            self.state = after
        return self.actions

    def _emit(self, *actions: Action) -> None:
        self.actions += actions

    # --- waiting and opening

    def _on_timer_expired(self, e: TimerExpired) -> State:
        if self.state is WAITING:
            self._emit(Open(self.current))
            return OPENING
        if (
            self.expected_revision is not None
            and self.expected_revision[1] > self.last_revision
            and self.now - self.expected_revision[0] >= MAX_WATCH_LAG_S
        ):
            self._emit(Check(self.expected_revision[1], self.last_revision))
        else:
            self._emit(Probe())
        return FOLLOWING

    def _on_opened(self, e: Opened) -> State:
        if not self.last_revision or self._was_silent():
            return self._start_list()
        return self._start_watch()

    def _on_endpoint_failed(self, e: EndpointFailed) -> State:
        if self.following_since is not None and self.now - self.following_since >= STABLE_WATCH_S:
            self.failures = 0
        self.following_since, self.partial_list, self.expected_revision, self.restarts = None, None, None, 0
        self.changed.clear()
        name = self.endpoints[self.current]
        if e.kind not in self.logged_failures:
            self.logged_failures[e.kind] = None
            held = "the last list stays in use" if self.last_revision else "no list was had yet"
            self._emit(Log("warning", f"etcd: {name}: {e.reason}; {held}, tried again until it answers"))
        if self.lagging_endpoints:  # a step back is passed on once all others were asked, or can't be
            self.lagging_endpoints[self.current] = None
        self.current = (self.current + 1) % len(self.endpoints)
        self.failures += 1
        self._emit(Close(), SetTimer(self._backoff_s(e.kind)))
        return WAITING

    def _backoff_s(self, kind: Failure) -> float:
        rounds = self.failures // len(self.endpoints)
        if not rounds or self.failures % len(self.endpoints):
            return self.random.uniform(0.0, ENDPOINT_JITTER_S)
        most = MAX_REFUSED_BACKOFF_S if kind is Failure.REFUSED else MAX_BACKOFF_S
        return min(most, BACKOFF_S * 2.0 ** min(rounds, 16)) * self.random.uniform(0.5, 1.0)

    def _record_response(self) -> None:
        self.last_response_at = self.now

    def _was_silent(self) -> bool:
        """Who knows what was held back meanwhile, there or in this process."""
        return self.now - self.last_response_at > MAX_SILENCE_S

    # --- the list

    def _start_list(self) -> State:
        self.partial_list, self.page_after, self.expected_revision = None, b"", None
        self.changed.clear()
        self._emit(ReadPage(b"", 0))
        return LISTING

    def _restart_list(self, why: str) -> State:
        self.restarts += 1
        if self.restarts > MAX_RESTARTS:
            return self._on_endpoint_failed(EndpointFailed(Failure.BAD, f"{why}, again and again"))
        return self._start_list()

    def _on_list_page(self, e: ListPage) -> State:
        a = e.answer
        if self.partial_list is None:
            if self._is_older(a.header) and self._has_untried_endpoint():
                return self._on_endpoint_failed(EndpointFailed(Failure.BEHIND, self._older_reason(a.header)))
            self.partial_list = self.keys.for_new_list()
            self.list_revision, self.list_cluster_id, self.key_count = (
                a.header.revision,
                a.header.cluster_id,
                a.total,
            )
            self.list_term = a.header.raft_term
        elif a.header.cluster_id != self.list_cluster_id:
            return self._restart_list("another cluster answers each page")
        for item in a.items:
            self.partial_list.apply(item, self.keys)
        if a.more and a.items:
            self.page_after = a.items[-1].key
            self._emit(ReadPage(self.page_after, self.list_revision))
            return LISTING
        self._use_list(self.partial_list)
        return self._start_watch()

    def _use_list(self, listed: Keys) -> None:
        self._log_unusable(listed)
        self.keys, self.partial_list = listed, None
        self.cluster_id, self.last_revision, self.term = (
            self.list_cluster_id,
            self.list_revision,
            self.list_term,
        )
        self.lagging_endpoints.clear()
        self._record_response()
        workers, addresses = self.keys.workers(self.keys.names())
        self._report(api.WorkerList(api.ListKind.FULL, workers), addresses)

    def _is_older(self, header: Header) -> bool:
        if header.cluster_id != self.cluster_id:
            return False
        if header.revision < self.last_revision or header.raft_term < self.term:
            return True
        self.term = header.raft_term
        return False

    def _has_untried_endpoint(self) -> bool:
        """Whether another endpoint may know more: each is asked once before a step back is passed on."""
        self.lagging_endpoints[self.current] = None
        return len(self.lagging_endpoints) < len(self.endpoints)

    def _older_reason(self, header: Header) -> str:
        now, was = (header.revision, header.raft_term), (self.last_revision, self.term)
        return f"is at revision {now[0]} in term {now[1]}, and {was[0]} in {was[1]} was told"

    # --- the watch

    def _start_watch(self) -> State:
        self.changed.clear()
        self._emit(StartWatch(self.last_revision + 1))
        return STARTING

    def _on_watch_message(self, e: WatchMessage) -> State:
        a = e.answer
        if a.canceled or a.error is not None:
            return self._on_watch_canceled(a)
        if self._was_silent():
            return self._start_list()
        if a.header.cluster_id != self.cluster_id:
            return self._restart_list("another cluster answers each time")
        if a.created:
            return self._on_watch_created(a.header)
        if self.state is STARTING:
            return self._on_endpoint_failed(
                EndpointFailed(Failure.BAD, "events of a watch that did not begin")
            )
        if not a.items and not a.fragment:  # progress: nothing up to there is still to come
            if self._is_older(a.header):
                return self._restart_list("revisions go back")
            self._record_response()
            self._emit(ReportAlive(True))
            return FOLLOWING
        return self._on_events(a)

    def _on_watch_created(self, header: Header) -> State:
        if self._is_older(header):
            if self._has_untried_endpoint():
                return self._on_endpoint_failed(EndpointFailed(Failure.BEHIND, self._older_reason(header)))
            return self._restart_list("revisions go back")
        self.lagging_endpoints.clear()
        self._record_response()
        if self.state is STARTING:
            self.following_since = self.now
            if self.logged_failures:
                self.logged_failures.clear()
                self._emit(
                    Log(
                        "info",
                        f"etcd: {self.endpoints[self.current]}: followed from revision {self.last_revision}",
                    )
                )
            self._emit(ReportAlive(False), SetTimer(PROBE_INTERVAL_S * self.random.uniform(0.5, 1.0)))
        return FOLLOWING

    def _on_events(self, a: Response) -> State:
        new = [item for item in a.items if item.mod_revision > self.last_revision]
        if a.items and not new and self._is_older(a.header):
            return self._restart_list("revisions go back")
        top = 0
        for item in new:
            top = max(top, item.mod_revision)
            self.key_count += item.is_new - item.is_deleted
            if (name := self.keys.apply(item)) is not None:
                self.changed[name] = None
        self._log_unusable(self.keys)
        self._record_response()
        if a.fragment:
            return FOLLOWING
        self.last_revision = max(self.last_revision, top)
        if self.changed:
            workers, addresses = self.keys.workers(self.changed)
            self._report(api.WorkerList(api.ListKind.PATCH, workers), addresses)
            self.changed = {}
        return FOLLOWING

    def _on_watch_canceled(self, a: Response) -> State:
        if a.compacted or (a.error is not None and a.error.is_compacted):
            return self._restart_list("the history is compacted while a list is taken")
        if a.error is not None and a.error.is_token_error:
            return self._log_in_again()
        why = a.error.text if a.error is not None else "no reason given"
        refused = a.error is not None and a.error.is_final
        return self._on_endpoint_failed(
            EndpointFailed(Failure.REFUSED if refused else Failure.LOST, f"ended the watch: {why}")
        )

    def _log_in_again(self) -> State:
        """At once, at the same endpoint; should that be of no use, the next time it is a failure."""
        self.restarts += 1
        if self.restarts > MAX_RESTARTS:
            return self._on_endpoint_failed(EndpointFailed(Failure.REFUSED, "no token is taken for long"))
        self._emit(Log("info", f"etcd: {self.endpoints[self.current]}: the token has ended, logged in again"))
        self._emit(Open(self.current))
        return OPENING

    # --- is somebody there?

    def _on_probe_result(self, e: ProbeResult) -> State:
        if self._was_silent():
            return self._start_list()
        if e.header.cluster_id != self.cluster_id or self._is_older(e.header):
            return self._restart_list("another cluster, or one that goes back, answers")
        self.restarts = 0
        top = e.header.revision
        # it may be other keys than ours that it is ahead by: what it told must be reached, or looked at
        if top == self.last_revision:
            self.expected_revision = None
        elif self.expected_revision is None or self.expected_revision[1] <= self.last_revision:
            self.expected_revision = self.now, top
        self._record_response()
        self._emit(ReportAlive(top == self.last_revision), SetTimer(PROBE_INTERVAL_S))
        return FOLLOWING

    def _on_check_result(self, e: CheckResult) -> State:
        upto = self.expected_revision[1] if self.expected_revision is not None else 0
        self.expected_revision = None
        if upto > self.last_revision:
            if e.answer.items or e.answer.total != self.key_count:
                return self._on_endpoint_failed(
                    EndpointFailed(Failure.SILENT, f"the watch keeps back what is {MAX_WATCH_LAG_S:g} s old")
                )
            self.last_revision = upto  # nothing of ours came up to there
        self._record_response()
        self._emit(ReportAlive(True), SetTimer(PROBE_INTERVAL_S))
        return FOLLOWING

    def _on_call_failed(self, e: CallFailed) -> State:
        if self.state is FOLLOWING and e.error.is_compacted:  # a check of what is gone by now
            self.expected_revision = None
            self._emit(SetTimer(PROBE_INTERVAL_S))
            return FOLLOWING
        if e.error.is_compacted:
            return self._restart_list("the history is compacted while a list is taken")
        kind = Failure.REFUSED if e.error.is_final else Failure.LOST
        return self._on_endpoint_failed(EndpointFailed(kind, e.error.text))

    # --- telling

    def _report(self, workers: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
        self._emit(ReportList(Report(SOURCE, self.last_revision, workers, addresses, f"{self.cluster_id:x}")))

    def _log_unusable(self, keys: Keys) -> None:
        most = 20
        for line in keys.unreported[:most]:
            self._emit(Log("error", f"etcd: {line}"))
        if len(keys.unreported) > most:
            self._emit(Log("error", f"etcd: {len(keys.unreported) - most} more keys can't be used"))
        keys.unreported.clear()
