"""What one dispatcher of many may send to a cold worker: its part of what the rule leaves to all of them.

A worker that has just started falls over if all dispatchers together send it more than `fall_multiple` times
what it can do at that moment, for `fall_within` seconds. Each judges the worker by what it has served by a
warm one, which is its own traffic's part of that; the sum over the fleet is what all of them do there. Of the
rule's multiple PART is used; the rest is for skew and stale views. Credit is work in seconds.

| how many share the fleet | credit at a start | a job may go if the credit is |
| --- | --- | --- |
| up to FEW | down to a whole job with its fetch below 0, drawn | at least its cost: saved up before |
| more | as far below 0 as this dispatcher's place says | 0 or more: its cost is then owed |

Among many a part is worth far less than one job while the worker is cold, so to save one up first would mean
that nobody ever sends it anything. With places spread evenly over the length of a job, the sends of all come
to what all parts add up to, each at its turn, whatever the traffic of each is.
"""

from collections.abc import Callable
from hashlib import blake2b
from random import Random

from finchladder.core.api import Settings
from finchladder.core.dispatch.records import Worker
from finchladder.core.membership.watch_backoff import SMALL_FLEET
from finchladder.core.timing_wheel import TimingWheel

ALLOWANCE_SHARE = 0.3  # of the rule's allowance


def van_der_corput(index: int) -> float:
    """Where a dispatcher stands among all, 0 to 1: its number with the bits turned round (van der Corput).

    Any run of numbers is spread evenly: those of a zone may stand together, and see more traffic than others.
    """
    at, step = 0.0, 0.5
    while index:
        at, step, index = at + step * (index & 1), step / 2, index >> 1
    return at


class SlowStart:
    __slots__ = ("settings", "is_large_fleet", "phase")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.is_large_fleet = settings.dispatchers > SMALL_FLEET
        self.phase = van_der_corput(max(0, settings.index))

    def initial_credit_s(self, worker: str, born: float, most: float, random: Random) -> float:
        """Credit at a start. `most`: what a job with its fetch costs; each start has turns of its own."""
        if not self.is_large_fleet:
            return -random.random() * most
        digest = blake2b(f"{worker}/{born}".encode(), digest_size=4).digest()
        return -((self.phase + int.from_bytes(digest, "big") / 2**32) % 1.0) * most

    def allows(self, w: Worker, now: float, warm_rate: float, most: float, cost: Callable[[], float]) -> bool:
        """`warm_rate`: work that it has a warm worker do (among many: of like size), in seconds a second."""
        since = max(w.credit_updated_at, w.started_at)
        # one of many asks seldom, and what the worker can do grows meanwhile: half of that time counts
        age = since - w.started_at + ((now - since) / 2 if self.is_large_fleet else 0.0)
        part = (
            self.settings.slow_start_initial_share
            + (1 - self.settings.slow_start_initial_share) * age / self.settings.slow_start_s
        )
        rate = ALLOWANCE_SHARE * self.settings.overload_multiple * part * warm_rate
        saved = max(most, rate * self.settings.overload_window_s) - (most if self.is_large_fleet else 0.0)
        w.slow_start_credit, w.credit_updated_at = min(w.slow_start_credit + rate * (now - since), saved), now
        return w.slow_start_credit >= (0.0 if self.is_large_fleet else cost())

    def sample(self, cold: TimingWheel[Worker], most: int, random: Random) -> list[Worker]:
        """So many of the cold ones, from a place that is drawn; none for a few dispatchers.

        A turn at one of many would mostly pass unused: a dispatcher has few jobs whose home it is.
        """
        return (
            cold.slice_of(random.randrange(max(1, len(cold) - most + 1)), most)
            if self.is_large_fleet and cold
            else []
        )
