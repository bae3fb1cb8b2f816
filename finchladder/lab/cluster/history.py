"""Whether operators saw a linearizable register: the configuration, compared and set by its version.

A change is taken at one moment between the first time it was sent and its first acknowledgement, if the
version that it builds on is in place then. Versions rise, so each version is in place during one interval,
and a history is explained by the order in which versions followed each other and by a moment for each step:

    seen                                       moments of the steps
    change acknowledged at e                   its step <= e
    change sent first at b                     its step >= b
    version read, or told, within [b, e]       its step <= e, the next step >= b
    change on version v refused within [b, e]  step to v >= b, or the step after v <= e; it is never taken
    the same, and another version told         as if that version was read
    no clear answer                            it may be taken at any time after it was sent, or never

The earliest moments that keep all bounds are found by raising them until nothing changes, so the answer is
exact and takes O(steps x observations) for each order of versions. Several orders are possible only where a
version that several unclear changes could have made was itself never seen. Stricter than a plain register, a
change that was refused is never taken, also not where its base came into place later.
Source: M. Herlihy, J. Wing, "Linearizability: A Correctness Condition for Concurrent Objects" (1990).
"""

from collections.abc import Iterable, Iterator, Sequence
from enum import Enum
from itertools import product
from math import inf

from attrs import frozen

NOTHING = 0  # the version before the first change


class Answer(Enum):
    """What the sender of a change was told."""

    TAKEN = "taken"
    REFUSED = "refused"
    UNCLEAR = "unclear"


@frozen
class Attempt:
    """One sending of a change, seconds of one clock; `told`: the version that a refusal names."""

    change: int
    base: int
    version: int
    began: float
    ended: float
    answer: Answer
    told: int | None = None


@frozen
class Observation:
    """A version that was seen in place at some moment of an interval; `change`: the one that made it, None
    where only the version was told.
    """

    version: int
    change: int | None
    began: float
    ended: float


@frozen
class Step:
    """A change that may have been taken."""

    change: int
    base: int
    version: int
    earliest: float  # when it was first sent


@frozen
class History:
    """What all operators and readers saw."""

    attempts: Sequence[Attempt]
    observations: Sequence[Observation]

    def is_linearizable(self) -> bool:
        """Whether some order of steps explains all that was seen."""
        refused = {a.change for a in self.attempts if a.answer is Answer.REFUSED}
        seen = {a.change for a in self.attempts if a.answer is Answer.TAKEN}
        seen |= {o.change for o in self.observations if o.change is not None}
        steps = self._steps()
        if refused & seen or not seen <= set(steps) or any(a.told == a.base for a in self.attempts):
            return False
        possible = [step for step in steps.values() if step.change not in refused]
        required = {o.version for o in self._all_observations()} - {NOTHING}
        return any(self._explains(order) for order in _orders(possible, seen, required))

    def _steps(self) -> dict[int, Step]:
        steps: dict[int, Step] = {}
        for attempt in self.attempts:
            known = steps.get(attempt.change)
            earliest = attempt.began if known is None else min(known.earliest, attempt.began)
            steps[attempt.change] = Step(attempt.change, attempt.base, attempt.version, earliest)
        return steps

    def _all_observations(self) -> Iterator[Observation]:
        yield from self.observations
        for attempt in self.attempts:
            if attempt.told is not None:
                yield Observation(attempt.told, None, attempt.began, attempt.ended)

    def _explains(self, order: Sequence[Step]) -> bool:
        places = {NOTHING: 0} | {step.version: place for place, step in enumerate(order, 1)}
        bounds = _Bounds(order)
        for attempt in self.attempts:
            place = places.get(attempt.version)
            if attempt.answer is Answer.TAKEN and place is not None:
                bounds.at_most(place, attempt.ended)
        for observation in self._all_observations():
            place = places[observation.version]
            bounds.at_most(place, observation.ended)
            bounds.at_least(place + 1, observation.began)
        return bounds.can_be_met(
            [
                Refusal(places[a.base], a.began, a.ended)
                for a in self.attempts
                if a.answer is Answer.REFUSED and a.told is None and a.base in places
            ]
        )


@frozen
class Refusal:
    """A change on the version at that place of an order was refused within an interval."""

    place: int
    began: float
    ended: float


class _Bounds:
    """Earliest and latest moments of the steps 1 to n; step 0 is before all, step n + 1 never comes."""

    def __init__(self, order: Sequence[Step]) -> None:
        self._earliest = [-inf, *(step.earliest for step in order), inf]
        self._latest = [inf] * len(self._earliest)

    def at_least(self, place: int, moment: float) -> None:
        """The step is not before that moment."""
        self._earliest[place] = max(self._earliest[place], moment)

    def at_most(self, place: int, moment: float) -> None:
        """The step is not after that moment."""
        self._latest[place] = min(self._latest[place], moment)

    def can_be_met(self, refusals: Sequence[Refusal]) -> bool:
        """Whether moments can be found. Of each refusal, the step to its place is not before it began, or the
        next one not after it ended.
        """
        while True:
            self._spread()
            if any(e > latest for e, latest in zip(self._earliest, self._latest, strict=True)):
                return False
            unmet = [refusal for refusal in refusals if not self._meets(refusal)]
            if not unmet:
                return True
            for refusal in unmet:
                if refusal.place == 0:
                    return False
                self.at_least(refusal.place, refusal.began)

    def _spread(self) -> None:
        """No step is before the one that it follows."""
        for place in range(1, len(self._earliest)):
            self.at_least(place, self._earliest[place - 1])

    def _meets(self, refusal: Refusal) -> bool:
        came, went = self._earliest[refusal.place], self._earliest[refusal.place + 1]
        return came >= refusal.began or went <= refusal.ended


def _orders(possible: Sequence[Step], seen: set[int], required: set[int]) -> Iterator[list[Step]]:
    """All orders of versions that hold the changes that were seen and the versions that were told."""
    fixed = sorted((step for step in possible if step.change in seen), key=lambda step: step.version)
    if len({step.version for step in fixed}) < len(fixed):
        return
    free = [step for step in possible if step.change not in seen]
    gaps = []
    reached = NOTHING
    for step in fixed:
        gaps.append([[*path, step] for path in _paths(free, reached, step.base)])
        reached = step.version
    gaps.append(list(_paths(free, reached, None)))
    for parts in product(*gaps):
        order = [step for part in parts for step in part]
        if required <= {step.version for step in order}:
            yield order


def _paths(free: Iterable[Step], start: int, end: int | None) -> Iterator[list[Step]]:
    """Ways from one version to another, or to any, by changes that nobody saw; of those between the same two
    versions the one that was sent first.
    """
    if end is None or start == end:
        yield []
    if start == end:
        return
    following: dict[int, Step] = {}
    for step in free:
        is_on_the_way = step.base == start < step.version and (end is None or step.version <= end)
        known = following.get(step.version)
        if is_on_the_way and (known is None or step.earliest < known.earliest):
            following[step.version] = step
    for step in following.values():
        for path in _paths(free, step.version, end):
            yield [step, *path]
