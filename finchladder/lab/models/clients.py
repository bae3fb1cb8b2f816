"""What a client does with its wish: how long it waits for a try, and whether and when it tries again.

No sockets, no clock: times come in, what is to be done goes out. A wish is one job that a client wants; its
tries follow each other, each with an id of its own, and all of them share the deadline of the job's class.
"""

import random
from bisect import bisect_right
from dataclasses import dataclass
from itertools import accumulate
from typing import NamedTuple

from finchladder.lab.experiment import Experiment, JobClass, Retries
from finchladder.lab.records import End

CLIENTS = 4096  # of one process; each has its habits and its zone
GATEWAYS = 64  # of one process; the clients behind one of them share its connections
LEAVES_AFTER = 0.1  # part of its patience that an impatient client waits
LEAST_S = 0.01  # a try with less time than this is not worth sending


class Client(NamedTuple):
    name: str
    gateway: int
    zone: str
    honours: bool  # Retry-After
    impatient: bool


class Send(NamedTuple):
    """A try goes out now."""

    patience: float  # seconds, told as X-Time-Left
    leaves: float  # seconds after which the client closes; the patience, unless it is impatient
    repeat: bool  # X-Repeat: 1


@dataclass(slots=True)
class Wish:
    job_class: JobClass
    client: Client
    due: float  # of the first try
    tries: int = 0


def population(experiment: Experiment, seed: int, part: int) -> list[Client]:
    """The clients of one process. Shares are met to the nearest client; zones are the gateways'."""
    rng, load = random.Random(f"clients {seed} {part}"), experiment.load

    def some(share: float) -> set[int]:
        return set(rng.sample(range(CLIENTS), round(share * CLIENTS)))

    honours, impatient = some(load.retries.honour), some(load.impatient)
    zones, ends = experiment.zones, list(accumulate(load.zone_shares))

    def zone(gateway: int) -> str:
        if not ends:
            return zones[(part * GATEWAYS + gateway) % len(zones)]
        place = (gateway + 0.5) / GATEWAYS * ends[-1]  # shares are met to the nearest gateway
        return zones[bisect_right(ends, place)]

    return [
        Client(f"c{part}-{i}", i % GATEWAYS, zone(i % GATEWAYS), i in honours, i in impatient)
        for i in range(CLIENTS)
    ]


def proves_unrun(end: End, status: int) -> bool:
    """Whether the client knows that its job has not run: it was refused, or nobody could be asked."""
    return end == "unconnected" or (end == "answer" and status in (429, 503))


class ClientModel:
    """All clients of a process: they differ in their habits, not in their rules."""

    def __init__(self, retries: Retries, rng: random.Random) -> None:
        self.retries, self.rng = retries, rng

    def send(self, wish: Wish, now: float) -> Send | None:
        """The wish's next try; None when the deadline leaves no time for one."""
        patience = wish.due + wish.job_class.deadline_s - now
        if patience < LEAST_S:
            return None
        patience = min(patience, wish.job_class.patience_s or patience)
        wish.tries += 1
        leaves = patience * LEAVES_AFTER if wish.client.impatient else patience
        return Send(patience, leaves, wish.tries > 1)

    def ended(
        self, wish: Wish, now: float, end: End, status: int = 0, retry_after: float = 0.0
    ) -> float | None:
        """When the next try is due; None: there will be none.

        Answers that blame the request itself are final, as is leaving. Whatever else may have run its job is
        followed by another try only where the class may be repeated, or the client is configured not to care.
        """
        kind = self.retries.kind
        if kind == "none" or wish.tries >= self.retries.tries or end == "left":
            return None
        if end == "answer" and (status < 400 or (status < 500 and status != 429)):
            return None
        if not proves_unrun(end, status):
            fragile = wish.job_class.effect == "fragile" and not self.retries.fragile_too
            if fragile or not self.retries.after_failure:
                return None
        wait = 0.0
        if kind == "after":
            span = self.retries.wait_s
            wait = self.rng.uniform(*span) if isinstance(span, tuple) else span
            if self.retries.doubles:
                wait *= 2 ** (wish.tries - 1)
        if wish.client.honours:
            wait = max(wait, retry_after)
        due = now + wait
        return due if due + LEAST_S <= wish.due + wish.job_class.deadline_s else None
