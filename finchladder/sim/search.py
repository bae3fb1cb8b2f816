"""Plays many seeds on several processes. What each finds depends on its seed alone, not on who played it."""

import multiprocessing
import signal
import time
import traceback
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec

from finchladder.sim import trace
from finchladder.sim.plan import draw
from finchladder.sim.run import LOG, Outcome, Run

HANGS_S = 60.0  # CPU seconds: a run that takes longer never ends, and is no result


class Result(msgspec.Struct):
    """Of one seed. `error`: the simulator itself failed, or the run hangs; then there is no outcome."""

    seed: int
    outcome: Outcome | None
    error: str = ""
    took_s: float = 0.0


class Hangs(BaseException):
    """No Exception: the program's own guards must not swallow it."""


def _alarm(number: int, frame: object) -> None:
    raise Hangs


def play_seed(seed: int) -> Result:
    began = time.perf_counter()
    before = signal.signal(signal.SIGVTALRM, _alarm)
    signal.setitimer(signal.ITIMER_VIRTUAL, HANGS_S)
    try:
        outcome, error = Run(draw(seed)).play(), ""
    except Hangs:
        outcome, error = None, f"hangs: no end after {HANGS_S:.0f} s of CPU"
    except Exception:
        outcome, error = None, traceback.format_exc()
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0)
        signal.signal(signal.SIGVTALRM, before)
    return Result(seed, outcome, error, time.perf_counter() - began)


def results(seeds: Iterable[int], jobs: int, until: float | None = None) -> Iterator[Result]:
    """In the order of the seeds. `until`: of time.monotonic(), after which no further seed is begun."""

    def wanted() -> Iterator[int]:
        for seed in seeds:
            if until is not None and time.monotonic() >= until:
                return
            yield seed

    if jobs <= 1:
        yield from map(play_seed, wanted())
        return
    with multiprocessing.get_context("fork").Pool(jobs, LOG.keep, maxtasksperchild=500) as pool:
        # handed out a few at a time: a pool would take all the seeds at once, and play them all
        waiting = []
        for seed in wanted():
            waiting.append(pool.apply_async(play_seed, (seed,)))
            if len(waiting) >= 4 * jobs:
                yield waiting.pop(0).get()
        for result in waiting:
            yield result.get()


class Tally:
    """What a search has seen so far."""

    def __init__(self) -> None:
        self.seeds = self.steps = self.faults = self.errors = 0
        self.virtual_s = 0.0
        self.kinds: Counter[str] = Counter()
        self.first: dict[str, int] = {}  # by violation: the first seed
        self.answers: Counter[str] = Counter()
        self.coverage: Counter[tuple[str, str]] = Counter()
        self.began = time.perf_counter()

    def add(self, r: Result) -> None:
        self.seeds += 1
        if r.outcome is None:
            self.errors += 1
            return
        o = r.outcome
        self.steps += o.steps
        self.faults += o.faults
        self.virtual_s += o.virtual_s
        self.answers.update(o.answers)
        for key, count in o.coverage.items():
            kind, _, stage = key.partition("/")
            self.coverage[kind, stage] += count
        if o.violation is not None:
            self.kinds[o.violation.name] += 1
            self.first.setdefault(o.violation.name, r.seed)

    def text(self, jobs: int) -> str:
        took = max(1e-9, time.perf_counter() - self.began)
        rate = self.steps / took
        return (
            f"{self.seeds} seeds, {self.steps} steps in {took:.1f} s ({rate:.0f} a second,"
            f" {rate / jobs:.0f} a process), {self.virtual_s / 3600:.1f} h of virtual time,"
            f" {self.faults} faults, {sum(self.answers.values())} answers"
        )


def search(
    seeds: Iterable[int],
    jobs: int,
    out: Path | None,
    say: Callable[[str], None],
    until: float | None = None,
    first: bool = False,
) -> Tally:
    """Each seed's violation is told, and its trace written to `out`. `first`: ends with the first one."""
    tally = Tally()
    for r in results(seeds, jobs, until):
        tally.add(r)
        if r.outcome is None:
            say(f"seed {r.seed}: {r.error}")
        elif (v := r.outcome.violation) is not None:
            say(f"seed {r.seed}: {v.name}: {v.text} ({v.at:.3f} s, step {v.step})")
            if out is not None:
                trace.write(out / f"seed-{r.seed}.jsonl", trace.record(draw(r.seed))[0])
        if first and (r.outcome is None or r.outcome.violation is not None):
            break
    return tally
