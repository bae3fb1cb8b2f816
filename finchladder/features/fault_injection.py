"""Drills: jobs made slow or broken on purpose, by class, for a while. Times are handed in."""

from random import Random
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

MARGIN = 0.05  # of a job that can't be held for the whole delay: answered so long before its client gives up

Part = Annotated[float, Meta(ge=0, le=1)]


class Order(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"job_class": "class"}):
    """What `finchladder drill` posts. Both shares are of all requests of the class."""

    job_class: str
    share: Part
    for_s: Annotated[float, Meta(gt=0, le=600)]
    delay_ms: Annotated[float, Meta(ge=0, le=600_000)] = 0.0
    abort_share: Part | None = None  # None: a drill without a delay aborts what it takes, one with it nothing

    @property
    def aborts(self) -> float:
        if self.abort_share is None:
            return 0.0 if self.delay_ms else self.share
        return self.abort_share


class Effect(NamedTuple):
    """What is done to a job: held for so long, and answered 503 after that, or else dispatched as usual."""

    hold: float = 0.0
    abort: bool = False


class Drills:
    def __init__(self, seed: int) -> None:
        self.random = Random(f"drills {seed}")  # the module's draws must be the same with a drill and without
        self.running: dict[str, tuple[float, Order]] = {}  # by class, with the time of its end
        self.applied: dict[str, int] = {}
        self.stopped = False

    def order(self, now: float, order: Order) -> float:
        """A second drill on a class replaces the first. Returns when it ends."""
        until = now + order.for_s
        self.running[order.job_class] = until, order
        self.applied.setdefault(order.job_class, 0)
        return until

    def stop(self) -> None:
        """For good: an order that comes later has no effect."""
        self.stopped = True

    def apply(self, now: float, job_class: str, patience: float) -> Effect | None:
        until, order = self.running.get(job_class, (0.0, None))
        if order is None or self.stopped:
            return None
        if now >= until:
            del self.running[job_class]
            return None
        draw, delay = self.random.random(), order.delay_ms / 1000
        if draw < order.aborts:
            effect = Effect(abort=True)
        elif delay and draw < order.aborts + order.share:
            most = patience - min(MARGIN, patience / 2)
            effect = Effect(delay) if delay < most else Effect(most, abort=True)
        else:
            return None
        self.applied[job_class] += 1
        return effect
