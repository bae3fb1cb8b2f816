"""Graceful shutdown: time limits after SIGTERM. Times are in seconds of the caller's clock.

The platform sends SIGKILL a fixed time after SIGTERM, from which all limits are derived.

| after SIGTERM | an idle client connection | an arriving request |
| --- | --- | --- |
| up to FULL_TIME_S | stays open: other dispatchers may be shutting down as well | has its full timeout |
| up to `keep_open_s` | stays open | is answered within `answer_within_s` of SIGTERM |
| later | is closed, unless it has unread data | is answered likewise; then its connection is closed |
"""

# SIGKILL follows SIGTERM after KILL_GRACE_S plus the longest deadline (at most MAX_COUNTED_DEADLINE_S)
KILL_GRACE_S, MAX_COUNTED_DEADLINE_S = 0.7, 3.0
# up to this time after SIGTERM a request has its full timeout; 0.1 s of KILL_GRACE_S is left to read it
FULL_TIME_S = KILL_GRACE_S - 0.1
KILL_MARGIN_S = 0.2  # time between the last answer and SIGKILL
MAX_KEEP_OPEN_S = 1.8  # clients are assumed to have closed their idle connections by then


class GracefulShutdown:
    """Determines how long connections stay open and requests are answered after SIGTERM."""

    def __init__(self, longest_deadline_s: float) -> None:
        """`longest_deadline_s`: the longest deadline of any class."""
        kill_after_s = min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_GRACE_S
        self.answer_within_s = kill_after_s - KILL_MARGIN_S
        # the second half of the time until SIGKILL is left for the last requests
        self.keep_open_s = min(MAX_KEEP_OPEN_S, kill_after_s / 2)
        self.began_at: float | None = None  # time at which SIGTERM was received

    @property
    def has_begun(self) -> bool:
        """Whether SIGTERM was received."""
        return self.began_at is not None

    def begin(self, now: float) -> None:
        """Records that SIGTERM was received."""
        self.began_at = now

    def must_close(self, now: float) -> bool:
        """Whether idle client connections must be closed."""
        return self.began_at is not None and now > self.began_at + self.keep_open_s

    def latest_answer_at(self, now: float, deadline: float) -> float:
        """Returns the deadline of an arriving request: `deadline`, or earlier if SIGKILL may come first."""
        if self.began_at is not None and now > self.began_at + FULL_TIME_S:
            return min(deadline, self.began_at + self.answer_within_s)
        return deadline
