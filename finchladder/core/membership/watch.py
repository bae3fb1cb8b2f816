"""Watch on service discovery: its timeouts, when it is reopened, and which list versions are applied.

All timeouts derive from two figures of the protocol: an open watch sends a line every HEARTBEAT_INTERVAL_S,
and a change must be propagated MAX_PROPAGATION_S after discovery has it and is reachable, even if calls
failed, were rejected or were cancelled. So a silent watch must be detected, and another one opened and
answered, within that time:

    SILENCE_TIMEOUT_S + reopen_within_s + open_timeout_s + MARGIN_S <= MAX_PROPAGATION_S

A call may also have begun just before discovery became reachable, and time out:

    open_timeout_s + retry_within_s + open_timeout_s + MARGIN_S <= MAX_PROPAGATION_S

| state of the watch | event | next state |
| --- | --- | --- |
| opening | the answer's head within `open_timeout_s` | open |
| opening | a timeout, a rejection, a reset, another status | closed |
| open | a line, also an empty one | open |
| open | nothing for SILENCE_TIMEOUT_S, or an incomplete line for LINE_TIMEOUT_S | closed |
| closed, was open | - | opening, at most `reopen_within_s` later (drawn by watch_backoff.py) |
| closed, was opening | - | opening, at most `retry_within_s` later |
| any | SIGHUP with another address | opening there, at once |

| a list | applied |
| --- | --- |
| the first since the start | yes: the stored list may be of any age |
| not older than the last applied | yes |
| older, a patch | no: it would revert newer changes |
| older, full | no, unless no other was applied for RENUMBERED_AFTER_S: discovery has restarted its versions |

While only older lists arrive, a watch of that age is reopened and requests the full list.
"""

HEARTBEAT_INTERVAL_S = 2.0
MAX_PROPAGATION_S = 6.0
SILENCE_TIMEOUT_S = (
    HEARTBEAT_INTERVAL_S + 0.6
)  # allows a late line; a watch that is reopened needlessly costs one call
LINE_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S  # timeout of a line that arrives in pieces
MARGIN_S = 0.3  # margin for event loop delays and for applying the list
LOCAL_OPEN_TIMEOUT_S = 1.0  # timeout of opening a watch with a local agent
# timeout of opening a watch with a shared discovery service, where calls are queued
SHARED_OPEN_TIMEOUT_S = 2.1
RENUMBERED_AFTER_S = 5.0
INITIAL_LIST_TIMEOUT_S = 0.3  # time for which a new process waits for a confirmation of its stored list
# without a change for this time after the response head, none is pending: they arrive with it
NO_CHANGE_DELAY_S = 0.05


class WatchState:
    """Timeouts of a watch, and the version last applied. Times are seconds of the caller's clock."""

    __slots__ = ("open_timeout_s", "reopen_within_s", "retry_within_s", "version", "taken_at", "has_older")

    def __init__(self, shared: bool) -> None:
        """`shared`: one discovery service answers all dispatchers; otherwise each has a local agent."""
        self.open_timeout_s = SHARED_OPEN_TIMEOUT_S if shared else LOCAL_OPEN_TIMEOUT_S
        self.reopen_within_s = MAX_PROPAGATION_S - SILENCE_TIMEOUT_S - self.open_timeout_s - MARGIN_S
        self.retry_within_s = MAX_PROPAGATION_S - 2 * self.open_timeout_s - MARGIN_S
        # version of the last applied list; None: none was applied since the start
        self.version: int | None = None
        self.taken_at = 0.0
        self.has_older = False  # whether older lists have arrived since `taken_at`

    def timeout_at(self, last_byte: float, last_line: float) -> float:
        """Returns when an open watch times out unless more data arrives."""
        return min(last_byte + SILENCE_TIMEOUT_S, last_line + LINE_TIMEOUT_S)

    def accept(self, now: float, version: int, is_full: bool) -> bool:
        """Returns whether a list of that version is to be applied, and records it if so."""
        is_older = self.version is not None and version < self.version
        if is_older and not (is_full and self.is_renumbered(now)):
            self.has_older = True
            return False
        self.version, self.taken_at, self.has_older = version, now, False
        return True

    def is_renumbered(self, now: float) -> bool:
        """Whether only older lists arrived for so long that discovery must have restarted its versions."""
        return self.has_older and now > self.taken_at + RENUMBERED_AFTER_S
