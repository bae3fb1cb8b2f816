"""Detects workers on which a source disagrees with the leading one for unusually long."""

from collections import OrderedDict
from collections.abc import Iterable
from math import inf

from finchladder.core.membership.sources import ANY_START, SourceEntry, SourceState

DISAGREE_S = 5.0  # sources learn of a change at different times; longer differences are logged


def _disagree(a: SourceEntry | None, b: SourceEntry | None) -> bool:
    """Whether two sources disagree on a state; a draining notice, known to one source, does not count."""
    if any(w is not None and w.entry.started_at == ANY_START for w in (a, b)):
        return False
    return (a and a.entry.state) is not (b and b.entry.state)


class DisagreementTracker:
    """Tracks disagreements, and which of them were reported. A call costs O(sources)."""

    def __init__(self) -> None:
        self.unreported: OrderedDict[str, tuple[float, str]] = OrderedDict()  # since when, and which source
        self.reported: dict[str, None] = {}
        self.next_at = -inf  # told of at most every DISAGREE_S
        self.has_ended = False  # nothing that was told of is so any more

    def compare(self, now: float, name: str, lead: SourceState, others: Iterable[SourceState]) -> None:
        """Compares the sources' entries of one worker."""
        word = lead.table.get(name)
        source = next((t.source.name for t in others if _disagree(t.table.get(name), word)), None)
        if source is None:
            self.unreported.pop(name, None)
            if name in self.reported:
                del self.reported[name]
                self.has_ended = not self.reported
        elif name not in self.reported:
            self.unreported.setdefault(name, (now, source))

    def clear(self) -> None:
        """Forgets all disagreements, as after a change of the leader."""
        self.has_ended = bool(self.reported)
        self.unreported.clear()
        self.reported.clear()

    def take_due(self, now: float) -> tuple[str, list[str]] | None:
        """Returns the source and the names to report now, or None."""
        if now < self.next_due():
            return None
        self.next_at = now + DISAGREE_S
        source, names = next(iter(self.unreported.values()))[1], []
        while self.unreported and next(iter(self.unreported.values()))[0] + DISAGREE_S <= now:
            names.append(self.unreported.popitem(last=False)[0])
        self.reported.update(dict.fromkeys(names))
        self.has_ended = False
        return source, names

    def take_ended(self) -> bool:
        """Returns True once after all reported disagreements have ended."""
        ended, self.has_ended = self.has_ended, False
        return ended

    def next_due(self) -> float:
        """Returns when `due` next reports something; inf: never."""
        return (
            max(next(iter(self.unreported.values()))[0] + DISAGREE_S, self.next_at)
            if self.unreported
            else inf
        )
