"""A run's arrivals, made beforehand from its seed: equal to the byte in every process that asks for them.

Time is cut into windows of 0.25 s. What falls into a window (arrivals, keys, classes, work) is drawn from a
generator of its own, seeded by (seed, part, phase, window), so the schedule may be walked lazily and in as
little memory as one window takes: columns of 39 bytes an arrival, three times that while they are made. A
million arrivals at 10,000 a second are 400 windows of 98 KB each; held all at once they are 39 MB. A window
of more than a million arrivals is refused.

Poisson arrivals with a changing rate are exact: their number in a window is Poisson with the rate's integral
as mean, and their times are the inverse of that integral at uniform draws.
"""

import math
from collections.abc import Iterator
from typing import NamedTuple

import msgspec
import numpy as np
from numpy.typing import NDArray

from finchladder.lab.experiment import Experiment, Fault, JobClass, Keys, Phase, Span
from finchladder.lab.models.clients import CLIENTS

Floats = NDArray[np.float64]
Ints = NDArray[np.int64]

WINDOW_S = 0.25
MOST_IN_WINDOW = 1_000_000
MOST_PHASES = 256
BLOCK = 1024  # jobs of a closed loop that are drawn at once
NO_KEY, HOT, ONCE = -1, 1 << 61, 1 << 62  # key numbers: below HOT the rank in the Zipf law
_OPEN, _CLOSED, _RUDE, _FAULTS, _IDS = range(5)  # what a generator is for


class Block(NamedTuple):
    """Jobs as columns of equal length, in the order of their due times."""

    due: Floats  # seconds from the arrivals' begin; 0 in a closed loop
    job_class: NDArray[np.int16]  # index into Experiment.job_class
    key: Ints  # see `key_text`
    work: Floats  # seconds on one core at speed 1
    slots: NDArray[np.uint8]
    client: NDArray[np.int32]  # 0 to CLIENTS - 1
    memory: Floats  # units

    def tobytes(self) -> bytes:
        return b"".join(column.tobytes() for column in self)


def key_text(key: int) -> str:
    """The key as it stands in a path; empty where the job has none."""
    if key >= ONCE:
        return f"once{key - ONCE:x}"
    if key >= HOT:
        return f"hot{key - HOT}"
    return f"k{key:x}" if key >= 0 else ""


def _generator(seed: int, *purpose: int) -> np.random.Generator:
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=purpose)))


def ids(seed: int, part: int) -> Iterator[str]:
    """Ids of tries, 18 hex digits: the part, then a bijection of a counter, so that none comes twice.

    The bijection is splitmix64's (Steele, Lea, Flood: Fast splittable pseudorandom number generators, 2014).
    """
    mask, n = (1 << 64) - 1, int(_generator(seed, _IDS, part).integers(1 << 63))
    while True:
        n = (n + 0x9E3779B97F4A7C15) & mask
        z = ((n ^ (n >> 30)) * 0xBF58476D1CE4E5B9) & mask
        z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & mask
        yield f"{part:02x}{z ^ (z >> 31):016x}"


class Zipf:
    """Ranks 1 to n with probabilities proportional to rank ** -exponent, in constant memory.

    Rejection-inversion: Hörmann and Derflinger, Rejection-inversion to generate variates from monotone
    discrete distributions, ACM TOMACS 6(3), 1996. Few draws are rejected, whatever n.
    """

    def __init__(self, n: int, exponent: float) -> None:
        self.n, self.exponent = n, exponent
        self.first = float(self._integral(np.array([1.5]))[0]) - 1.0
        self.last = float(self._integral(np.array([n + 0.5]))[0])
        two = self._integral(np.array([2.5])) - 2.0**-exponent
        self.near = 2.0 - float(self._inverse(two)[0])

    def _integral(self, x: Floats) -> Floats:
        """Of t ** -exponent from 1 to x."""
        log, rest = np.log(x), 1.0 - self.exponent
        return log if abs(rest) < 1e-9 else np.expm1(rest * log) / rest

    def _inverse(self, u: Floats) -> Floats:
        rest = 1.0 - self.exponent
        if abs(rest) < 1e-9:
            return np.exp(u)
        return np.exp(np.log1p(np.maximum(rest * u, np.nextafter(-1.0, 0.0))) / rest)

    def draw(self, rng: np.random.Generator, size: int) -> Ints:
        ranks = np.empty(size, np.int64)
        open_ = np.arange(size)
        while len(open_):
            u = self.last + rng.random(len(open_)) * (self.first - self.last)
            x = self._inverse(u)
            k = np.clip(np.floor(x + 0.5), 1, self.n)
            fits = (k - x <= self.near) | (u >= self._integral(k + 0.5) - k**-self.exponent)
            ranks[open_[fits]] = k[fits]
            open_ = open_[~fits]
        return ranks


