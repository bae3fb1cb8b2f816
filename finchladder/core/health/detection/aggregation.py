"""What all that are heard say of one subject together: each weighs at most so much.

| a word | counts as |
| --- | --- |
| of work: failed 1, silent, slow, overtaken 1/2 | the teller's own, -LEAST to MOST_EACH bad endings |
| of links, teller in one's own zone | the same |
| of links, tellers of another zone | all of that zone as one teller: they may share one link |
| good endings | against the teller's own bad ones, at the least -LEAST |
| older | less, by FADE_S |
| of a teller that has not spoken for SILENT_S | nothing |

One zone alone is one link, so there evidence of links condemns nobody for all: each judges by its own.
"""

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from finchladder.core.health.detection.evidence import FADE_S
from finchladder.core.health.detection.reports import WorkerReport

MOST_EACH = 1.5  # bad endings' worth that one teller counts for at the most
LEAST = 6.0  # what one teller's good endings count for at the most, as a logarithm
SILENT_S = 10.0
COUNTS = 0.25  # bad endings' worth from which on one speaks against it


class Word(NamedTuple):
    """One teller's word of one subject, as of now."""

    teller: str
    zone: int
    age_s: float
    said: WorkerReport


class Sum(NamedTuple):
    """What all words of one subject say together."""

    score: float  # logarithm of how much likelier it is that the subject is bad
    tellers: int  # that speak against it, by what each weighs
    good: float  # endings
    bad: float = 0.0  # endings of work, not of links


NOTHING = Sum(0.0, 0, 0.0)


def merged(words: Iterable[Word]) -> list[Word]:
    """One word of each teller, of all classes: the newest one's age."""
    found: dict[str, Word] = {}
    for w in words:
        had = found.get(w.teller)
        if had is not None:
            a, b = had.said, w.said
            said = a._replace(bad=a.bad + b.bad, link=a.link + b.link, good=a.good + b.good)
            w = had._replace(age_s=min(had.age_s, w.age_s), said=said)
        found[w.teller] = w
    return list(found.values())


def weigh(words: Iterable[Word], zone: int, zones: int, bad: float, good: float) -> Sum:
    """`zone`: one's own. `zones`: how many there are. `bad`, `good`: what an ending adds."""
    most = MOST_EACH * bad
    score, tellers, goods, bads = 0.0, 0, 0.0, 0.0
    links: dict[int, float] = {}
    for w in words:
        if w.age_s >= SILENT_S:
            continue
        fresh = exp(-w.age_s / FADE_S)
        own = fresh * (w.said.bad * bad + w.said.good * good)
        link = fresh * w.said.link * bad
        if w.zone == zone and zones > 1:
            own += link
        own = min(most, max(-LEAST, own))
        if link and w.zone != zone:
            # the zone's word is no louder for what this one has said already
            links[w.zone] = links.get(w.zone, 0.0) + min(link, most - max(0.0, own))
        score += own
        tellers += own > COUNTS * bad
        goods += fresh * w.said.good
        bads += fresh * w.said.bad
    if zones > 1:
        for link in links.values():
            score += min(most, link)
            tellers += link > COUNTS * bad
    return Sum(score, tellers, goods, bads)
