"""The choice that all programs share: two candidates by a key's hashes, a threshold, the least loaded as
overflow.

Source: Algorithm 1 of the olscheduler paper for OpenLambda, with one pair for each key. The candidate with
strictly lower own load wins, a tie goes to the second, the winner must be under its threshold; otherwise, or
without a key, the least loaded one gets the request.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, TypeVar


class HasLoad(Protocol):
    """Whoever can be chosen. `load`: own slots in flight."""

    load: float


Candidate = TypeVar("Candidate", bound=HasLoad)


def least_loaded(able: Iterable[Candidate]) -> list[Candidate]:
    """Those of them with the lowest load, in their order, each once."""
    found: list[Candidate] = []
    for candidate in able:
        if not found or candidate.load < found[0].load:
            found = [candidate]
        elif candidate.load == found[0].load and candidate not in found:
            found.append(candidate)
    return found


def choose_from_pair(pair: Sequence[Candidate], takes: Callable[[Candidate], bool]) -> Candidate | None:
    """Of a key's pair the one with strictly lower load, the second in a tie; None if nobody takes it."""
    able = least_loaded(candidate for candidate in pair if takes(candidate))
    return able[-1] if able else None


def first_accepting(
    by_load: Iterable[Candidate], takes: Callable[[Candidate], bool]
) -> tuple[Candidate | None, list[Candidate]]:
    """The first that takes it, the lowest load first; and those that were passed over."""
    passed: list[Candidate] = []
    for candidate in by_load:
        if takes(candidate):
            return candidate, passed
        passed.append(candidate)
    return None, passed
