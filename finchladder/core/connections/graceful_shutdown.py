"""Leaving: what may still be taken and kept after SIGTERM. Times are in seconds of the caller's clock.

The platform says when SIGKILL may come, by the longest deadline of the settings; all else follows from that.

| after SIGTERM | a connection of a client that waits | a request that comes |
| --- | --- | --- |
| up to AT_EASE | stays in use: other dispatchers may be leaving as well | has its whole time |
| up to `stays_s` | stays in use | is answered within `gone_by_s` |
| from then on | is closed, unless a request has come on it | is answered so, and its connection closed |
"""

# of the protocol: SIGKILL comes this long after the longest deadline, which counts as COUNTED_S at the most
KILLED_S, COUNTED_S = 0.7, 3.0
# what came sooner after SIGTERM than this has its whole time before SIGKILL; KILLED_S, less what a read takes
AT_EASE = KILLED_S - 0.1
SPARE_S = 0.2  # between the last answer and SIGKILL
STAYS_MOST_S = 1.8  # clients leave kept connections by themselves by then


class Leaving:
    def __init__(self, longest_s: float) -> None:
        """`longest_s`: the longest deadline of any class."""
        killed_s = min(longest_s, COUNTED_S) + KILLED_S
        self.gone_by_s = killed_s - SPARE_S
        # half of the time is left for what comes last
        self.stays_s = min(STAYS_MOST_S, killed_s / 2)
        self.at: float | None = None  # when SIGTERM came

    @property
    def begun(self) -> bool:
        return self.at is not None

    def begin(self, now: float) -> None:
        self.at = now

    def closing(self, now: float) -> bool:
        """Whether no connection of a client may be kept any more."""
        return self.at is not None and now > self.at + self.stays_s

    def latest(self, now: float, deadline: float) -> float:
        """When SIGTERM came a while ago, SIGKILL may come before the client's time is up."""
        if self.at is not None and now > self.at + AT_EASE:
            return min(deadline, self.at + self.gone_by_s)
        return deadline
