"""Variants of the program compared by the days that the fleet bench played with each, pair by pair.

Both variants play the same days and seeds, so what the days differ in falls out: the interval is over the
differences of pairs, by the bootstrap (source: Efron and Tibshirani, "An Introduction to the Bootstrap").
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

import numpy as np
from attrs import field, frozen

LEAST_PAIRS = 4  # below this nothing is said
SAMPLES = 4000
CONFIDENCE = 0.9
FIGURE = "figure"
CREDIT = "credit"


class EntryUnusable(Exception):
    """A file that is no entry of the bench's journal; the text names it."""


@frozen
class DayKey:
    """Which day it was; two plays of it with one key are a pair. `seed`: None for the day's own."""

    site: str
    name: str
    seed: int | None
    is_small: bool

    def __str__(self) -> str:
        seed = "" if self.seed is None else f" --seed {self.seed}"
        return f"{self.site} {self.name}{seed}{' --small' if self.is_small else ''}"


@frozen
class PlayedDay:
    """One day of a variant. `measures`: the figure, the credit, credit by class, and each price, by name;
    `problems`: why it did not pass.
    """

    key: DayKey
    slot: str
    measures: Mapping[str, float] = field(factory=dict)
    problems: tuple[str, ...] = ()


@frozen
class Interval:
    """Mean difference over the pairs, and the bounds of its interval."""

    mean: float
    low: float
    high: float

    @property
    def is_told_apart(self) -> bool:
        """Whether the interval leaves out 0."""
        return self.low > 0 or self.high < 0


@frozen
class Difference:
    """Of one measure over the pairs of one group. `interval` is None where there are too few pairs."""

    group: str
    measure: str
    pairs: int
    interval: Interval | None


def read_entry(path: Path) -> list[PlayedDay]:
    """The days in one entry; EntryUnusable if it is none."""
    try:
        entry = json.loads(path.read_text())
        site = str(entry["site"])
        is_small = "--small" in entry.get("argv", [])
        return [_day(site, is_small, played) for played in entry["days"] if "G" in played]
    except (ValueError, KeyError, TypeError) as error:
        raise EntryUnusable(f"{path}: no entry of the bench's journal: {error!r}") from None


def _day(site: str, is_small: bool, played: dict[str, Any]) -> PlayedDay:
    measures = {FIGURE: float(played["G"]), CREDIT: float(played["served"])}
    for number, share in enumerate(played["by_class"]):
        if share is not None:
            measures[f"{CREDIT} of class {number}"] = float(share)
    for name, _, cost in played["prices"]:
        measures[f"price: {name}"] = float(cost)
    broken = [f"{rule} broken {count} times" for rule, count in (played.get("rules") or {}).items()]
    fault = [str(played["fault"])] if played.get("fault") else []
    problems = (*broken, *fault, *map(str, played.get("short") or []))
    name = str(played["name"]).split(" --seed", maxsplit=1)[0]
    seed = None if played["seed"] is None else int(played["seed"])
    return PlayedDay(DayKey(site, name, seed, is_small), str(played["slot"]), measures, problems)


def read_variant(paths: Iterable[Path]) -> dict[DayKey, list[PlayedDay]]:
    """All days in these files, or in the entries of these folders, by key."""
    found: dict[DayKey, list[PlayedDay]] = {}
    for path in paths:
        files = sorted(path.glob("*.json")) if path.is_dir() else [path]
        for file in files:
            for day in read_entry(file):
                found.setdefault(day.key, []).append(day)
    return found


def bootstrap(differences: Sequence[float], seed: int = 0) -> Interval:
    """Interval of the mean by resampling; the same for the same differences and seed."""
    values = np.asarray(differences, dtype=float)
    picks = np.random.default_rng(seed).integers(0, len(values), (SAMPLES, len(values)))
    tail = 100 * (1 - CONFIDENCE) / 2
    low, high = np.percentile(values[picks].mean(axis=1), [tail, 100 - tail])
    return Interval(float(values.mean()), float(low), float(high))


def _mean(days: Sequence[PlayedDay], measure: str) -> float:
    return sum(day.measures.get(measure, 0.0) for day in days) / len(days)


def compare(
    before: Mapping[DayKey, list[PlayedDay]], after: Mapping[DayKey, list[PlayedDay]]
) -> list[Difference]:
    """Differences of all measures by site, and by site and slot. Several plays of one day count as one."""
    groups: dict[str, list[DayKey]] = {}
    for key in sorted(before.keys() & after.keys(), key=str):
        size = " (small)" if key.is_small else ""
        groups.setdefault(f"{key.site}{size}", []).append(key)
        groups.setdefault(f"{key.site}{size} {before[key][0].slot}", []).append(key)
    found: list[Difference] = []
    for group, keys in groups.items():
        measures = dict.fromkeys(m for key in keys for day in before[key] + after[key] for m in day.measures)
        for measure in measures:
            values = [_mean(after[key], measure) - _mean(before[key], measure) for key in keys]
            interval = bootstrap(values) if len(values) >= LEAST_PAIRS else None
            found.append(Difference(group, measure, len(values), interval))
    return found


def lines(differences: Sequence[Difference], smallest: float = 0.0005) -> list[str]:
    """The report: a line for each measure that differs by `smallest` or more on average."""
    told: list[str] = []
    group = ""
    for difference in differences:
        if difference.group != group:
            group = difference.group
            told.append(f"{group}: {difference.pairs} pairs")
        interval = difference.interval
        if interval is None:
            if difference.measure == FIGURE:
                told.append(f"  under {LEAST_PAIRS} pairs: nothing is said")
            continue
        if abs(interval.mean) >= smallest or difference.measure in (FIGURE, CREDIT):
            verdict = "" if interval.is_told_apart else "  not told apart"
            bounds = f"{interval.low:+.4f} to {interval.high:+.4f}"
            told.append(f"  {difference.measure:52} {interval.mean:+.4f}  ({bounds}){verdict}")
    return told


def broken_days(days: Mapping[DayKey, list[PlayedDay]]) -> list[str]:
    """A line for each day that did not pass."""
    return [
        f"{day.key}: {'; '.join(day.problems)}" for plays in days.values() for day in plays if day.problems
    ]
