"""Slow start: what one dispatcher of many may send to a worker that has just started.

Such a worker fails if all dispatchers together send it more than `overload_multiple` times its capacity at
that moment, for `overload_window_s` seconds. Each judges its own part by the work that it has a warm worker
do; the sum over all dispatchers is what all of them do there. Of the multiple ALLOWANCE_SHARE is used; the
rest is for skew and stale views. Credit is work in seconds.

| how many share the fleet | credit at a start | a job may go if the credit is |
| --- | --- | --- |
| up to FEW | down to one job with its fetch below 0, drawn | at least its cost: saved up before |
| more | as far below 0 as this dispatcher's phase says | 0 or more: its cost is then owed |

Among many a part is worth far less than one job during slow start, so to save one up first would mean that
nobody ever sends anything. With phases spread evenly over the length of a job, the sends of all add up to the
sum of all parts, each at its turn, whatever the traffic of each is.
"""

from collections.abc import Callable
from hashlib import blake2b
from random import Random

from finchladder.core.api import Settings
from finchladder.core.dispatch.records import Worker
from finchladder.core.membership.watch_backoff import SMALL_FLEET
from finchladder.core.timing_wheel import TimingWheel

ALLOWANCE_SHARE = 0.3  # of what `overload_multiple` allows


def van_der_corput(index: int) -> float:
    """The van der Corput sequence, 0 to 1: the number with its bits reversed, behind the binary point.

    Any run of numbers is spread evenly: those of a zone may stand together, and see more traffic than others.
    """
    found = 0.0
    step = 0.5
    while index:
        found += step * (index & 1)
        step /= 2
        index >>= 1
    return found


class SlowStart:
    """The credit of workers in slow start; it is kept in their records."""

    __slots__ = ("settings", "is_large_fleet", "phase")

    def __init__(self, settings: Settings) -> None:
        """`settings.index`: gives this dispatcher's turns among all."""
        self.settings = settings
        self.is_large_fleet = settings.dispatchers > SMALL_FLEET
        self.phase = van_der_corput(max(0, settings.index))

    def initial_credit_s(self, worker: str, started_at: float, max_cost_s: float, random: Random) -> float:
        """Credit at a start. `max_cost_s`: of a job with its fetch; each start has turns of its own."""
        if not self.is_large_fleet:
            return -random.random() * max_cost_s
        digest = blake2b(f"{worker}/{started_at}".encode(), digest_size=4).digest()
        return -((self.phase + int.from_bytes(digest, "big") / 2**32) % 1.0) * max_cost_s

    def allows(
        self, worker: Worker, now: float, warm_rate: float, max_cost_s: float, cost_s: Callable[[], float]
    ) -> bool:
        """Adds what was earned since the last call; whether the credit suffices for a job.

        Args:
            worker: one in slow start.
            now: seconds.
            warm_rate: work that this dispatcher has a warm worker do, in seconds a second; in a large fleet
                one of like size.
            max_cost_s: of a job with its fetch.
            cost_s: of this job; called only where it is needed.
        """
        settings = self.settings
        since = max(worker.credit_updated_at, worker.started_at)
        # one of many asks seldom, and the worker's capacity grows meanwhile: half of that time counts
        age_s = since - worker.started_at + ((now - since) / 2 if self.is_large_fleet else 0.0)
        initial_share = settings.slow_start_initial_share
        capacity_share = initial_share + (1 - initial_share) * age_s / settings.slow_start_s
        rate = ALLOWANCE_SHARE * settings.overload_multiple * capacity_share * warm_rate
        max_credit_s = max(max_cost_s, rate * settings.overload_window_s)
        max_credit_s -= max_cost_s if self.is_large_fleet else 0.0
        worker.slow_start_credit = min(worker.slow_start_credit + rate * (now - since), max_credit_s)
        worker.credit_updated_at = now
        return worker.slow_start_credit >= (0.0 if self.is_large_fleet else cost_s())

    def sample(self, slow_starting: TimingWheel[Worker], count: int, random: Random) -> list[Worker]:
        """So many workers in slow start, from a drawn position on; none if few dispatchers share the fleet.

        One of many has few jobs whose pair such a worker is in: most of its turns would pass unused.
        """
        if not self.is_large_fleet or not slow_starting:
            return []
        first = random.randrange(max(1, len(slow_starting) - count + 1))
        return slow_starting.items_from(first, count)
