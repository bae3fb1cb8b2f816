"""Admission of requests: limits by client address first, then fault injection. No clock and no I/O."""

from typing import NamedTuple, Protocol

from finchladder.config.options import Options
from finchladder.features.admission_limits import Door
from finchladder.features.fault_injection import Drills, Effect, Order


class Verdict(NamedTuple):
    """The decision on one request."""

    wait: float = 0.0  # above 0: turned away, a token is back after so many seconds
    drill: Effect | None = None


ADMITTED = Verdict()


class Tap(Protocol):
    """Observer of every input and of the decision on it."""

    def judged(
        self, t: float, client: str, request_id: str, job_class: str, patience: float, verdict: Verdict
    ) -> None:
        """Observes the decision on a request."""

    def ordered(self, t: float, order: Order, until: float | None) -> None:
        """Observes an order for fault injection."""

    def left(self, t: float) -> None:
        """Observes the start of the graceful shutdown."""


class Arrivals:
    """Decides on requests before they are dispatched."""

    def __init__(self, options: Options, seed: int) -> None:
        """Creates the limits and fault injection that the options enable."""
        self.door = Door(options) if options.door or options.door_of else None
        self.drills = Drills(seed) if options.drill is not None else None
        self.tap: Tap | None = None

    def judge(self, now: float, client: str, request_id: str, job_class: str, patience: float) -> Verdict:
        """Decides on a request and notifies the observer."""
        verdict = self._judge(now, client, job_class, patience)
        if self.tap is not None:
            self.tap.judged(now, client, request_id, job_class, patience, verdict)
        return verdict

    def _judge(self, now: float, client: str, job_class: str, patience: float) -> Verdict:
        if self.door is not None and (wait := self.door.turn_away(now, client, job_class)) > 0:
            return Verdict(wait)
        if self.drills is not None and (effect := self.drills.apply(now, job_class, patience)) is not None:
            return Verdict(drill=effect)
        return ADMITTED

    def order(self, now: float, order: Order) -> float | None:
        """Starts a fault injection; returns the time at which it ends, or None if they are disabled."""
        until = self.drills.order(now, order) if self.drills is not None else None
        if self.tap is not None:
            self.tap.ordered(now, order, until)
        return until

    def leave(self, now: float) -> None:
        """Stops fault injection at the start of a graceful shutdown."""
        if self.drills is not None:
            self.drills.stop()
        if self.tap is not None:
            self.tap.left(now)
