"""Random draws that hang on names and not on each other: what is taken out of a run changes no other draw."""

from collections.abc import Sequence
from random import Random
from typing import TypeVar

T = TypeVar("T")


def stream(seed: int, *names: object) -> Random:
    """The draws of one thing. A text as seed goes through SHA-512, so it is the same in every process."""
    return Random("/".join(map(str, (seed, *names))))


def spread(random: Random, least: float, most: float) -> float:
    """Evenly in the logarithm: as many small figures as large ones. Both above 0."""
    return float(least * (most / least) ** random.random())


def some(random: Random, things: Sequence[T], chance: float = 0.5) -> list[T]:
    """Each with this chance, at least one."""
    chosen = [t for t in things if random.random() < chance]
    return chosen or [random.choice(things)]
