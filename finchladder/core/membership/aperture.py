"""Deterministic aperture: the subset of workers that this dispatcher connects to in a large fleet.

As in Finagle's deterministic aperture: the n workers of a stratum (zone and kind) form a ring in the order
of their names' hashes; dispatcher i of d uses `subset_width` neighbours from rank floor(i * n / d) on. The
starts are evenly spaced, so each worker is in floor or ceil of width * d / n subsets. Rings for key affinity
contain the subset alone, so both candidates of a key are inside it.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

RingPosition = tuple[int, str]  # (hash of the name, name): order in the ring
Stratum = tuple[str, str]  # zone, kind


@dataclass(frozen=True, slots=True)
class ApertureSettings:
    """Settings of the aperture: connection limits and the minimum size of a subset."""

    server_connections: int = 256  # connections that a worker accepts from all dispatchers together
    connections_each: int = 24  # connections that one dispatcher may open to one worker
    # minimum workers of a stratum in a subset: both candidates of an affinity key and alternatives
    least: int = 4

    def __post_init__(self) -> None:
        if not 1 <= self.connections_each <= self.server_connections <= 1_000_000:
            raise ValueError("aperture: connections_each must be 1 to server_connections")
        if not 2 <= self.least <= 1000:
            raise ValueError("aperture: least must be from 2 to 1000")

    @property
    def dispatchers_per_worker(self) -> int:
        """Number of dispatchers that may connect to one worker with `connections_each`."""
        return self.server_connections // self.connections_each


class Change(NamedTuple):
    """Workers that a change of the list adds to the subset and removes from it."""

    added: frozenset[str]
    removed: frozenset[str]


NO_CHANGE = Change(frozenset(), frozenset())


def ring_position(name: str) -> RingPosition:
    """Returns a worker's ring position: equal in all processes, independent of the rings for key affinity."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8, person=b"aperture").digest(), "big"), name


def subset_width(n: int, dispatchers: int, settings: ApertureSettings) -> int:
    """Returns the size of a subset of `n` workers: all where each has connections for all dispatchers."""
    return min(n, max(settings.least, n * settings.dispatchers_per_worker // dispatchers))


def ring_window(ring: Sequence[RingPosition], index: int, dispatchers: int, width: int) -> list[str]:
    """Returns the names of `width` adjacent workers in the ring, from this dispatcher's start on."""
    start = index * len(ring) // dispatchers
    return [ring[(start + i) % len(ring)][1] for i in range(width)]


class Aperture:
    """Maintains the rings of all listed workers (ready or draining) and the subset of this dispatcher.

    A changed entry costs O(log n), up to n moved pointers in its stratum's ring, and O(width).
    Without an index or the number of dispatchers it is disabled: all workers are inside.
    """

    def __init__(self, index: int | None, dispatchers: int | None, settings: ApertureSettings) -> None:
        if index is not None and dispatchers is not None and not 0 <= index < dispatchers:
            raise ValueError(f"aperture: index {index} is none of {dispatchers} dispatchers")
        self.settings, self.index, self.dispatchers = settings, index, dispatchers
        self.rings: dict[Stratum, list[RingPosition]] = {}
        self.stratum: dict[str, Stratum] = {}
        self.inside: dict[Stratum, frozenset[str]] = {}

    def __contains__(self, name: str) -> bool:
        stratum = self.stratum.get(name)
        return stratum is not None and name in self.inside[stratum]

    def apply_changes(self, listed: Iterable[tuple[str, Stratum]], removed: Iterable[str] = ()) -> Change:
        """Applies changed entries, idempotently, and returns the resulting change of the subset."""
        touched: set[Stratum] = set()
        new: dict[Stratum, list[RingPosition]] = {}
        for name in removed:
            self._remove(name, touched)
        for name, stratum in listed:
            if self.stratum.get(name) != stratum:
                self._remove(name, touched)
                self.stratum[name] = stratum
                new.setdefault(stratum, []).append(ring_position(name))
        for stratum, positions in new.items():
            ring = self.rings.setdefault(stratum, [])
            touched.add(stratum)
            if len(positions) < 16:
                for position in positions:
                    insort(ring, position)
            else:  # many new entries: one sort is cheaper than many insertions
                ring.extend(positions)
                ring.sort()
        entered: set[str] = set()
        left: set[str] = set()
        for stratum in touched:
            before, after = self.inside.get(stratum, frozenset()), self._subset(stratum)
            entered |= after - before
            left |= before - after
            self.inside[stratum] = after
            if not self.rings[stratum]:
                del self.rings[stratum], self.inside[stratum]
        return Change(frozenset(entered - left), frozenset(left - entered))

    def replace(self, listed: Iterable[tuple[str, Stratum]]) -> Change:
        """Applies a full list, which removes all workers that it lacks."""
        full_list = dict(listed)
        return self.apply_changes(full_list.items(), [name for name in self.stratum if name not in full_list])

    def _remove(self, name: str, touched: set[Stratum]) -> None:
        if (stratum := self.stratum.pop(name, None)) is not None:
            ring = self.rings[stratum]
            del ring[bisect_left(ring, ring_position(name))]
            touched.add(stratum)

    def _subset(self, stratum: Stratum) -> frozenset[str]:
        ring = self.rings[stratum]
        if self.index is None or self.dispatchers is None:
            return frozenset(name for _, name in ring)
        width = subset_width(len(ring), self.dispatchers, self.settings)
        return frozenset(ring_window(ring, self.index, self.dispatchers, width))
