"""What is decided on a job before it becomes a flow: first the door, then drills. No clock, no sockets."""

from typing import NamedTuple, Protocol

from finchladder.config.options import Options
from finchladder.features.admission_limits import Door
from finchladder.features.fault_injection import Drills, Effect, Order


class Verdict(NamedTuple):
    wait: float = 0.0  # above 0: turned away, a token is back after so many seconds
    drill: Effect | None = None


PASS = Verdict()


class Tap(Protocol):
    """Is told of each input and of what was decided on it."""

    def judged(
        self, t: float, client: str, id: str, job_class: str, patience: float, verdict: Verdict
    ) -> None: ...
    def ordered(self, t: float, order: Order, until: float | None) -> None: ...
    def left(self, t: float) -> None: ...


class Arrivals:
    def __init__(self, options: Options, seed: int) -> None:
        self.door = Door(options) if options.door or options.door_of else None
        self.drills = Drills(seed) if options.drill is not None else None
        self.tap: Tap | None = None

    def judge(self, now: float, client: str, id: str, job_class: str, patience: float) -> Verdict:
        verdict = self._judge(now, client, job_class, patience)
        if self.tap is not None:
            self.tap.judged(now, client, id, job_class, patience, verdict)
        return verdict

    def _judge(self, now: float, client: str, job_class: str, patience: float) -> Verdict:
        if self.door is not None and (wait := self.door.turn_away(now, client, job_class)) > 0:
            return Verdict(wait)
        if self.drills is not None and (effect := self.drills.apply(now, job_class, patience)) is not None:
            return Verdict(drill=effect)
        return PASS

    def order(self, now: float, order: Order) -> float | None:
        """When the drill ends; None where there are none."""
        until = self.drills.order(now, order) if self.drills is not None else None
        if self.tap is not None:
            self.tap.ordered(now, order, until)
        return until

    def leave(self, now: float) -> None:
        """The dispatcher leaves: what it still takes is answered as soon as may be."""
        if self.drills is not None:
            self.drills.stop()
        if self.tap is not None:
            self.tap.left(now)
