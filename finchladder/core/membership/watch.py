"""Discovery's watch: when it counts as silent, how soon it is opened again, and which version is believed.

All waits follow from two figures of the protocol, which stand here alone: an open watch says something each
TELLS_EVERY_S, and whatever call failed, was refused or given up, a change counts as told TOLD_WITHIN_S after
discovery had it and could be reached. So a watch that falls silent must be noticed, and another one opened
and answered, within that time:

    SILENT_S + away_s + opens_within_s + SPARE_S <= TOLD_WITHIN_S

A call may also have begun just before discovery could be reached again, and hang for nothing:

    opens_within_s + retry_s + opens_within_s + SPARE_S <= TOLD_WITHIN_S

| the watch | what comes | then |
| --- | --- | --- |
| opening | its answer's head within `opens_within_s` | open |
| opening | nothing within it, a refusal, a reset, another status | over |
| open | a line, an empty one too | open |
| open | nothing for SILENT_S, or bytes that end no line for LINE_S | over |
| over, was open | - | opening, at most `away_s` later (recalls.py draws when) |
| over, was opening | - | opening, at most `retry_s` later |
| any | SIGHUP names another address | opening there, at once |

| a list | taken |
| --- | --- |
| the first since the start | yes: the one known from before may be of any age |
| not older than the last taken | yes |
| older, changes alone | no: it would undo what is newer |
| older, whole | no, unless nothing else was taken for RENUMBERED_S: then discovery counts anew |

While older lists alone come, a watch that is as old as that is opened anew, and asks for the whole list.
"""

HEARTBEAT_INTERVAL_S = 2.0
MAX_PROPAGATION_S = 6.0
SILENCE_TIMEOUT_S = HEARTBEAT_INTERVAL_S + 0.6  # a line may be late; one watch too many costs a call
LINE_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S  # for one that comes in pieces
MARGIN_S = 0.3  # for the loop, and for applying what comes
LOCAL_OPEN_TIMEOUT_S = 1.0  # an agent on the own machine answers at once
SHARED_OPEN_TIMEOUT_S = 2.1  # where all share one discovery, calls wait there in turn
RENUMBERED_AFTER_S = 5.0
INITIAL_LIST_WAIT_S = 0.3  # a new process waits so long to be told whether the list that it knows still holds
NO_CHANGE_WAIT_S = 0.05  # after the head of a watch's answer: what has changed would have come with it


class WatchState:
    """Times are seconds of the caller's clock, whichever it is."""

    __slots__ = ("open_timeout_s", "reopen_within_s", "retry_within_s", "version", "taken_at", "has_older")

    def __init__(self, shared: bool) -> None:
        """`shared`: one discovery answers all dispatchers; else an agent is beside each."""
        self.open_timeout_s = SHARED_OPEN_TIMEOUT_S if shared else LOCAL_OPEN_TIMEOUT_S
        self.reopen_within_s = MAX_PROPAGATION_S - SILENCE_TIMEOUT_S - self.open_timeout_s - MARGIN_S
        self.retry_within_s = MAX_PROPAGATION_S - 2 * self.open_timeout_s - MARGIN_S
        self.version: int | None = None  # of the last list taken; None: none since the start
        self.taken_at = 0.0
        self.has_older = False  # older ones have come since

    def silent_at(self, last_byte: float, last_line: float) -> float:
        """When an open watch is over, unless more comes."""
        return min(last_byte + SILENCE_TIMEOUT_S, last_line + LINE_TIMEOUT_S)

    def accept(self, now: float, version: int, whole: bool) -> bool:
        """Whether a list of that version is to be applied."""
        older = self.version is not None and version < self.version
        if older and not (whole and self.is_renumbered(now)):
            self.has_older = True
            return False
        self.version, self.taken_at, self.has_older = version, now, False
        return True

    def is_renumbered(self, now: float) -> bool:
        """Whether older lists alone have come for so long that they must be believed."""
        return self.has_older and now > self.taken_at + RENUMBERED_AFTER_S
