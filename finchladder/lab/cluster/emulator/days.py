"""Days to emulate, drawn from seeds: demand that moves on, and bursts of what is rare."""

from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from random import Random
from statistics import fmean

from attrs import evolve, frozen

from finchladder.lab.cluster.emulator.demand import Burst, Catalogue, DayPlan, RequestClass, Shift
from finchladder.lab.cluster.emulator.fleet import FleetPlan, ModelShape, Outcome, play

SMALL = ModelShape(34_300.0, 1.5, 0.42, 0.6)
MIDDLE = ModelShape(65_300.0, 2.9, 0.57, 0.7)
LARGE = ModelShape(72_700.0, 3.2, 0.6, 1.0)
LENGTH_S = 34.0


def draft_classes(rate: float) -> tuple[RequestClass, ...]:
    """Kinds of requests, of which so many come a second in all."""
    return (
        RequestClass("reply", 0.75 * rate, 0.6, 4.0, 2, 1, 1, 1800, ((3, 341), (14, 227)), 22, False, 0.1),
        RequestClass("check", 0.045 * rate, 5.0, 12.0, 3, 1.5, 0, 1800, ((1, 341), (2, 227)), 22, True),
        RequestClass(
            "summary", 0.205 * rate, 0.6, 15.0, 1, 0.5, 2, 1110, ((3, 210), (6, 140)), 170, False, 0.5
        ),
    )


@frozen
class Size:
    """Of a fleet and its demand. `rate`: requests a second; `busy`, `rare`: models of each sort."""

    workers: int = 20
    rate: float = 84.0
    busy: int = 33
    rare: int = 92


@frozen
class Result:
    """Of one day. `credit`: worth earned over worth owed, by class; "" is the whole day."""

    seed: int
    credit: Mapping[str, float]
    loads: int
    utilization: float  # mean of the engines
    busiest: float

    def line(self) -> str:
        """For people."""
        use = f"engines read {self.utilization:.2f} of the time, the busiest {self.busiest:.2f}"
        return f"seed {self.seed}: {_shares(self.credit)}, {self.loads} loads, {use}"


def _shares(credit: Mapping[str, float]) -> str:
    return ", ".join(f"{name or 'whole day'} {share:.3f}" for name, share in credit.items())


def mean_line(results: Sequence[Result]) -> str:
    """The mean over days, for people."""
    names = dict.fromkeys(name for result in results for name in result.credit)
    means = {name: fmean(r.credit[name] for r in results if name in r.credit) for name in names}
    return f"mean of {len(results)}: {_shares(means)}, {fmean(r.loads for r in results):.0f} loads"


def _credit(outcomes: Sequence[Outcome]) -> dict[str, float]:
    earned, owed = dict[str, float](), dict[str, float]()
    for outcome in outcomes:
        kind = outcome.arrival.kind
        for name in ("", kind.name):
            earned[name] = earned.get(name, 0.0) + outcome.worth
            owed[name] = owed.get(name, 0.0) + kind.worth
    return {name: earned[name] / owed[name] for name in earned}


def play_one(size: Size, seed: int, all_held: bool) -> Result:
    """Plays the day of that seed."""
    plan, day = draw_day(seed, size)
    fleet = play(evolve(plan, all_held=all_held), day, seed)
    use = [worker.busy_s / day.length_s for worker in fleet.workers.values()]
    return Result(seed, _credit(fleet.outcomes), fleet.loads, fmean(use), max(use))


def play_all(size: Size, seeds: Iterable[int], all_held: bool, jobs: int) -> list[Result]:
    """Plays the days of these seeds, several at once; in the order of the seeds."""
    with ProcessPoolExecutor(jobs) as executor:
        return list(executor.map(partial(play_one, size, all_held=all_held), seeds))


def draw_day(seed: int, size: Size) -> tuple[FleetPlan, DayPlan]:
    """A fleet and its day."""
    random, workers = Random(seed), size.workers
    busy = tuple(f"busy{number}" for number in range(size.busy))
    catalogue = Catalogue(busy, tuple(f"rare{number}" for number in range(size.rare)))
    shapes = random.choices((SMALL, MIDDLE, LARGE), (0.15, 0.2, 0.65), k=size.busy + size.rare)
    models = dict(zip((*catalogue.busy, *catalogue.rare), shapes, strict=True))
    shifts = tuple(Shift(at, random.uniform(7, 8), 4) for at in (1.0, 14.0, 24.0))
    burst = Burst("check", random.uniform(6, 20), 4.0, 1.9)
    day = DayPlan(LENGTH_S, draft_classes(size.rate), catalogue, shifts, (burst,))
    dispatchers = max(6, workers)
    return FleetPlan(workers, dispatchers, models, load_rate_s=0.57 * workers), day
