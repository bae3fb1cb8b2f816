"""Graceful shutdown: time limits after SIGTERM. Times are in seconds of the caller's clock.

The platform sends SIGKILL a fixed time after the longest deadline of the settings; all limits derive from it.

| after SIGTERM | an idle client connection | an arriving request |
| --- | --- | --- |
| up to FULL_TIME_S | stays open: other dispatchers may be shutting down as well | has its full timeout |
| up to `keep_open_s` | stays open | is answered within `answer_within_s` |
| from then on | is closed, unless a request arrived on it | is answered likewise, and its connection closed |
"""

# SIGKILL follows SIGTERM after the longest deadline (at most MAX_COUNTED_DEADLINE_S) plus KILL_GRACE_S
KILL_GRACE_S, MAX_COUNTED_DEADLINE_S = 0.7, 3.0
# requests that arrive this long after SIGTERM have their full timeout: KILL_GRACE_S less the time of a read
FULL_TIME_S = KILL_GRACE_S - 0.1
KILL_MARGIN_S = 0.2  # time between the last answer and SIGKILL
MAX_KEEP_OPEN_S = 1.8  # clients have abandoned idle connections by then


class GracefulShutdown:
    """Decides until when connections stay open and requests are answered after SIGTERM."""

    def __init__(self, longest_deadline_s: float) -> None:
        """Derives the limits from the longest deadline of any class, in seconds."""
        kill_after_s = min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_GRACE_S
        self.answer_within_s = kill_after_s - KILL_MARGIN_S
        # the second half of the time is left for the last requests
        self.keep_open_s = min(MAX_KEEP_OPEN_S, kill_after_s / 2)
        self.began_at: float | None = None  # time at which SIGTERM was received

    @property
    def has_begun(self) -> bool:
        """Whether SIGTERM was received."""
        return self.began_at is not None

    def begin(self, now: float) -> None:
        """Records SIGTERM."""
        self.began_at = now

    def must_close(self, now: float) -> bool:
        """Whether idle client connections must be closed."""
        return self.began_at is not None and now > self.began_at + self.keep_open_s

    def latest_answer_at(self, now: float, deadline: float) -> float:
        """Returns the deadline of an arriving request, before `deadline` if SIGKILL may precede that."""
        if self.began_at is not None and now > self.began_at + FULL_TIME_S:
            return min(deadline, self.began_at + self.answer_within_s)
        return deadline
