"""Who is in touch: for whom bounds in time hold, from what is cut, frozen, slow, started and ended.

The core is stable while most of its machines run and reach each other, none of its disks or links is in
trouble, and nothing has changed there for `contact_s`. A dispatcher is in touch if the core is stable, it has
run undisturbed for `contact_s`, and it has had, for as long, a path both ways to each core machine that
itself reaches most of the core.
"""

from collections.abc import Collection, Mapping, Set

from attrs import define, field, frozen

Link = tuple[str, str]  # (from, to): addresses


@frozen
class Process:
    """What is seen of one machine from outside. `life` counts its starts; 0: it does not run."""

    address: str
    life: int
    is_frozen: bool = False
    has_trouble: bool = False  # its disk is slow, stalls or refuses

    @property
    def runs(self) -> bool:
        """Whether it executes anything now."""
        return self.life > 0 and not self.is_frozen


@frozen
class Snapshot:
    """All machines and links at one moment. `loss`: the share of messages that the network loses."""

    core: tuple[Process, ...]
    edges: tuple[Process, ...]
    cut: frozenset[Link]
    loss: float = 0.0

    def reaches(self, one: str, other: str) -> bool:
        """Whether two addresses hear each other, both ways."""
        return (one, other) not in self.cut and (other, one) not in self.cut

    def in_majority(self) -> frozenset[str]:
        """Core machines that run and reach more than half of the core, themselves counted."""
        running = [process.address for process in self.core if process.runs]
        return frozenset(
            one
            for one in running
            if 2 * sum(one == other or self.reaches(one, other) for other in running) > len(self.core)
        )


@frozen
class Surroundings:
    """What bears on some processes; a moment at which it differs is one at which something happened."""

    processes: tuple[Process, ...]
    cut: frozenset[Link]
    loss: float


@define
class Contact:
    """Watches snapshots in the order of time and tells who is in touch."""

    contact_s: float
    _core_seen: Surroundings | None = None
    _core_since: float = 0.0
    _edges_seen: dict[str, Surroundings] = field(factory=dict)
    _edges_since: dict[str, float] = field(factory=dict)

    def watch(self, now: float, snapshot: Snapshot) -> None:
        """What is there at this moment; `now`: seconds."""
        addresses = {process.address for process in snapshot.core}
        core = Surroundings(snapshot.core, _between(snapshot.cut, addresses, addresses), snapshot.loss)
        if core != self._core_seen:
            self._core_seen, self._core_since = core, now
        for edge in snapshot.edges:
            cut = _between(snapshot.cut, {edge.address}, addresses)
            seen = Surroundings((edge,), cut, snapshot.loss)
            if self._edges_seen.get(edge.address) != seen:
                self._edges_seen[edge.address], self._edges_since[edge.address] = seen, now

    def is_stable(self, now: float, snapshot: Snapshot) -> bool:
        """Whether the core is, at this moment."""
        calm = not snapshot.loss and not any(process.has_trouble for process in snapshot.core)
        return calm and bool(snapshot.in_majority()) and now - self._core_since >= self.contact_s

    def in_touch(self, now: float, snapshot: Snapshot) -> Mapping[str, float]:
        """Addresses of the dispatchers that are, each with the time since when its surroundings are calm."""
        if not self.is_stable(now, snapshot):
            return {}
        majority = snapshot.in_majority()
        calm_since = {e.address: max(self._core_since, self._edges_since[e.address]) for e in snapshot.edges}
        return {
            edge.address: calm_since[edge.address]
            for edge in snapshot.edges
            if edge.runs
            and now - calm_since[edge.address] >= self.contact_s
            and all(snapshot.reaches(edge.address, one) for one in majority)
        }


def _between(cut: Set[Link], some: Collection[str], others: Collection[str]) -> frozenset[Link]:
    """The links that are cut between two groups, in either direction."""
    return frozenset((a, b) for a, b in cut if (a in some and b in others) or (a in others and b in some))
