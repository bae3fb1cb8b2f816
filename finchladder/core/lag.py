"""How late the loop itself is, from a timer's lateness and the process's CPU time: all handed in."""

from collections import deque
from typing import NamedTuple

STOPPED_FROM_S = 0.25  # a longer gap in which the CPU was hardly used: the process was stopped
STOPPED_BELOW = 0.2  # of the gap
KEPT_S, KEPT_FROM_S = 10.0, 0.005  # how long lateness is remembered, and from how much on
KEPT_MOST = 512


class Sample(NamedTuple):
    lag_s: float  # by which the timer came late
    cpu_share: float  # of what the process may use, since the last sample
    stopped: bool  # this lag is a pause of the process (SIGSTOP, a frozen machine), and no load


class LagMeter:
    """Sampled by a timer that is set anew for `every_s` later each time. Keeps KEPT_MOST late samples."""

    def __init__(self, now: float, cpu_s: float, every_s: float, cores: float = 1.0) -> None:
        """`cpu_s`: the process's CPU time so far; `cores`: what it may use, 1 at most with one loop."""
        self.at, self.cpu_s, self.every_s, self.cores = now, cpu_s, every_s, min(1.0, cores)
        self.late: deque[tuple[float, float]] = deque(maxlen=KEPT_MOST)  # (until, lag) of each late sample

    def sample(self, now: float, cpu_s: float) -> Sample:
        span = max(now - self.at, 1e-9)
        lag = max(0.0, span - self.every_s)
        share = min(1.0, (cpu_s - self.cpu_s) / span / self.cores)
        self.at, self.cpu_s = now, cpu_s
        if lag >= KEPT_FROM_S:
            self.late.append((now, lag))
        while self.late and self.late[0][0] < now - KEPT_S:
            self.late.popleft()
        return Sample(lag, share, lag >= STOPPED_FROM_S and share < STOPPED_BELOW)

    def own_s(self, since: float, now: float) -> float:
        """Seconds since then for which the loop was not looking: what came meanwhile is late by its fault."""
        lost = max(0.0, now - self.at - self.every_s)  # the timer may be late at this moment
        for until, lag in reversed(self.late):
            if until <= since:
                break
            lost += min(lag, until - since)
        return lost
