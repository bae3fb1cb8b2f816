"""Random streams keyed by name: removing a part of a run changes no other part's draws."""

from collections.abc import Sequence
from random import Random
from typing import TypeVar

T = TypeVar("T")


def stream(seed: int, *names: object) -> Random:
    """Returns the random stream of one named thing.

    A string seed is hashed with SHA-512, so the stream is the same in every process.
    """
    return Random("/".join(map(str, (seed, *names))))


def spread(random: Random, least: float, most: float) -> float:
    """Draws log-uniformly from `least` to `most`; both must be positive."""
    return float(least * (most / least) ** random.random())


def some(random: Random, things: Sequence[T], chance: float = 0.5) -> list[T]:
    """Selects each item with this probability, and at least one item."""
    chosen = [t for t in things if random.random() < chance]
    return chosen or [random.choice(things)]
