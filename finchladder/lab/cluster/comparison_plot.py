"""Differences between two variants of the program as a picture."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from finchladder.lab.cluster.comparing import CREDIT, FIGURE, Difference

BAR_INCHES = 0.35


def draw(differences: Sequence[Difference], path: Path) -> None:
    """Writes a PNG with the interval of figure and credit of each group that has one."""
    shown = [d for d in differences if d.measure in (FIGURE, CREDIT) and d.interval is not None]
    figure, axes = plt.subplots(figsize=(8, 1.2 + BAR_INCHES * max(1, len(shown))))
    for place, difference in enumerate(reversed(shown)):
        interval = difference.interval
        assert interval is not None
        axes.plot([interval.low, interval.high], [place, place], color="tab:blue")
        axes.plot(interval.mean, place, "o", color="tab:blue" if interval.is_told_apart else "tab:gray")
    axes.set_yticks(range(len(shown)), [f"{d.group}: {d.measure}" for d in reversed(shown)])
    axes.axvline(0.0, color="black", linewidth=0.8)
    axes.set_xlabel("after less before")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
