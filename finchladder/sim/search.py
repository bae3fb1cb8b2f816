"""Runs many seeds on several processes. The result of a seed does not depend on the process."""

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

MAX_CPU_S = 60.0  # CPU seconds after which a run counts as hanging and has no outcome


class Result(msgspec.Struct):
    """The result of one seed. `error`: the simulator failed or the run hangs; `outcome` is then None."""

    seed: int
    outcome: Outcome | None
    error: str = ""
    took_s: float = 0.0


class RunTimeoutError(BaseException):
    """Not an Exception, so that `except Exception` in the program does not swallow it."""


def _alarm(number: int, frame: object) -> None:
    raise RunTimeoutError


def play_seed(seed: int) -> Result:
    began = time.perf_counter()
    before = signal.signal(signal.SIGVTALRM, _alarm)
    signal.setitimer(signal.ITIMER_VIRTUAL, MAX_CPU_S)
    try:
        outcome, error = Run(draw(seed)).play(), ""
    except RunTimeoutError:
        outcome, error = None, f"hangs: no end after {MAX_CPU_S:.0f} s of CPU"
    except Exception:
        outcome, error = None, traceback.format_exc()
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0)
        signal.signal(signal.SIGVTALRM, before)
    return Result(seed, outcome, error, time.perf_counter() - began)


def results(seeds: Iterable[int], jobs: int, until: float | None = None) -> Iterator[Result]:
    """Yields results in the order of the seeds; starts no seed after `until` on time.monotonic()."""

    def wanted() -> Iterator[int]:
        for seed in seeds:
            if until is not None and time.monotonic() >= until:
                return
            yield seed

    if jobs <= 1:
        yield from map(play_seed, wanted())
        return
    with multiprocessing.get_context("fork").Pool(jobs, LOG.keep, maxtasksperchild=500) as pool:
        # submitted a few at a time: a pool would accept all seeds at once and run them all
        waiting = []
        for seed in wanted():
            waiting.append(pool.apply_async(play_seed, (seed,)))
            if len(waiting) >= 4 * jobs:
                yield waiting.pop(0).get()
        for result in waiting:
            yield result.get()


class Tally:
    """The totals of a search so far."""

    def __init__(self) -> None:
        self.seeds = self.steps = self.faults = self.errors = 0
        self.virtual_s = 0.0
        self.kinds: Counter[str] = Counter()
        self.first: dict[str, int] = {}  # the first seed of each violation
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
    """Prints each seed's violation and writes its trace to `out`. `first`: stops at the first one."""
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
