"""How evenly the work lay on the real servers, from the ledger alone.

Each `STEP_S` the *wait* of a real server is the work that it holds over what it can do when warm, in seconds.
A job counts with all its work until it begins, and with evenly less of it from its begin to its end, as the
ledger does not tell its progress. A real server that is down at that moment is not looked at.

- `full`: sends that found slots and queue full, over all sends.
- `idle`: part of the servers' time at which one holds nothing while another has over twice the mean wait.
- `wait_over_mean`: a server's wait over the mean of all at that moment: p50, p99 and the most.
  Moments without any wait are left out.
- `wait_s`: the mean wait, and its 99th percentile.
- `herd`: arrivals at one server in `HERD_S` over those that its part of the capacity and the load of that
  moment make due, at least one: p99 and the most.

Costs: O(sends x their length / STEP_S) time, 8 bytes for each server and step.
"""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import numpy as np
from numpy.typing import NDArray

from finchladder.lab.ledger import Ledger

STEP_S = 0.05
HERD_S = 0.1
LOAD_S = 1.0  # what is due at a server follows the load of so long
TWICE = 2.0  # times the mean wait: from there on another server counts as overloaded
Floats = NDArray[np.float64]


class Stay(NamedTuple):
    """One send at a real server, as the server saw it. Times in seconds from the run's first."""

    server: str
    came: float
    began: float  # inf: it never did
    left: float  # inf: it was there to the end
    work: float  # seconds on one core at speed 1, all slots together


class Life(NamedTuple):
    """A time in which a real server was up."""

    server: str
    since: float
    until: float
    capacity: float  # work a second, when warm


class World(NamedTuple):
    """All that the figures are worked out from: of a run's ledger, or of a floor at virtual time."""

    servers: list[str]
    stays: list[Stay]
    full: list[float]  # times at which a send found no room
    lives: list[Life]
    length_s: float


class Grid(NamedTuple):
    """One row a server, one column a step."""

    wait: Floats  # seconds; NaN while it is down
    held: NDArray[np.int64]  # jobs
    arrivals: NDArray[np.int64]  # one column for each HERD_S
    due: Floats  # arrivals that would be even, likewise


def of_ledger(ledger: Ledger) -> World:
    """What the real servers of a run saw. A job without a recorded end stays to its server's death."""
    first, last = ledger.first, ledger.last
    names = sorted({server for server, _ in ledger.born})
    deaths = _deaths(ledger)
    stays: list[Stay] = []
    full: list[float] = []
    for t in ledger.tries.values():
        work = t.asked.work * max(1.0, t.asked.slots)
        for run in t.runs:
            if run.verdict == "full":
                full.append(run.last - first)
            elif run.verdict == "accepted" and (run.server, run.epoch) in ledger.born:
                end = run.ended if run.ended is not None else deaths.get((run.server, run.epoch), np.inf)
                began = np.inf if run.began is None else run.began - first
                stays.append(Stay(run.server, run.last - first, began, end - first, work))
    lives = [
        Life(server, born.at - first, deaths.get((server, epoch), np.inf) - first, born.capacity)
        for (server, epoch), born in sorted(ledger.born.items())
    ]
    return World(names, stays, full, lives, max(0.0, last - first))


def _deaths(ledger: Ledger) -> dict[tuple[str, int], float]:
    """When each start of a real server ended. One that dies unrecorded ends where its next one begins."""
    found = dict(ledger.fell)
    for death in ledger.died:
        if death.why not in ("paused", "resumed"):
            found.setdefault((death.server, death.epoch), death.at)
    for (server, epoch), born in ledger.born.items():
        if epoch > 1 and (server, epoch - 1) in ledger.born:
            found.setdefault((server, epoch - 1), born.at)
    return found


def grid(world: World) -> Grid:
    steps = int(np.ceil(world.length_s / STEP_S))
    row = {name: n for n, name in enumerate(world.servers)}
    shape = (len(row), steps)
    at = np.arange(steps) * STEP_S
    work, held, capacity = np.zeros(shape), np.zeros(shape, np.int64), np.zeros(shape)
    for life in world.lives:
        a, b = _steps(life.since, life.until, steps)
        capacity[row[life.server], a:b] = life.capacity
    wide = int(np.ceil(world.length_s / HERD_S))
    arrivals = np.zeros((len(row), wide), np.int64)
    for s in world.stays:
        n = row[s.server]
        a, b = _steps(s.came, s.left, steps)
        held[n, a:b] += 1
        c, _ = _steps(min(s.began, s.left), s.left, steps)
        work[n, a:c] += s.work
        if c < b:
            span = max(s.left - s.began, STEP_S) if np.isfinite(s.left) else world.length_s - s.began
            work[n, c:b] += s.work * np.clip(1 - (at[c:b] - s.began) / max(span, STEP_S), 0, 1)
        if 0 <= s.came < world.length_s:
            arrivals[n, min(wide - 1, int(s.came / HERD_S + 1e-9))] += 1
    up = capacity > 0
    wait = np.where(up, work / np.where(up, capacity, 1.0), np.nan)
    return Grid(wait, held, arrivals, _due(arrivals, capacity))


