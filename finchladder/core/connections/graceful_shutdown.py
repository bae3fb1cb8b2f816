"""Leaving: what may still be taken and kept after SIGTERM. Times are in seconds of the caller's clock.

The platform says when SIGKILL may come, by the longest deadline of the settings; all else follows from that.

| after SIGTERM | a connection of a client that waits | a request that comes |
| --- | --- | --- |
| up to AT_EASE | stays in use: other dispatchers may be leaving as well | has its whole time |
| up to `stays_s` | stays in use | is answered within `gone_by_s` |
| from then on | is closed, unless a request has come on it | is answered so, and its connection closed |
"""

# of the protocol: SIGKILL comes this long after the longest deadline, which counts as COUNTED_S at the most
KILL_GRACE_S, MAX_COUNTED_DEADLINE_S = 0.7, 3.0
# what came sooner after SIGTERM than this has its whole time before SIGKILL; KILLED_S, less what a read takes
FULL_TIME_S = KILL_GRACE_S - 0.1
KILL_MARGIN_S = 0.2  # between the last answer and SIGKILL
MAX_KEEP_OPEN_S = 1.8  # clients leave kept connections by themselves by then


class GracefulShutdown:
    def __init__(self, longest_s: float) -> None:
        """`longest_s`: the longest deadline of any class."""
        killed_s = min(longest_s, MAX_COUNTED_DEADLINE_S) + KILL_GRACE_S
        self.answer_within_s = killed_s - KILL_MARGIN_S
        # half of the time is left for what comes last
        self.keep_open_s = min(MAX_KEEP_OPEN_S, killed_s / 2)
        self.began_at: float | None = None  # when SIGTERM came

    @property
    def has_begun(self) -> bool:
        return self.began_at is not None

    def begin(self, now: float) -> None:
        self.began_at = now

    def must_close(self, now: float) -> bool:
        """Whether no connection of a client may be kept any more."""
        return self.began_at is not None and now > self.began_at + self.keep_open_s

    def latest_answer_at(self, now: float, deadline: float) -> float:
        """When SIGTERM came a while ago, SIGKILL may come before the client's time is up."""
        if self.began_at is not None and now > self.began_at + FULL_TIME_S:
            return min(deadline, self.began_at + self.answer_within_s)
        return deadline