class Rate:
    """The rate of arrivals over a phase, and its integral. Times are seconds from the phase's begin."""

    def __init__(self, phase: Phase, bursts: list[tuple[float, float, float]]) -> None:
        """bursts: (begin, end, factor); where they overlap the factors multiply."""
        last = phase.rate if phase.to_rate is None else phase.to_rate
        self.start, self.slope = phase.rate, (last - phase.rate) / phase.for_s
        self.depth = phase.wave_depth if phase.law == "wave" else 0.0
        self.turn = 2 * math.pi / phase.wave_s
        edges = {t for begin, end, _ in bursts for t in (begin, end) if 0 < t < phase.for_s}
        self.edges = np.array(sorted({0.0, *edges}))
        self.factors = np.array(
            [math.prod(f for begin, end, f in bursts if begin <= t < end) for t in self.edges]
        )
        steps = self.factors[:-1] * np.diff(self._plain(self.edges))
        self.sums = np.concatenate(([0.0], np.cumsum(steps)))

    def _plain(self, t: Floats) -> Floats:
        """The integral from 0 without bursts."""
        a, b, w = self.start, self.slope, self.turn
        whole = a * t + b * t * t / 2
        if not self.depth:
            return whole
        swing = a / w - (a + b * t) * np.cos(w * t) / w + b * np.sin(w * t) / (w * w)
        return whole + self.depth * swing

    def integral(self, t: Floats) -> Floats:
        i = np.searchsorted(self.edges, t, side="right") - 1
        return self.sums[i] + self.factors[i] * (self._plain(t) - self._plain(self.edges[i]))

    def times(self, sums: Floats, begin: float, end: float) -> Floats:
        """Where the integral reaches these values, all of which it reaches between begin and end."""
        if not (self.slope or self.depth or len(self.edges) > 1):
            times: Floats = np.clip(sums / (self.start * self.factors[0]), begin, end)
            return times
        low, high = np.full(len(sums), begin), np.full(len(sums), end)
        for _ in range(44):  # halves 0.25 s down to less than a tick of the clock
            middle = (low + high) / 2
            below = self.integral(middle) < sums
            low, high = np.where(below, middle, low), np.where(below, high, middle)
        return high


def _draw(span: Span, rng: np.random.Generator) -> float:
    return float(rng.uniform(span[0], span[1])) if isinstance(span, tuple) else float(span)


def draw_faults(experiment: Experiment, seed: int) -> list[Fault]:
    """All faults with their times (`at_s`, seconds from the arrivals' begin), in order; a count of n gives n.

    Their spans are numbers then, so that faults drawn once come out unchanged, whatever the seed.
    """
    drawn = []
    for i, fault in enumerate(experiment.fault):
        rng = _generator(seed, _FAULTS, i)
        for _ in range(fault.count):
            low, high = fault.within_s or (fault.at_s or 0.0, fault.at_s or 0.0)
            drawn.append(
                msgspec.structs.replace(
                    fault,
                    at_s=float(rng.uniform(low, high)) if fault.within_s else low,
                    count=1,
                    within_s=None,
                    for_s=_draw(fault.for_s, rng),
                    share=_draw(fault.share, rng),
                    size=_draw(fault.size, rng),
                )
            )
    return sorted(drawn, key=lambda fault: fault.at_s or 0.0)


class Stretch(NamedTuple):
    """A phase at its place, in seconds from the arrivals' begin."""

    phase: Phase
    begin: float
    end: float


