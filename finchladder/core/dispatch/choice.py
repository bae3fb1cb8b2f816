"""Worker selection shared by the dispatcher and the cluster router: two hash candidates per key, a load
threshold, and overflow to the least loaded worker.

Source: Algorithm 1 of the olscheduler paper for OpenLambda, with one candidate pair per key. The candidate
with the strictly lower local load wins, and a tie goes to the second one. If the winner has reached its load
threshold, and for requests without a key, the least loaded worker is selected.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, TypeVar


class HasLoad(Protocol):
    """A selectable worker. `load`: slots in flight from this process."""

    load: float


Candidate = TypeVar("Candidate", bound=HasLoad)


def least_loaded(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Returns the candidates with the lowest load, in input order and without duplicates."""
    lowest: list[Candidate] = []
    for candidate in candidates:
        if not lowest or candidate.load < lowest[0].load:
            lowest = [candidate]
        elif candidate.load == lowest[0].load and candidate not in lowest:
            lowest.append(candidate)
    return lowest


def choose_from_pair(pair: Sequence[Candidate], accepts: Callable[[Candidate], bool]) -> Candidate | None:
    """Returns the less loaded of the accepting candidates, the second if tied, None if none accepts."""
    accepting = least_loaded(candidate for candidate in pair if accepts(candidate))
    return accepting[-1] if accepting else None


def first_accepting(
    by_load: Iterable[Candidate], accepts: Callable[[Candidate], bool]
) -> tuple[Candidate | None, list[Candidate]]:
    """Returns the first candidate that accepts, and the ones before it that rejected.

    `by_load`: the candidates by ascending load.
    """
    rejecting: list[Candidate] = []
    for candidate in by_load:
        if accepts(candidate):
            return candidate, rejecting
        rejecting.append(candidate)
    return None, rejecting
