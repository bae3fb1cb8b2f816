"""Detects workers on which a source disagrees with the leading one for unusually long."""

from collections import OrderedDict
from collections.abc import Iterable
from math import inf

from finchladder.core.membership.sources import ANY_START, SourceEntry, SourceState

DISAGREE_S = 5.0  # sources learn of a change at different times; longer differences are logged


def _differ(a: SourceEntry | None, b: SourceEntry | None) -> bool:
    """Whether two sources disagree on a state; a draining notice, known to one source, does not count."""
    if any(w is not None and w.entry.started_at == ANY_START for w in (a, b)):
        return False
    return (a and a.entry.state) is not (b and b.entry.state)


class Differing:
    """Tracks disagreements, and which of them were reported. A call costs O(sources)."""

    def __init__(self) -> None:
        self.new: OrderedDict[str, tuple[float, str]] = OrderedDict()  # since when, and which source
        self.told: dict[str, None] = {}
        self.next_at = -inf  # told of at most every DISAGREE_S
        self.ended = False  # nothing that was told of is so any more

    def see(self, now: float, name: str, lead: SourceState, others: Iterable[SourceState]) -> None:
        """Compares the sources' entries of one worker."""
        word = lead.table.get(name)
        source = next((t.source.name for t in others if _differ(t.table.get(name), word)), None)
        if source is None:
            self.new.pop(name, None)
            if name in self.told:
                del self.told[name]
                self.ended = not self.told
        elif name not in self.told:
            self.new.setdefault(name, (now, source))

    def clear(self) -> None:
        """Forgets all disagreements, as after a change of the leader."""
        self.ended = bool(self.told)
        self.new.clear()
        self.told.clear()

    def due(self, now: float) -> tuple[str, list[str]] | None:
        """Returns the source and the names to report now, or None."""
        if now < self.next_due():
            return None
        self.next_at = now + DISAGREE_S
        source, names = next(iter(self.new.values()))[1], []
        while self.new and next(iter(self.new.values()))[0] + DISAGREE_S <= now:
            names.append(self.new.popitem(last=False)[0])
        self.told.update(dict.fromkeys(names))
        self.ended = False
        return source, names

    def over(self) -> bool:
        """Returns True once after all reported disagreements have ended."""
        ended, self.ended = self.ended, False
        return ended

    def next_due(self) -> float:
        """Returns when `due` next reports something; inf: never."""
        return max(next(iter(self.new.values()))[0] + DISAGREE_S, self.next_at) if self.new else inf