def _steps(since: float, until: float, steps: int) -> tuple[int, int]:
    """The steps whose moment lies in [since, until)."""
    a, b = (
        steps if t == np.inf else min(steps, max(0, int(np.ceil(t / STEP_S - 1e-9)))) for t in (since, until)
    )
    return a, max(a, b)


def _due(arrivals: NDArray[np.int64], capacity: Floats) -> Floats:
    """Each server's even part of the arrivals near a moment."""
    wide = arrivals.shape[1]
    every = max(1, round(HERD_S / STEP_S))
    there = capacity[:, ::every][:, :wide]
    there = np.pad(there, ((0, 0), (0, wide - there.shape[1])), mode="edge") if there.size else there
    span = max(1, min(wide, round(LOAD_S / HERD_S)))
    ones = np.ones(span)
    load = np.convolve(arrivals.sum(axis=0), ones, "same") / np.maximum(
        1.0, np.convolve(np.ones(wide), ones, "same")
    )
    whole = there.sum(axis=0)
    due: Floats = there / np.where(whole > 0, whole, 1.0) * load
    return due


def figures(world: World, found: Grid, since: float, until: float) -> dict[str, Any]:
    """Of the moments between two times (seconds from the run's first). Empty where nothing was sent then."""
    a, b = _steps(since, until, found.wait.shape[1])
    full = sum(since <= t < until for t in world.full)
    sends = full + sum(since <= s.came < until for s in world.stays)
    if not sends or a == b:
        return {}
    wait, held = found.wait[:, a:b], found.held[:, a:b]
    up = ~np.isnan(wait)
    there = up.sum(axis=0)
    mean = np.where(there > 0, np.nansum(wait, axis=0) / np.maximum(there, 1), 0.0)
    some = mean > 0
    crowded = np.nanmax(np.where(up, wait, -1.0), axis=0) > TWICE * mean
    rest = (held == 0) & up & (crowded & some)
    values = wait[:, some][up[:, some]]
    over = (wait[:, some] / mean[some])[up[:, some]]
    w = slice(int(since / HERD_S), int(np.ceil(min(until, world.length_s) / HERD_S)))
    herd = (found.arrivals[:, w] / np.maximum(found.due[:, w], 1.0)).ravel()
    return {
        "sends": sends,
        "full": full / sends,
        "idle": float(rest.sum() / up.sum()) if up.any() else 0.0,
        "wait_over_mean": _ranks(over),
        "wait_s": {"mean": float(values.mean()) if len(values) else 0.0, "p99": _ranks(values)["p99"]},
        "herd": {name: value for name, value in _ranks(herd).items() if name != "p50"},
    }


def _ranks(values: Floats) -> dict[str, float]:
    if not len(values):
        return {"p50": 0.0, "p99": 0.0, "most": 0.0}
    p50, p99 = np.percentile(values, (50, 99))
    return {"p50": float(p50), "p99": float(p99), "most": float(values.max())}


def windows(ledger: Ledger) -> Iterator[tuple[str, float, float]]:
    """(name, from, to) of each phase that counts, and of each fault, one for all that struck together."""
    first = ledger.first
    for begin, end, name, counted in ledger.phases():
        if counted and end > begin:
            yield f"phase {name}".strip(), begin - first, end - first
    seen: dict[tuple[str, float], tuple[float, int]] = {}
    for kind, target in dict.fromkeys(
        (f.kind, f.target) for f in ledger.faults if f.kind not in ("started", "killed", "memory")
    ):
        for a, b in ledger.intervals(frozenset({kind}), target):
            at = (kind, round(a - first, 1))
            until, count = seen.get(at, (0.0, 0))
            seen[at] = max(until, min(b, ledger.last) - first), count + 1
    for (kind, since), (until, count) in sorted(seen.items(), key=lambda item: item[0][1]):
        if until > since:
            yield f"{kind} of {count} at {since:.1f} s", since, until


def summarize(ledger: Ledger) -> dict[str, Any]:
    """What `spread` in summary.json holds: of the phases that count together, and of each window."""
    if not ledger.born:
        return {}
    world = of_ledger(ledger)
    found = grid(world)
    parts = list(windows(ledger))
    counted = [(a, b) for name, a, b in parts if name.startswith("phase")]
    if not counted:
        return {}
    whole = figures(world, found, min(a for a, _ in counted), max(b for _, b in counted))
    return {**whole, "windows": {name: f for name, a, b in parts if (f := figures(world, found, a, b))}}


def rows(table: Iterable[tuple[str, dict[str, Any]]]) -> str:
    """A table in text, a line each."""
    head = f"{'':28} {'full':>7} {'idle':>7} {'wait/mean p99':>14} {'most':>6} {'herd p99':>9} {'most':>6}"
    lines = [head]
    for name, f in table:
        over, herd = f["wait_over_mean"], f["herd"]
        lines.append(
            f"{name[:28]:28} {f['full']:7.3f} {f['idle']:7.3f} {over['p99']:14.2f} {over['most']:6.1f}"
            f" {herd['p99']:9.1f} {herd['most']:6.1f}"
        )
    return "\n".join(lines)
