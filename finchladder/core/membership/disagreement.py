"""Detects workers on which a source disagrees with the leader for longer than propagation explains."""

from collections import OrderedDict
from collections.abc import Iterable
from math import inf

from finchladder.core.membership.sources import ANY_START, SourceEntry, SourceState

DISAGREE_S = 5.0  # sources learn of a change at different times; longer differences are logged


def _disagree(a: SourceEntry | None, b: SourceEntry | None) -> bool:
    """Whether the entries of two sources differ in status; a notice without a start time is not compared."""
    if any(entry is not None and entry.entry.started_at == ANY_START for entry in (a, b)):
        return False
    return (a and a.entry.state) is not (b and b.entry.state)


class DisagreementTracker:
    """Tracks disagreements, and which of them were reported. A call costs O(sources)."""

    def __init__(self) -> None:
        self.unreported: OrderedDict[str, tuple[float, str]] = (
            OrderedDict()
        )  # start of the disagreement, name of the source
        self.reported: dict[str, None] = {}
        self.next_at = -inf  # earliest time of the next report, as there is at most one per DISAGREE_S
        # all reported disagreements have ended, and `take_ended` has not returned this yet
        self.has_ended = False

    def compare(self, now: float, name: str, leader: SourceState, others: Iterable[SourceState]) -> None:
        """Compares the sources' entries of one worker."""
        leader_entry = leader.table.get(name)
        source = next(
            (src.source.name for src in others if _disagree(src.table.get(name), leader_entry)), None
        )
        if source is None:
            self.unreported.pop(name, None)
            if name in self.reported:
                del self.reported[name]
                self.has_ended = not self.reported
        elif name not in self.reported:
            self.unreported.setdefault(name, (now, source))

    def clear(self) -> None:
        """Removes all disagreements, for a change of the leader."""
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
        """Returns when `take_due` next returns something; inf: never."""
        return (
            max(next(iter(self.unreported.values()))[0] + DISAGREE_S, self.next_at)
            if self.unreported
            else inf
        )
