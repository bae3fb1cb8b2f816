"""Lag and utilization of the event loop. All times are passed in, in seconds."""

from typing import NamedTuple

MIN_PAUSE_S = 0.25  # shorter lags are never treated as a pause of the process
MAX_PAUSED_CPU_UTILIZATION = 0.2  # CPU time per second below which a long lag is a pause of the process


class LoopSample(NamedTuple):
    """Measurements of the event loop between two ticks of a timer."""

    lag_s: float  # delay of the timer
    utilization: float  # fraction of the time in which the loop was not waiting for events, 0 to 1
    is_paused: bool  # the lag was a pause of the process (SIGSTOP, a frozen machine), not load


class LoopLagMeter:
    """Measures the event loop by a timer that is set again at each tick.

    Utilization is derived from the time that the loop waited for events: a loop that never waits has no spare
    capacity, even if its CPU is taken by other processes, a CPU quota or another virtual machine on the host.
    The CPU time of the process would only include its own usage.
    """

    def __init__(self, now: float, cpu_s: float, idle_s: float, interval_s: float) -> None:
        """Starts the first interval.

        Args:
            now: The current time in seconds of the caller's clock.
            cpu_s: CPU time that the process has used so far.
            idle_s: Time that the event loop has waited for events so far.
            interval_s: The interval to which the timer is set at each tick.
        """
        self.sampled_at, self.cpu_s, self.idle_s, self.interval_s = now, cpu_s, idle_s, interval_s

    def sample(self, now: float, cpu_s: float, idle_s: float) -> LoopSample:
        """Returns the measurements since the last call; the arguments are those of the constructor."""
        span_s = max(now - self.sampled_at, 1e-9)
        lag_s = max(0.0, span_s - self.interval_s)
        utilization = min(1.0, max(0.0, 1 - (idle_s - self.idle_s) / span_s))
        cpu_utilization = (cpu_s - self.cpu_s) / span_s
        self.sampled_at, self.cpu_s, self.idle_s = now, cpu_s, idle_s
        return LoopSample(
            lag_s, utilization, lag_s >= MIN_PAUSE_S and cpu_utilization < MAX_PAUSED_CPU_UTILIZATION
        )
