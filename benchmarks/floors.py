"""Days of the fleet bench held against their gate: who passed, and the least share that each class earned.

    python benchmarks/floors.py SITE.toml journal/ENTRY.json...

The first line that the bench's `hunt` prints counts broken rules alone; a day below a floor or with a failed
gate is as broken. This reads the entries that the bench leaves in `journal/` and prints, for all days of the
site in them, how many passed, each that did not with its reasons, and for each class of requests the least
and the median share of the worth owed that it earned, beside the floors that the site's days set for classes.
Status 1 if a day did not pass.
"""

import json
import sys
import tomllib
from pathlib import Path
from statistics import median
from typing import Any

import click
from attrs import frozen


@frozen
class Day:
    """One played day. `shares`: of the worth owed to each class, what was earned; None: nothing was owed."""

    name: str
    entry: str
    passed: bool
    reasons: tuple[str, ...]
    shares: tuple[float | None, ...]


@frozen
class Site:
    """What a site file says of classes: their names, and the least and highest floor over its days."""

    classes: tuple[str, ...]
    least_floor: float
    highest_floor: float


def read_site(path: Path) -> Site:
    """Reads a site file of the bench."""
    value = tomllib.loads(path.read_text())
    floors = [floor for day in value["day"] for floor in day.get("floor_classes", [])] or [0.0]
    return Site(tuple(c["name"] for c in value["classes"]), min(floors), max(floors))


def _day(entry: str, played: dict[str, Any]) -> Day:
    broken = [f"{rule} broken {count} times" for rule, count in played["rules"].items()]
    fault = [played["fault"]] if played.get("fault") else []
    reasons = (*broken, *fault, *played["short"])
    passed = bool(played.get("gate")) and not reasons
    return Day(played["name"], entry, passed, reasons, tuple(played["by_class"]))


def read_days(path: Path) -> list[Day]:
    """The days in an entry of the journal."""
    entry = json.loads(path.read_text())
    return [_day(entry["id"], played) for played in entry["days"] if "by_class" in played]


def lines(site: Site, days: list[Day]) -> list[str]:
    """The report."""
    passed = sum(day.passed for day in days)
    told = [f"{passed} of {len(days)} days passed the gate"]
    for day in days:
        if not day.passed:
            told.append(f"  broken: {day.name} ({day.entry}): {'; '.join(day.reasons) or 'gate failed'}")
    told.append(f"class floors of the site's days: {site.least_floor:.2f} to {site.highest_floor:.2f}")
    for number, name in enumerate(site.classes):
        shares = [share for day in days if (share := day.shares[number]) is not None]
        if shares:
            told.append(f"  {name:24} least {min(shares):.3f}  median {median(shares):.3f}")
    return told


@click.command()
@click.argument("site", type=click.Path(exists=True, path_type=Path))
@click.argument("entries", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
def main(site: Path, entries: tuple[Path, ...]) -> None:
    """Prints how the days of these journal entries stand against the gate."""
    days = [day for entry in entries for day in read_days(entry)]
    print("\n".join(lines(read_site(site), days)))
    sys.exit(0 if days and all(day.passed for day in days) else 1)


if __name__ == "__main__":
    main()
