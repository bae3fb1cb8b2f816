"""Fault injection: delays or aborts a share of a class's requests for a limited time.

The callers pass the current time; no clock is read here.
"""

from random import Random
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

# a request whose delay exceeds the client's timeout is answered this many seconds before the timeout
RESPONSE_MARGIN_S = 0.05

Share = Annotated[float, Meta(ge=0, le=1)]


class FaultOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"job_class": "class"}):
    """Body of the control call; `share` and `abort_share` are fractions of all requests of the class."""

    job_class: str
    share: Share
    for_s: Annotated[float, Meta(gt=0, le=600)]
    delay_ms: Annotated[float, Meta(ge=0, le=600_000)] = 0.0
    abort_share: Share | None = None  # None: `share` if `delay_ms` is 0, otherwise no request is aborted

    @property
    def total_abort_share(self) -> float:
        """The share of requests that are aborted."""
        if self.abort_share is None:
            return 0.0 if self.delay_ms else self.share
        return self.abort_share


class InjectedFault(NamedTuple):
    """The fault of one request: a delay in seconds, then a 503 if `abort`, else normal dispatch."""

    delay_s: float = 0.0
    abort: bool = False


class FaultInjector:
    """The active fault injections by job class."""

    def __init__(self, seed: int) -> None:
        """Starts without active injections.

        Args:
            seed: The seed of the generator that selects requests.
        """
        # separate from the dispatcher's generator, whose draws must not depend on injected faults
        self.random = Random(f"drills {seed}")
        self.active: dict[str, tuple[float, FaultOrder]] = {}  # by class: end time and order
        self.applied: dict[str, int] = {}
        self.stopped = False

    def start(self, now: float, order: FaultOrder) -> float:
        """Starts an injection in place of the class's earlier one; returns the time at which it ends."""
        until = now + order.for_s
        self.active[order.job_class] = until, order
        self.applied.setdefault(order.job_class, 0)
        return until

    def stop(self) -> None:
        """Stops all injections permanently; later orders have no effect."""
        self.stopped = True

    def apply(self, now: float, job_class: str, timeout_s: float) -> InjectedFault | None:
        """Returns the fault for a new request, or None.

        Args:
            now: The current time in seconds.
            job_class: The request's class.
            timeout_s: The client's timeout in seconds.
        """
        until, order = self.active.get(job_class, (0.0, None))
        if order is None or self.stopped:
            return None
        if now >= until:
            del self.active[job_class]
            return None
        draw, delay_s = self.random.random(), order.delay_ms / 1000
        if draw < order.total_abort_share:
            effect = InjectedFault(abort=True)
        elif delay_s and draw < order.total_abort_share + order.share:
            max_delay_s = timeout_s - min(RESPONSE_MARGIN_S, timeout_s / 2)
            effect = (
                InjectedFault(delay_s) if delay_s < max_delay_s else InjectedFault(max_delay_s, abort=True)
            )
        else:
            return None
        self.applied[job_class] += 1
        return effect
