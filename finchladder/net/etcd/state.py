"""The state machine that follows a prefix in etcd; it uses no sockets and no clock.

It reads the list of keys and then watches for changes from the list's revision + 1 on. A broken watch is
continued at the next endpoint after the last revision whose events have all arrived. The list is read again
if that is impossible (the revision is compacted, or the cluster is another one or at an older revision), or
after so long a silence that the next messages may be outdated. Which source takes precedence is decided in
core/membership.
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
MAX_SILENCE_S = 5.0  # after a longer silence, the next messages may be outdated, and the list is read again
PROBE_INTERVAL_S = 2.0  # seconds from a response to the next probe, which checks for a quorum
# a watch that has not reached a probe's revision after this time is checked for missed changes
MAX_WATCH_LAG_S = 10.0
RESPONSE_TIMEOUT_S = 1.0  # timeout for a connection, a response, or the start of a watch
PROBE_TIMEOUT_S = 2.0  # longer than RESPONSE_TIMEOUT_S, as the watch of a slow endpoint may still work
KEYS_PER_PAGE = 256  # some 100 KB, read and applied in 2 ms
# backoff between two rounds over all endpoints; the last value is the maximum after a rejected login
BACKOFF_S, MAX_BACKOFF_S, MAX_REFUSED_BACKOFF_S = (0.1, 1.0, 5.0)
ENDPOINT_JITTER_S = 0.05  # maximum random wait before the next endpoint, so that 1,000 dispatchers spread
STABLE_WATCH_S = 2.0  # after a watch of this duration, the backoff starts again from its minimum
MAX_RESTARTS = 3  # lists or logins restarted without backoff; one more counts as a failure of the endpoint


class State(Enum):
    """The states of a `Follower`; TRANSITIONS holds the allowed transitions."""

    WAITING = "waiting"  # until the timer expires for the next connection attempt
    OPENING = "opening"  # connecting and, if a user is configured, logging in
    LISTING = "listing"
    STARTING = "starting"  # a watch was requested
    FOLLOWING = "following"


# --- events


class TimerExpired(NamedTuple):
    """The timer has expired."""


class Opened(NamedTuple):
    """The endpoint is connected and, if a user is configured, logged in."""

    pass


class ListPage(NamedTuple):
    """A page of the list."""

    answer: Response


class WatchMessage(NamedTuple):
    """A message of the watch."""

    answer: Response


class ProbeResult(NamedTuple):
    """The response to a `Probe`."""

    header: Header


class CheckResult(NamedTuple):
    """The response to a `Check`: a key newer than the last revision, if any, and the number of keys."""

    answer: Response


class Failure(Enum):
    """Why an endpoint failed; each reason is logged once during an outage."""

    LOST = "lost"  # the connection failed or broke
    SILENT = "silent"
    REFUSED = "refused"  # user, password, permission, certificate
    BEHIND = "behind"
    BAD = "bad"  # a response that no etcd gives


class EndpointFailed(NamedTuple):
    """The endpoint can't be followed any longer."""

    kind: Failure
    reason: str


class CallFailed(NamedTuple):
    """The response to a `ReadPage`, `Probe` or `Check` was an error."""

    error: ErrorResponse


Event = (
    TimerExpired | Opened | ListPage | WatchMessage | ProbeResult | CheckResult | EndpointFailed | CallFailed
)

# --- actions


class Open(NamedTuple):
    """Close all connections, connect to the endpoint and log in. Results: Opened, EndpointFailed."""

    endpoint: int


class Close(NamedTuple):
    """Close all connections."""

    pass


class ReadPage(NamedTuple):
    """Read the page after a key, as of a revision (0: the latest), ending any watch.

    Results: ListPage, CallFailed, EndpointFailed.
    """

    after: bytes
    revision: int


class StartWatch(NamedTuple):
    """Watch the prefix from a revision on. Results: WatchMessage, EndpointFailed."""

    start: int


class Probe(NamedTuple):
    """Check that the endpoint is reachable and has a quorum.

    Results: ProbeResult, CallFailed, EndpointFailed.
    """

    pass


class Check(NamedTuple):
    """Read whether, as of `revision`, any key is newer than `than`.

    Results: CheckResult, CallFailed, EndpointFailed.
    """

    revision: int
    than: int


class SetTimer(NamedTuple):
    """Set the timer. Result: TimerExpired."""

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

