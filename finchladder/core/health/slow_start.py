"""Slow start: limits what one of many dispatchers sends to a worker that has just started.

Such a worker fails if all dispatchers together send it more than `overload_multiple` times its current
capacity for `overload_window_s` seconds. Each dispatcher derives its allowance, the rate at which it earns
credit, from the work that it sends to a warm worker (one past slow start); summed over all dispatchers, this
is all work of a warm worker. ALLOWANCE_SHARE of the multiple is used; the rest is a margin for skewed traffic
and outdated endpoint lists. Credit is in seconds of work. `max_cost_s` is the cost of a job that must also
fetch the data of its key. The phase of a dispatcher, 0 to 1, is derived from its index.

| dispatchers of the fleet | credit at a worker's start | a job may be sent if the credit is |
| --- | --- | --- |
| up to SMALL_FLEET | random, from 0 down to -`max_cost_s` | at least the job's cost |
| more | in the same range, by this dispatcher's phase | 0 or more |

The cost of each sent job is subtracted from the credit. In a large fleet the allowance of one dispatcher adds
up to far less than the cost of one job during slow start. If the cost had to be earned before the send, no
dispatcher would ever send a job. With phases spread evenly over the cost of a job, the sends of all
dispatchers add up to the sum of their allowances, however the traffic is distributed over them.
"""

from collections.abc import Callable
from hashlib import blake2b
from random import Random

from finchladder.core.api import Settings
from finchladder.core.dispatch.records import Worker
from finchladder.core.membership.watch_backoff import SMALL_FLEET
from finchladder.core.timing_wheel import TimingWheel

ALLOWANCE_SHARE = 0.3  # share of `overload_multiple` that is used


def van_der_corput(index: int) -> float:
    """Returns an element of the van der Corput sequence, 0 to 1: the index's bits reversed, as a fraction.

    The values of consecutive indices are spread evenly over the range. The dispatchers of one zone may have
    consecutive indices and more traffic than others.
    """
    value = 0.0
    step = 0.5
    while index:
        value += step * (index & 1)
        step /= 2
        index >>= 1
    return value


class SlowStart:
    """Manages the credit of workers in slow start, which is stored in their records."""

    __slots__ = ("settings", "is_large_fleet", "phase")

    def __init__(self, settings: Settings) -> None:
        """`settings.index` determines the phase of this dispatcher."""
        self.settings = settings
        self.is_large_fleet = settings.dispatchers > SMALL_FLEET
        self.phase = van_der_corput(max(0, settings.index))

    def initial_credit_s(self, worker: str, started_at: float, max_cost_s: float, random: Random) -> float:
        """Returns the credit of a worker at its start, from -`max_cost_s` to 0.

        In a large fleet the dispatcher's phase is shifted by a hash of the worker and its start time.
        """
        if not self.is_large_fleet:
            return -random.random() * max_cost_s
        digest = blake2b(f"{worker}/{started_at}".encode(), digest_size=4).digest()
        return -((self.phase + int.from_bytes(digest, "big") / 2**32) % 1.0) * max_cost_s

    def allows(
        self, worker: Worker, now: float, warm_rate: float, max_cost_s: float, cost_s: Callable[[], float]
    ) -> bool:
        """Adds the credit earned since the last call, and returns whether it suffices for a job.

        Args:
            worker: A worker in slow start.
            now: Current time, in seconds of the caller's clock.
            warm_rate: Work that this dispatcher sends to a warm worker, in seconds of work per second; in a
                large fleet, to a warm worker of a similar size.
            max_cost_s: Cost of a job that must also fetch the data of its key.
            cost_s: Returns the cost of this job; called only in a small fleet.
        """
        settings = self.settings
        updated_at = max(worker.credit_updated_at, worker.started_at)
        # calls are rare in a large fleet and the capacity grows between them: use its value at mid-interval
        age_s = updated_at - worker.started_at + ((now - updated_at) / 2 if self.is_large_fleet else 0.0)
        initial_share = settings.slow_start_initial_share
        capacity_share = initial_share + (1 - initial_share) * age_s / settings.slow_start_s
        rate = ALLOWANCE_SHARE * settings.overload_multiple * capacity_share * warm_rate
        max_credit_s = max(max_cost_s, rate * settings.overload_window_s)
        max_credit_s -= max_cost_s if self.is_large_fleet else 0.0
        worker.slow_start_credit = min(worker.slow_start_credit + rate * (now - updated_at), max_credit_s)
        worker.credit_updated_at = now
        return worker.slow_start_credit >= (0.0 if self.is_large_fleet else cost_s())

    def sample(self, slow_starting: TimingWheel[Worker], count: int, random: Random) -> list[Worker]:
        """Returns up to `count` workers in slow start, from a random position on; none in a small fleet.

        Dispatch chooses the worker of a job among two random candidates. In a large fleet these rarely
        include a worker in slow start, so most of the dispatcher's allowance would remain unused.
        """
        if not self.is_large_fleet or not slow_starting:
            return []
        first = random.randrange(max(1, len(slow_starting) - count + 1))
        return slow_starting.items_from(first, count)
