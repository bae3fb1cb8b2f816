"""Of which real servers a source says otherwise than the one that leads, for longer than is usual."""

from collections import OrderedDict
from collections.abc import Iterable
from math import inf

from finchladder.core.membership.sources import ANY_START, SourceEntry, SourceState

DISAGREE_S = 5.0  # sources hear of a change at different times; longer than that is worth a word


def _differ(a: SourceEntry | None, b: SourceEntry | None) -> bool:
    """A notice is no disagreement: nobody else tells it."""
    if any(w is not None and w.entry.started_at == ANY_START for w in (a, b)):
        return False
    return (a and a.entry.state) is not (b and b.entry.state)


class Differing:
    """Each call costs O(sources), and once for each name what is told of it."""

    def __init__(self) -> None:
        self.new: OrderedDict[str, tuple[float, str]] = OrderedDict()  # since when, and which source
        self.told: dict[str, None] = {}
        self.next_at = -inf  # told of at most every DISAGREE_S
        self.ended = False  # nothing that was told of is so any more

    def see(self, now: float, name: str, lead: SourceState, others: Iterable[SourceState]) -> None:
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
        """All are to be seen again."""
        self.ended = bool(self.told)
        self.new.clear()
        self.told.clear()

    def due(self, now: float) -> tuple[str, list[str]] | None:
        """The source and the names that are to be told of now."""
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
        """True once: what was told of is over."""
        ended, self.ended = self.ended, False
        return ended

    def next_due(self) -> float:
        return max(next(iter(self.new.values()))[0] + DISAGREE_S, self.next_at) if self.new else inf