class Schedule:
    """What part k of n processes sends. A ValueError names the phase or the line at fault."""

    def __init__(self, experiment: Experiment, seed: int, part: int = 0, parts: int = 1) -> None:
        self.experiment, self.seed, self.part, self.parts = experiment, seed, part, parts
        self.stretches: list[Stretch] = []
        at = 0.0
        for phase in experiment.load.phase:
            self.stretches.append(Stretch(phase, at, at + phase.for_s))
            at += phase.for_s
        if len(self.stretches) > MOST_PHASES:
            raise ValueError(f"more than {MOST_PHASES} phases")
        self.end = at
        self.faults = draw_faults(experiment, seed)
        self._index = {c.name: i for i, c in enumerate(experiment.job_class)}
        self._zipf: dict[tuple[int, float], Zipf] = {}

    def check(self) -> None:
        """Finds before a run what would end it: a trace that can't be read (OSError, ValueError)."""
        for i, stretch in enumerate(self.stretches):
            self._classes(stretch.phase, _generator(0), 1)
            if stretch.phase.law == "trace":
                for _ in self._traced(i):
                    pass

    def open(self) -> Iterator[Block]:
        """The open loop's arrivals, window by window; windows without any are left out."""
        for i, stretch in enumerate(self.stretches):
            if stretch.phase.law == "trace":
                yield from self._traced(i)
            elif stretch.phase.rate or stretch.phase.to_rate:
                yield from self._timed(i)

    def closed(self, index: int) -> Iterator[Block]:
        """Jobs without end for the closed loop of that phase."""
        phase, window = self.stretches[index].phase, 0
        while True:
            rng = _generator(self.seed, _CLOSED, self.part, index, window)
            classes = self._classes(phase, rng, BLOCK)
            yield self._jobs(index, window, np.zeros(BLOCK), classes, rng, faults=False)
            window += 1

    def in_flight(self, index: int) -> int:
        """This part of the requests that the closed loop of a phase keeps in flight."""
        whole = self.stretches[index].phase.in_flight
        return whole // self.parts + (self.part < whole % self.parts)

    def rude(self) -> Iterator[tuple[float, int]]:
        """Due time and seed of each rude connection: Poisson over the whole run."""
        rng, rate, at = _generator(self.seed, _RUDE, self.part), self.experiment.load.rude / self.parts, 0.0
        while rate and (at := at + float(rng.exponential(1 / rate))) < self.end:
            yield at, int(rng.integers(1 << 62))

    def _timed(self, index: int) -> Iterator[Block]:
        phase, begin, _ = self.stretches[index]
        rate = Rate(
            phase,
            [
                ((f.at_s or 0.0) - begin, (f.at_s or 0.0) - begin + _number(f.for_s), _number(f.size))
                for f in self.faults
                if f.kind == "burst"
            ],
        )
        for window in range(math.ceil(phase.for_s / WINDOW_S)):
            rng = _generator(self.seed, _OPEN, self.part, index, window)
            low, high = window * WINDOW_S, min(phase.for_s, (window + 1) * WINDOW_S)
            first, last = (float(x) for x in rate.integral(np.array([low, high])))
            if (last - first) / self.parts > MOST_IN_WINDOW * 0.9:
                raise ValueError(f"phase {phase.name}: more than {MOST_IN_WINDOW} arrivals in {WINDOW_S} s")
            if phase.law == "even":
                n = np.arange(math.ceil(first - 0.5), math.ceil(last - 0.5))
                sums = n[n % self.parts == self.part] + 0.5
            else:
                count = rng.poisson((last - first) / self.parts)
                sums = np.sort(rng.uniform(first, last, count))
            if len(sums):
                times = rate.times(sums, low, high)
                yield self._jobs(index, window, begin + times, self._classes(phase, rng, len(times)), rng)

    def _traced(self, index: int) -> Iterator[Block]:
        """Line i belongs to part i modulo the number of parts; lines after the phase's end are left out."""
        phase, begin, _ = self.stretches[index]
        due: list[float] = []
        classes: list[int] = []
        keys: list[int] = []
        window, last = 0, 0.0

        def block() -> Block:
            rng = _generator(self.seed, _OPEN, self.part, index, window)
            columns = np.array(classes, np.int16)
            jobs = self._jobs(index, window, begin + np.array(due), columns, rng)
            return jobs._replace(key=np.array(keys, np.int64))

        with open(phase.trace, encoding="utf-8") as file:
            for number, line in enumerate(file):
                where = f"{phase.trace}, line {number + 1}"
                words = line.split()
                if not 2 <= len(words) <= 3 or words[1] not in self._index:
                    raise ValueError(f"{where}: not `seconds class key` with a class of the experiment")
                try:
                    at, key = float(words[0]), int(words[2]) if len(words) == 3 else NO_KEY
                except ValueError:
                    raise ValueError(f"{where}: seconds or key is no number") from None
                if not last <= at < math.inf or not NO_KEY <= key < HOT:
                    raise ValueError(f"{where}: earlier than the line before it, or a key out of range")
                last = at
                if at >= phase.for_s:
                    break
                if number % self.parts != self.part:
                    continue
                if due and (int(at / WINDOW_S) != window or len(due) >= MOST_IN_WINDOW):
                    yield block()
                    for column in (due, classes, keys):
                        column.clear()
                window = int(at / WINDOW_S)
                due.append(at)
                classes.append(self._index[words[1]])
                keys.append(key)
        if due:
            yield block()

    def _classes(self, phase: Phase, rng: np.random.Generator, size: int) -> NDArray[np.int16]:
        classes = self.experiment.job_class
        shares = np.array([phase.classes.get(c.name, 0.0) if phase.classes else c.share for c in classes])
        if shares.sum() <= 0:
            raise ValueError(f"phase {phase.name}: no class has a share")
        edges = np.cumsum(shares) / shares.sum()
        edges[-1] = 1.0  # what rounding takes off the sum must not make a class that is not there
        return np.searchsorted(edges, rng.random(size), side="right").astype(np.int16)

    def _jobs(
        self,
        index: int,
        window: int,
        due: Floats,
        classes: NDArray[np.int16],
        rng: np.random.Generator,
        faults: bool = True,
    ) -> Block:
        if len(due) > MOST_IN_WINDOW:
            raise ValueError(f"more than {MOST_IN_WINDOW} arrivals in {WINDOW_S} s")
        size = len(due)
        work, slots = np.empty(size), np.empty(size, np.uint8)
        for i, job_class in enumerate(self.experiment.job_class):
            here = np.flatnonzero(classes == i)
            work[here] = _work(job_class, rng, len(here))
            shares = np.cumsum(job_class.slots) / sum(job_class.slots)
            shares[-1] = 1.0
            slots[here] = 1 << np.searchsorted(shares, rng.random(len(here)), side="right")
        keys = self._keys(index, window, due, rng, faults)
        client = rng.integers(CLIENTS, size=size, dtype=np.int32)
        memory = np.zeros(size)
        for i, c in enumerate(self.experiment.job_class):
            if c.memory:
                here = np.flatnonzero(classes == i)
                memory[here] = _lognormal(c.memory, c.memory_sigma, rng, len(here))
        return Block(due, classes, keys, work, slots, client, memory)

    def _keys(self, index: int, window: int, due: Floats, rng: np.random.Generator, faults: bool) -> Ints:
        settings = self.stretches[index].phase.keys or self.experiment.keys
        size = len(due)
        keys = self._ranks(settings, rng, size)
        serial = (((index << 24 | window) << 24 | np.arange(size)) << 6 | self.part) + ONCE
        chance = rng.random(size)
        keys = np.where(chance < settings.once + settings.hot, HOT, keys)
        keys = np.where(chance < settings.once, serial, keys)
        for n, fault in enumerate(self.faults if faults else []):
            if fault.kind in ("scan", "hot_key"):
                begin = fault.at_s or 0.0
                struck = (due >= begin) & (due < begin + _number(fault.for_s))
                struck &= rng.random(size) < _number(fault.size)
                keys = np.where(struck, serial if fault.kind == "scan" else HOT + 1 + n, keys)
        return keys

    def _ranks(self, settings: Keys, rng: np.random.Generator, size: int) -> Ints:
        if not settings.count:
            return np.full(size, NO_KEY, np.int64)
        law = settings.count, settings.zipf
        if law not in self._zipf:
            self._zipf[law] = Zipf(*law)
        return self._zipf[law].draw(rng, size) - 1


def _number(span: Span) -> float:
    assert not isinstance(span, tuple)  # `draw_faults` has made it a number
    return span


def _work(job_class: JobClass, rng: np.random.Generator, size: int) -> Floats:
    mean, sigma = job_class.work_s, job_class.work_sigma
    if job_class.work_law == "exponential":
        return rng.exponential(mean, size)
    return _lognormal(mean, 0.0 if job_class.work_law == "fixed" else sigma, rng, size)


def _lognormal(mean: float, sigma: float, rng: np.random.Generator, size: int) -> Floats:
    if not sigma:
        return np.full(size, mean)
    return rng.lognormal(math.log(mean) - sigma * sigma / 2, sigma, size)
