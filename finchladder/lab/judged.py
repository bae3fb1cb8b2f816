"""How well bad real servers are left, and good ones kept: arrivals beside what was truly wrong.

| figure | of a real server that is truly bad for a time |
| --- | --- |
| `met`, `failed` | jobs that it got meanwhile, and those of them that ended badly |
| `left_s` | from its first bad ending until a second in which it gets at most LEFT of its usual jobs |
| `back_s` | from its mending until a second in which it gets BACK of its usual jobs |

| figure | of all others |
| --- | --- |
| `left` | how many of them got nothing for over GAP_S, in which FEW jobs or more were due to each |
| `longest_s` | the longest such time |

`usual` is its jobs a second before the fault, over USUAL_S. What is due follows each one's usual jobs.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

LEFT, LEAST, BACK = 0.05, 1, 0.5
GAP_S, FEW = 1.0, 9.0
USUAL_S = 8.0


class Arrival(NamedTuple):
    at: float
    server: str
    bad: float  # when it ended badly; inf: it did not


class Bad(NamedTuple):
    """A time in which a real server is truly bad."""

    server: str
    since: float
    until: float
    kind: str


class Found(NamedTuple):
    bad: Bad
    met: int
    failed: int
    left_s: float | None  # None: it was not left before it was mended
    back_s: float | None  # None: not before the end

    def row(self) -> dict[str, Any]:
        return {
            "server": self.bad.server,
            "kind": self.bad.kind,
            "at_s": round(self.bad.since, 2),
            "met": self.met,
            "failed": self.failed,
            "left_s": self.left_s,
            "back_s": self.back_s,
        }


def of_bad(times: Sequence[float], ends: Sequence[float], bad: Bad, last: float) -> Found:
    """`times`: its arrivals in order; `ends`: its bad endings, in order."""
    usual = (bisect_left(times, bad.since) - bisect_left(times, bad.since - USUAL_S)) / USUAL_S
    met = bisect_left(times, bad.until) - bisect_left(times, bad.since)
    failed = bisect_left(ends, bad.until) - bisect_left(ends, bad.since)
    first = ends[i] if (i := bisect_left(ends, bad.since)) < len(ends) else None
    left = back = None
    if first is not None and first < bad.until:
        most = max(LEAST, LEFT * usual)
        # a second that is thin enough can begin at the first bad ending or just after an arrival
        for t in [first, *(a for a in times if first <= a < bad.until)]:
            if bisect_right(times, t + 1.0) - bisect_right(times, t) <= most:
                left = round(t - first, 3)
                break
    for t in (a for a in times if a >= bad.until):
        if t + 1.0 <= last and bisect_right(times, t + 1.0) - bisect_left(times, t) >= BACK * usual:
            back = round(t - bad.until, 3)
            break
    return Found(bad, met, failed, left, back)


def gaps(times: Sequence[float], since: float, until: float) -> float:
    """The longest time without an arrival in which FEW were due; 0: none over GAP_S."""
    inside = [since, *(t for t in times if since < t < until), until]
    rate = (len(inside) - 2) / (until - since)
    longest = max(b - a for a, b in zip(inside, inside[1:], strict=False))
    return longest if longest > GAP_S and rate * longest >= FEW else 0.0


def figures(
    arrivals: Iterable[Arrival], bads: Sequence[Bad], servers: Sequence[str], since: float, until: float
) -> dict[str, Any]:
    times: dict[str, list[float]] = {s: [] for s in servers}
    ends: dict[str, list[float]] = {s: [] for s in servers}
    for a in arrivals:
        times[a.server].append(a.at)
        if a.bad < float("inf"):
            ends[a.server].append(a.bad)
    for of in (*times.values(), *ends.values()):
        of.sort()
    good = [s for s in servers if all(b.server != s for b in bads)]
    long = [gap for s in good if (gap := gaps(times[s], since, until)) > 0]
    return {
        "bad": [of_bad(times[b.server], ends[b.server], b, until).row() for b in bads],
        "good": {"servers": len(good), "left": len(long), "longest_s": round(max(long, default=0.0), 2)},
    }