# the next states allowed for each event; an event without an entry arrived too late and is dropped
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
        self.cluster_id = 0  # the cluster that the current list is from
        self.last_revision = 0  # all changes up to this revision are reported; 0: there is no list yet
        self.term = 0  # the Raft term, which never decreases unless the cluster was restored
        self.current = 0  # index of the endpoint in use
        self.failures = 0  # consecutive failures
        self.lagging_endpoints: dict[int, None] = {}  # endpoints found at an older revision or term
        self.last_response_at = -MAX_SILENCE_S
        self.following_since: float | None = None
        self.restarts = 0  # number of lists and logins since the last valid response
        self.partial_list: Keys | None = None  # a list whose pages are not all read
        self.list_revision = 0  # revision of `partial_list`
        self.list_cluster_id = self.list_term = 0  # cluster id and term of `partial_list`
        self.page_after = b""
        self.changed: dict[str, None] = {}  # workers changed by the fragments of an incomplete message
        # a revision that the watch has not reached, preceded by the time of the probe that returned it
        self.expected_revision: tuple[float, int] | None = None
        self.logged_failures: dict[Failure, None] = {}  # reasons logged in this outage
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
        """Handles an event and returns the resulting actions; `now` in seconds of a monotonic clock."""
        self.now, self.actions = now, []
        allowed = TRANSITIONS[self.state].get(type(event))
        if allowed is not None:
            next_state = self.handlers[type(event)](event)
            assert next_state in allowed, (self.state, event, next_state)
            self.state = next_state
        return self.actions

    def _emit(self, *actions: Action) -> None:
        self.actions += actions

    # --- waiting and connecting

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
            list_state = "the last list stays in use" if self.last_revision else "no list was read yet"
            self._emit(Log("warning", f"etcd: {name}: {e.reason}; {list_state}, retrying"))
        if self.lagging_endpoints:  # an older state is accepted only after all other endpoints were tried
            self.lagging_endpoints[self.current] = None
        self.current = (self.current + 1) % len(self.endpoints)
        self.failures += 1
        self._emit(Close(), SetTimer(self._backoff_s(e.kind)))
        return WAITING

    def _backoff_s(self, kind: Failure) -> float:
        rounds = self.failures // len(self.endpoints)
        if not rounds or self.failures % len(self.endpoints):
            return self.random.uniform(0.0, ENDPOINT_JITTER_S)
        max_s = MAX_REFUSED_BACKOFF_S if kind is Failure.REFUSED else MAX_BACKOFF_S
        return min(max_s, BACKOFF_S * 2.0 ** min(rounds, 16)) * self.random.uniform(0.5, 1.0)

    def _record_response(self) -> None:
        self.last_response_at = self.now

    def _was_silent(self) -> bool:
        """Whether the silence was so long that pending messages may be outdated."""
        return self.now - self.last_response_at > MAX_SILENCE_S

    # --- list

    def _start_list(self) -> State:
        self.partial_list, self.page_after, self.expected_revision = None, b"", None
        self.changed.clear()
        self._emit(ReadPage(b"", 0))
        return LISTING

    def _restart_list(self, reason: str) -> State:
        self.restarts += 1
        if self.restarts > MAX_RESTARTS:
            return self._on_endpoint_failed(
                EndpointFailed(Failure.BAD, f"{reason}, {MAX_RESTARTS + 1} times in a row")
            )
        return self._start_list()

    def _on_list_page(self, e: ListPage) -> State:
        response = e.answer
        if self.partial_list is None:
            if self._is_older(response.header) and self._has_untried_endpoint():
                return self._on_endpoint_failed(
                    EndpointFailed(Failure.BEHIND, self._older_reason(response.header))
                )
            self.partial_list = self.keys.for_new_list()
            self.list_revision, self.list_cluster_id, self.key_count = (
                response.header.revision,
                response.header.cluster_id,
                response.total,
            )
            self.list_term = response.header.raft_term
        elif response.header.cluster_id != self.list_cluster_id:
            return self._restart_list("pages come from different clusters")
        for item in response.items:
            self.partial_list.apply(item, self.keys)
        if response.more and response.items:
            self.page_after = response.items[-1].key
            self._emit(ReadPage(self.page_after, self.list_revision))
            return LISTING
        self._use_list(self.partial_list)
        return self._start_watch()

    def _use_list(self, keys: Keys) -> None:
        self._log_unusable(keys)
        self.keys, self.partial_list = keys, None
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
        """Records that the current endpoint is behind; returns whether another may hold a newer revision.

        An older state is accepted only after all endpoints were tried.
        """
        self.lagging_endpoints[self.current] = None
        return len(self.lagging_endpoints) < len(self.endpoints)

    def _older_reason(self, header: Header) -> str:
        now, was = (header.revision, header.raft_term), (self.last_revision, self.term)
        return f"is at revision {now[0]} in term {now[1]}, but {was[0]} in {was[1]} was read before"

    # --- watch

    def _start_watch(self) -> State:
        self.changed.clear()
        self._emit(StartWatch(self.last_revision + 1))
        return STARTING

    def _on_watch_message(self, e: WatchMessage) -> State:
        response = e.answer
        if response.canceled or response.error is not None:
            return self._on_watch_canceled(response)
        if self._was_silent():
            return self._start_list()
        if response.header.cluster_id != self.cluster_id:
            return self._restart_list("messages come from different clusters")
        if response.created:
            return self._on_watch_created(response.header)
        if self.state is STARTING:
            return self._on_endpoint_failed(
                EndpointFailed(Failure.BAD, "events before the watch was created")
            )
        # a progress notification: all events up to its revision have arrived
        if not response.items and not response.fragment:
            if self._is_older(response.header):
                return self._restart_list("the revision decreased")
            self._record_response()
            self._emit(ReportAlive(True))
            return FOLLOWING
        return self._on_events(response)

    def _on_watch_created(self, header: Header) -> State:
        if self._is_older(header):
            if self._has_untried_endpoint():
                return self._on_endpoint_failed(EndpointFailed(Failure.BEHIND, self._older_reason(header)))
            return self._restart_list("the revision decreased")
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

    def _on_events(self, response: Response) -> State:
        new = [item for item in response.items if item.mod_revision > self.last_revision]
        if response.items and not new and self._is_older(response.header):
            return self._restart_list("the revision decreased")
        top = 0
        for item in new:
            top = max(top, item.mod_revision)
            self.key_count += item.is_new - item.is_deleted
            if (name := self.keys.apply(item)) is not None:
                self.changed[name] = None
        self._log_unusable(self.keys)
        self._record_response()
        if response.fragment:
            return FOLLOWING
        self.last_revision = max(self.last_revision, top)
        if self.changed:
            workers, addresses = self.keys.workers(self.changed)
            self._report(api.WorkerList(api.ListKind.PATCH, workers), addresses)
            self.changed = {}
        return FOLLOWING

    def _on_watch_canceled(self, response: Response) -> State:
        if response.compacted or (response.error is not None and response.error.is_compacted):
            return self._restart_list("the revision was compacted while the list was read")
        if response.error is not None and response.error.is_token_error:
            return self._log_in_again()
        reason = response.error.text if response.error is not None else "no reason given"
        refused = response.error is not None and response.error.is_final
        return self._on_endpoint_failed(
            EndpointFailed(Failure.REFUSED if refused else Failure.LOST, f"ended the watch: {reason}")
        )

    def _log_in_again(self) -> State:
        """Logs in again at the same endpoint; too many logins in a row count as a failure."""
        self.restarts += 1
        if self.restarts > MAX_RESTARTS:
            return self._on_endpoint_failed(EndpointFailed(Failure.REFUSED, "new tokens are rejected"))
        self._emit(
            Log("info", f"etcd: {self.endpoints[self.current]}: the token has expired, logged in again")
        )
        self._emit(Open(self.current))
        return OPENING

    # --- probes

    def _on_probe_result(self, e: ProbeResult) -> State:
        if self._was_silent():
            return self._start_list()
        if e.header.cluster_id != self.cluster_id or self._is_older(e.header):
            return self._restart_list("the response is from another cluster or of an older revision")
        self.restarts = 0
        top = e.header.revision
        # keys outside the prefix may cause the difference: the watch must reach the revision, or is checked
        if top == self.last_revision:
            self.expected_revision = None
        elif self.expected_revision is None or self.expected_revision[1] <= self.last_revision:
            self.expected_revision = self.now, top
        self._record_response()
        self._emit(ReportAlive(top == self.last_revision), SetTimer(PROBE_INTERVAL_S))
        return FOLLOWING

    def _on_check_result(self, e: CheckResult) -> State:
        reached = self.expected_revision[1] if self.expected_revision is not None else 0
        self.expected_revision = None
        if reached > self.last_revision:
            if e.answer.items or e.answer.total != self.key_count:
                return self._on_endpoint_failed(
                    EndpointFailed(Failure.SILENT, f"the watch withholds changes for {MAX_WATCH_LAG_S:g} s")
                )
            self.last_revision = reached  # no key below the prefix has changed up to there
        self._record_response()
        self._emit(ReportAlive(True), SetTimer(PROBE_INTERVAL_S))
        return FOLLOWING

    def _on_call_failed(self, e: CallFailed) -> State:
        if self.state is FOLLOWING and e.error.is_compacted:  # the revision to check is compacted by now
            self.expected_revision = None
            self._emit(SetTimer(PROBE_INTERVAL_S))
            return FOLLOWING
        if e.error.is_compacted:
            return self._restart_list("the revision was compacted while the list was read")
        kind = Failure.REFUSED if e.error.is_final else Failure.LOST
        return self._on_endpoint_failed(EndpointFailed(kind, e.error.text))

    # --- reports

    def _report(self, workers: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
        self._emit(ReportList(Report(SOURCE, self.last_revision, workers, addresses, f"{self.cluster_id:x}")))

    def _log_unusable(self, keys: Keys) -> None:
        max_lines = 20
        for line in keys.unreported[:max_lines]:
            self._emit(Log("error", f"etcd: {line}"))
        if len(keys.unreported) > max_lines:
            self._emit(Log("error", f"etcd: {len(keys.unreported) - max_lines} more unusable keys"))
        keys.unreported.clear()
