"""Exhaustive search of a small model: every state that any order of its steps reaches, breadth first."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import Generic, TypeVar

from attrs import frozen

State = TypeVar("State", bound=Hashable)
Steps = Callable[[State], Iterable[tuple[str, State]]]


@frozen
class Explored(Generic[State]):
    """`states`: how many were reached; `depth`: steps to the farthest; `complete`: nothing lies beyond.
    `broken`: the steps to the nearest state that breaks a rule, none if there is no such state.
    """

    states: int
    depth: int
    complete: bool
    broken: tuple[str, ...] | None


def explore(
    start: State, steps: Steps[State], keeps_rules: Callable[[State], bool], most_states: int
) -> Explored[State]:
    """Visits states in the order of their distance from the start, up to `most_states` of them."""
    came_from: dict[State, tuple[State, str] | None] = {start: None}
    depths = {start: 0}
    waiting = deque([start])
    while waiting:
        state = waiting.popleft()
        if not keeps_rules(state):
            return Explored(len(came_from), depths[state], False, _way_to(state, came_from))
        for name, following in steps(state):
            if following in came_from:
                continue
            if len(came_from) >= most_states:
                return Explored(len(came_from), depths[state], False, None)
            came_from[following] = state, name
            depths[following] = depths[state] + 1
            waiting.append(following)
    return Explored(len(came_from), max(depths.values()), True, None)


def _way_to(state: State, came_from: dict[State, tuple[State, str] | None]) -> tuple[str, ...]:
    names: list[str] = []
    step = came_from[state]
    while step is not None:
        before, name = step
        names.append(name)
        step = came_from[before]
    return tuple(reversed(names))
