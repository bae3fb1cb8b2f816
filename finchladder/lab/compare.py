"""Two settings or revisions, played in turn as pairs: how many times one's figure the other's is.

The ratio is of the sums over all pairs, its interval the bootstrap's percentile interval (Efron 1979): pairs
are drawn again with replacement, so what moved both runs of a pair cancels. With few pairs it is too narrow,
and sees differences where there are none: COVERAGE has how often it holds the truth.
"""

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import numpy as np

DRAWS = 10_000  # 8 bytes x pairs each: 8 MB with a hundred pairs
LEAST_PAIRS = 3  # below it nothing is said
PERCENTILES = (2.5, 97.5)
# Pairs: share of 4,000 trials in which the interval held the truth, runs varying by a tenth (log-normal)
COVERAGE = {3: 0.76, 5: 0.84, 8: 0.88, 12: 0.91, 20: 0.93}
FIGURES = (
    "g",
    "goodput_per_s",
    "served_per_s",
    "served",
    "refused",
    "failed",
    "lost",
    "duplicates",
)
Pair = tuple[dict[str, Any], dict[str, Any]]


class Row(NamedTuple):
    """One figure of A and of B. `ratio` is B's over A's; None where A's sum is 0 or pairs are too few."""

    figure: str
    a: float  # mean over the pairs
    b: float
    ratio: float | None
    low: float | None
    high: float | None
    pairs: int

    @property
    def verdict(self) -> str:
        if self.ratio is None or self.low is None or self.high is None:
            return "both 0" if self.a == self.b == 0 else "no ratio"
        if self.low <= 1 <= self.high:
            return "no difference seen"
        return "B is higher" if self.low > 1 else "B is lower"


def load(folder: Path) -> list[dict[str, Any]]:
    """All summaries under a folder, by path. ValueError: there is none, or one can't be read."""
    paths = sorted(folder.rglob("summary.json"))
    if not paths:
        raise ValueError(
            f"{folder}: no summary.json in it; `finchladder lab report` makes one of a run's folder"
        )
    found: list[dict[str, Any]] = []
    for path in paths:
        try:
            found.append(msgspec.json.decode(path.read_bytes(), type=dict[str, Any]))
        except msgspec.MsgspecError as e:
            raise ValueError(f"{path}: {e}") from None
    return found


def flat(summary: dict[str, Any]) -> dict[str, float]:
    """The figures that are compared, by dotted name: FIGURES, and those of each class and dispatcher."""
    return dict(_flat(summary))


def _flat(s: dict[str, Any]) -> Iterator[tuple[str, float]]:
    for name in FIGURES:
        if name in s:
            yield name, float(s[name])
    yield "rules broken", float(sum(s.get("rules", {}).values()))
    for job_class, figures in sorted(s.get("latency", {}).items()):
        yield from ((f"{job_class}.{name}", float(value)) for name, value in sorted(figures.items()))
    used = s.get("dispatchers", {})
    if used:
        yield "dispatchers.cpu", sum(float(d["cpu"]) for d in used.values())
        yield "dispatchers.rss_mb", max(float(d["rss_mb"]) for d in used.values())
        yield "dispatchers.fds", max(float(d["fds"]) for d in used.values())


def compare(pairs: Sequence[Pair], seed: int = 1) -> list[Row]:
    """A row for each figure that all runs have. Same pairs and seed, same rows."""
    a, b = [flat(pair[0]) for pair in pairs], [flat(pair[1]) for pair in pairs]
    if not pairs:
        return []
    shared = [name for name in a[0] if all(name in run for run in (*a, *b))]
    rng = np.random.default_rng(seed)
    draws = rng.integers(0, len(pairs), (DRAWS, len(pairs)))
    rows = []
    for name in shared:
        x, y = np.array([run[name] for run in a]), np.array([run[name] for run in b])
        ratio = low = high = None
        if x.sum() and len(pairs) >= LEAST_PAIRS:
            drawn = x[draws].sum(axis=1)
            ratios = y[draws].sum(axis=1)[drawn != 0] / drawn[drawn != 0]
            ratio = float(y.sum() / x.sum())
            low, high = (float(v) for v in np.percentile(ratios, PERCENTILES))
        rows.append(Row(name, float(x.mean()), float(y.mean()), ratio, low, high, len(pairs)))
    return rows


def doubts(pairs: Sequence[Pair]) -> list[str]:
    """Why the comparison must not be believed, a line each."""
    found = []
    for n, pair in enumerate(pairs, 1):
        for side, run in zip("AB", pair, strict=True):
            if not run.get("valid"):
                why = "; ".join(run.get("invalid", [])) or "no reason given"
                found.append(f"{side} of pair {n} is not valid: {why}")
    if len(pairs) < LEAST_PAIRS:
        found.append(f"{len(pairs)} pairs; below {LEAST_PAIRS} nothing can be told apart")
    elif held := [share for least, share in COVERAGE.items() if len(pairs) <= least]:
        found.append(
            f"{len(pairs)} pairs: such an interval holds the truth in about {held[0]:.0%} of cases, not 95 %"
        )
    return found


def table(rows: Sequence[Row], doubts: Sequence[str] = ()) -> str:
    """Plain text, a line for each figure, the doubts first."""
    lines = [f"! {doubt}" for doubt in doubts]
    lines.append(f"{'figure':28} {'A':>12} {'B':>12} {'B / A':>8}  {'95 % interval':17}  verdict")
    for row in rows:
        ratio = "-" if row.ratio is None else f"{row.ratio:.3f}"
        span = "-" if row.low is None or row.high is None else f"{row.low:.3f} to {row.high:.3f}"
        lines.append(f"{row.figure:28} {row.a:12.3f} {row.b:12.3f} {ratio:>8}  {span:17}  {row.verdict}")
    return "\n".join(lines)
