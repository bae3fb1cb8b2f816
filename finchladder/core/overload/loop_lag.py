"""How late the loop itself is, and how much of its time it was at work: all times are handed in."""

from typing import NamedTuple

STOPPED_FROM_S = 0.25  # a longer gap in which the CPU was hardly used: the process was stopped
STOPPED_BELOW = 0.2  # of the gap


class Sample(NamedTuple):
    lag_s: float  # by which the timer came late
    busy: float  # part of the time since the last sample for which the loop did not wait for events
    stopped: bool  # this lag is a pause of the process (SIGSTOP, a frozen machine), and no load


class LagMeter:
    """Sampled by a timer that is set anew for `every_s` later each time.

    Being at work is judged by the time spent waiting: a loop that never waits is used up, whoever takes its
    CPU (other processes, a quota, another machine on the same host). CPU time tells only its own part.
    """

    def __init__(self, now: float, cpu_s: float, idle_s: float, every_s: float) -> None:
        """`cpu_s`: the process's CPU time so far; `idle_s`: for how long the loop has waited for events."""
        self.at, self.cpu_s, self.idle_s, self.every_s = now, cpu_s, idle_s, every_s

    def sample(self, now: float, cpu_s: float, idle_s: float) -> Sample:
        span = max(now - self.at, 1e-9)
        lag = max(0.0, span - self.every_s)
        busy = min(1.0, max(0.0, 1 - (idle_s - self.idle_s) / span))
        used = (cpu_s - self.cpu_s) / span
        self.at, self.cpu_s, self.idle_s = now, cpu_s, idle_s
        return Sample(lag, busy, lag >= STOPPED_FROM_S and used < STOPPED_BELOW)
