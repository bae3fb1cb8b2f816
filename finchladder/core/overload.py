"""Overload control: which new jobs are let in while the dispatcher's own loop can't keep up.

Only what has not become a flow is ever turned away: nothing here can name a job that was let in or sent.
Jobs are ranked by worth per CPU second of this dispatcher. While shedding, a budget of CPU is dealt out from
the top rank down, and messages wait unread until it allows them: the best class's newest is read first, while
a bounded part of the CPU turns away the worst class's oldest, unread.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Generic, NamedTuple, TypeVar

from finchladder.core.api import JobClass

TICK_S = 0.025  # tick() is to be called so often
INTERVAL_S = 0.1  # the least delay within it is the queue that stands (CoDel)
TICKS_LEAST = 2  # in an interval: one long step of the loop is no queue
SMOOTH = 0.5  # weight of an interval in the rates that come
LEARN = 0.1  # the same in what costs are learned from: a job's CPU is spent over its whole running time
PRIOR_JOB_S, PRIOR_REFUSAL_S = 1e-3, 5e-5  # CPU of each before anything is learned
LEARN_FROM = 0.1  # CPU share below which the loop's idle work would pass for the jobs'
COST_RANGE = 20.0  # a learned cost stays within so many times of the prior, up or down
TRIM_LEAST, TRIM_MOST = 0.3, 1.3  # bounds of what feedback makes of the budget
TRIM_DOWN, TRIM_UP, TRIM_IDLE = 0.01, 0.01, 0.2  # an interval; the last for each part of the CPU left idle
BUDGET_LEAST = 0.1
DRAIN_S, DRAIN_MOST = 0.15, 0.7  # a queue that stands is worked off in so long, with so much of the CPU
SPARE_MOST = 0.25  # of the CPU, for refusals where the jobs leave so much over
FULL_FROM, FULL_MORE = 0.5, 3.5  # from that part of the room on refusals may take more, up to so many times;
# or where the oldest comes near its deadline: whoever has left costs more than a refusal
LAST, DEAD_BY = 0.7, 0.9  # parts of a deadline; who comes back late is turned away again at the first
CROWDED = 0.9  # of the room: beyond it, nothing is left waiting for its time to be turned away
BURST_S = 0.02  # of reading at once, after a pause
RATE_LEAST = 50.0  # messages a second that are read, and refused, whatever happens: learning must go on
STRATA = 64  # parts of the range of Retry-After; each is used once before any is used again
EARLIEST = 0.25  # of the longest Retry-After
BLIND_WINDOWS = 10  # delay that stands so long means overload though the CPU share does not show it
NEAR = 1e-9

T = TypeVar("T")


class State(Enum):
    CALM = "calm"  # everything is let in
    SHED = "shed"


class Sign(Enum):
    STANDING = "standing"  # a queue stood for an interval and the CPU is used up
    EASED = "eased"  # nothing had to be turned away, and no queue stood, for calm_s


TRANSITIONS = {
    (State.CALM, Sign.STANDING): State.SHED,
    (State.SHED, Sign.EASED): State.CALM,
}


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    target_s: float = 0.03  # a queue older than this for a whole interval is too long
    cpu_from: float = 0.85  # part of the CPU that the process may use; below it a delay has another cause
    refuse_share: float = 0.02  # part of the CPU that turning away may take
    unread_share: float = 0.3  # part of its class's deadline that may pass before a job is turned away unread
    calm_s: float = 0.5
    retry_after_s: float = 2.0  # the longest that clients follow; 0: they are told nothing, yet held
    hold_s: float = 2.0  # the longest that a refused connection stays unread where clients follow nothing

    def __post_init__(self) -> None:
        bounds = {
            "target_s": (0.005, 1.0), "cpu_from": (0.5, 1.0), "refuse_share": (0.01, 0.5),
            "unread_share": (0.0, 0.9),
            "calm_s": (0.1, 1.5), "retry_after_s": (0.0, 60.0), "hold_s": (0.1, 60.0),
        }  # fmt: skip
        for name, (least, most) in bounds.items():
            if not least <= getattr(self, name) <= most:
                raise ValueError(f"overload: {name} must be from {least:g} to {most:g}")


class Refusal(NamedTuple):
    """`retry_after_s` goes into the header where above 0; the connection is not read for `hold_s`."""

    retry_after_s: float
    hold_s: float


class Turn(NamedTuple, Generic[T]):
    """What is to be read now or, with `worst`, refused unread. None: ask after `wait_s`, and at a put()."""

    item: T | None = None
    worst: bool = False
    wait_s: float = 0.0


class Unread(Generic[T]):
    """What could be read and is left waiting: a queue a class of what can be in time, and one of the late.

    All steps are O(classes). Items are kept with the time at which their client first asked, as far as known.
    """

    def __init__(self, classes: Sequence[JobClass]) -> None:
        # ordered: a plain dict looks for its first entry past all that were taken from there
        self.fresh: dict[str, OrderedDict[T, float]] = {c.name: OrderedDict() for c in classes}
        self.late: dict[str, OrderedDict[T, float]] = {c.name: OrderedDict() for c in classes}
        self.size = 0

    def add(self, now: float, c: JobClass, item: T, asked_at: float) -> None:
        (self.fresh if now - asked_at < c.aim else self.late)[c.name][item] = asked_at
        self.size += 1

    def drop(self, job_class: str, item: T) -> None:
        """Its client has left; nothing happens where it waits no more."""
        for queue in (self.fresh[job_class], self.late[job_class]):
            if queue.pop(item, None) is not None:
                self.size -= 1

    def best(self, now: float, best_first: Sequence[JobClass]) -> T | None:
        """The newest in time, of the best class that has one; where none is, the best class's newest."""
        newest = [(c, q, next(reversed(q))) for c in best_first if (q := self.fresh[c.name])]
        for c, queue, item in newest:
            if now - queue[item] < c.aim:
                return self._pop(queue, item)
        for c in best_first:
            for queue in (self.late[c.name], self.fresh[c.name]):
                if queue:
                    return self._pop(queue, next(reversed(queue)))
        return None

    def worst(self, now: float, best_first: Sequence[JobClass], part: float) -> T | None:
        """The oldest that has waited for that part of its deadline: one past it all, or the worst class's."""
        found: tuple[OrderedDict[T, float], T] | None = None
        for c in reversed(best_first):
            for queue, share in ((self.late[c.name], LAST if part else 0.0), (self.fresh[c.name], part)):
                if queue:
                    item = next(iter(queue))
                    waited = now - queue[item]
                    if waited >= c.deadline:
                        return self._pop(queue, item)
                    if found is None and waited >= share * c.deadline:
                        found = queue, item
        return self._pop(*found) if found is not None else None

    def oldest(self, now: float, classes: Sequence[JobClass]) -> float:
        """The greatest part of its deadline that any has waited."""
        heads = ((c, q) for c in classes for q in (self.late[c.name], self.fresh[c.name]) if q)
        return max(((now - q[next(iter(q))]) / c.deadline for c, q in heads), default=0.0)

    def _pop(self, queue: OrderedDict[T, float], item: T) -> T:
        del queue[item]
        self.size -= 1
        return item


class Bucket:
    """Tokens of `rate` a second, with room for a short burst of them."""

    __slots__ = ("rate", "tokens", "at")

    def __init__(self, now: float) -> None:
        self.rate, self.tokens, self.at = RATE_LEAST, 0.0, now

    def wait_s(self, now: float) -> float:
        self.tokens = min(max(1.0, self.rate * BURST_S), self.tokens + (now - self.at) * self.rate)
        self.at = now
        return 0.0 if self.tokens >= 1 - NEAR else (1 - self.tokens) / self.rate


class Band:
    """Jobs of one class that can still earn the same: those within their aim, or those past it."""

    __slots__ = ("job_class", "fresh", "earns", "arrived", "rate", "share", "credit")

    def __init__(self, job_class: str, fresh: bool, earns: float) -> None:
        self.job_class, self.fresh, self.earns = job_class, fresh, earns
        self.arrived, self.rate = 0, 0.0  # in this interval; a second
        self.share, self.credit = 1.0, 0.0  # of them that is let in; saved up towards the next one

    def take(self) -> bool:
        """So many of each hundred, evenly: draws would let bursts in."""
        self.credit += self.share
        if self.credit < 1 - NEAR:
            return False
        self.credit -= 1
        return True


class Costs:
    """CPU seconds of a job of each class, learned from the process's CPU share (NLMS); of a refusal, as told.

    What all jobs took together is the only thing known; a class's part is told by how their rates differ.
    Classes whose rates never differ share it by their rates.
    """

    def __init__(self, names: Sequence[str]) -> None:
        self.cost_s = dict.fromkeys(names, PRIOR_JOB_S)
        self.rate = dict.fromkeys(names, 0.0)
        self.cpu = 0.0  # that jobs took, smoothed like their rates
        self.refusal_s = PRIOR_REFUSAL_S

    def learn(self, rates: dict[str, float], cpu: float) -> None:
        self.cpu += LEARN * (cpu - self.cpu)
        for name in self.rate:
            self.rate[name] += LEARN * (rates[name] - self.rate[name])
        power = sum(r * r for r in self.rate.values())
        if self.cpu < LEARN_FROM or power < NEAR:
            return
        error = self.cpu - sum(r * self.cost_s[n] for n, r in self.rate.items())
        for n, r in self.rate.items():
            self.cost_s[n] = within_range(self.cost_s[n] + LEARN * error * r / power, PRIOR_JOB_S)

    def refusals_took(self, n: int, cpu_s: float) -> None:
        part = 1 - (1 - LEARN / 10) ** n
        self.refusal_s = within_range(self.refusal_s + part * (cpu_s / n - self.refusal_s), PRIOR_REFUSAL_S)


def within_range(cost_s: float, prior_s: float) -> float:
    return min(max(cost_s, prior_s / COST_RANGE), prior_s * COST_RANGE)


class Overload(Generic[T]):
    """Every call is O(classes). Holds two bands and one cost a class, 64 strata and `room` unread items."""

    def __init__(self, classes: Sequence[JobClass], settings: OverloadSettings, seed: int, room: int) -> None:
        self.s, self.room = settings, room
        self.unread: Unread[T] = Unread(classes)
        self.random = Random(seed)
        self.classes = {c.name: c for c in classes}
        self.fresh = {c.name: Band(c.name, True, c.worth) for c in classes}
        self.late = {c.name: Band(c.name, False, c.worth * c.late_share) for c in classes}
        self.bands = [*self.fresh.values(), *self.late.values()]
        self.costs = Costs([c.name for c in classes])
        self.state, self.changed_at = State.CALM, 0.0
        self.admitted = {c.name: 0 for c in classes}
        self.turning_away_s = 0.0  # CPU in this interval
        self.delay_s = 0.0
        self.least_s, self.cpu_sum, self.ticks, self.since = float("inf"), 0.0, 0, 0.0
        self.blind = 0
        self.trim = 1.0
        self.kept_out_at = 0.0  # when something was last turned away or left unread
        self.reads, self.refusals = Bucket(0.0), Bucket(0.0)
        self.best_first = tuple(self.classes.values())
        self.strata: list[int] = []

    def judge(self, now: float, job_class: str, left_s: float) -> Refusal | None:
        """None: let in. To be asked of each new job once its head is read, and before there is a flow.

        `left_s` is the client's remaining patience, less what the message is known to have lain unread.
        """
        c = self.classes[job_class]
        band = (self.fresh if c.deadline - left_s < c.aim else self.late)[job_class]
        band.arrived += 1
        # one whose client will have gone by the time it is looked at is not worth its CPU
        if self.state is State.CALM or (left_s > self.delay_s and band.take()):
            self.admitted[job_class] += 1
            return None
        return self.refuse(now)

    def refuse(self, now: float) -> Refusal:
        """Also to be called for what a `worst` turn names, unless its client is found to have left."""
        self.kept_out_at = now
        wait_s = self._spread()
        return Refusal(wait_s if self.s.retry_after_s else 0.0, wait_s)

    def turned_away(self, n: int, cpu_s: float) -> None:
        """What it took to work off so many `worst` turns, answered or found to have left."""
        self.turning_away_s += cpu_s
        self.costs.refusals_took(n, cpu_s)

    @property
    def gated(self) -> bool:
        """Whether what can be read is to be put here first."""
        return self.state is State.SHED or self.unread.size > 0

    @property
    def full(self) -> bool:
        """No more room: nothing is to be accepted, so that it waits where it costs nothing."""
        return self.unread.size >= self.room

    def put(self, now: float, job_class: str, left_s: float | None, item: T) -> None:
        """Something of that class can be read. Not to be called while full.

        `left_s` is what its first bytes say of the client's patience; None where they do not.
        """
        c = self.classes[job_class]
        self.unread.add(now, c, item, now if left_s is None else now - max(0.0, c.deadline - left_s))

    def drop(self, job_class: str, item: T) -> None:
        self.unread.drop(job_class, item)

    def take(self, now: float) -> Turn[T]:
        if not self.unread.size:
            return Turn()
        if self.state is State.CALM:
            return Turn(self.unread.best(now, self.best_first))
        part = 0.0 if self.unread.size >= CROWDED * self.room else self.s.unread_share
        waits = self.refusals.wait_s(now)
        if waits <= 0 and (item := self.unread.worst(now, self.best_first, part)) is not None:
            self.refusals.tokens -= 1
            return Turn(item, worst=True)
        wait_s = self.reads.wait_s(now)
        if wait_s <= 0:
            self.reads.tokens -= 1
            return Turn(self.unread.best(now, self.best_first))
        self.kept_out_at = now
        return Turn(wait_s=min(wait_s, max(waits, TICK_S)))

    def tick(self, now: float, lag_s: float, cpu_share: float, age_s: float) -> None:
        """The loop's lag, the part used of its CPU since the last tick, and the age of queued work."""
        self.delay_s = max(lag_s, age_s)
        self.least_s = min(self.least_s, self.delay_s)
        self.cpu_sum += cpu_share
        self.ticks += 1
        if self.ticks >= TICKS_LEAST and now - self.since >= INTERVAL_S - TICK_S / 2:
            self._interval(now, max(now - self.since, TICK_S), self.cpu_sum / self.ticks)
            self.least_s, self.cpu_sum, self.ticks, self.since = float("inf"), 0.0, 0, now

    def _interval(self, now: float, span_s: float, cpu: float) -> None:
        for band in self.bands:
            new = band.arrived / span_s
            band.rate += (1.0 if self.state is State.CALM else SMOOTH) * (new - band.rate)
            band.arrived = 0
        rates = {n: k / span_s for n, k in self.admitted.items()}
        self.costs.learn(rates, cpu - self.turning_away_s / span_s)
        self.admitted = dict.fromkeys(self.admitted, 0)
        self.turning_away_s = 0.0
        standing = self.least_s > self.s.target_s
        self.blind = self.blind + 1 if standing else 0
        if self.state is State.CALM:
            if standing and (cpu >= self.s.cpu_from or self.blind >= BLIND_WINDOWS):
                self._go(Sign.STANDING, now)
        elif standing:
            self.trim *= 1 - TRIM_DOWN * min(3.0, self.least_s / self.s.target_s)
            self.kept_out_at = now
        elif self.least_s < self.s.target_s / 2:
            self.trim += TRIM_UP + TRIM_IDLE * max(0.0, 1 - cpu)
        self.trim = min(max(self.trim, TRIM_LEAST), TRIM_MOST)
        if self.state is State.SHED:
            self._deal(now, self.least_s)
            if now - max(self.kept_out_at, self.changed_at) >= self.s.calm_s:
                self._go(Sign.EASED, now)

    def _go(self, sign: Sign, now: float) -> None:
        self.state, self.changed_at = TRANSITIONS[self.state, sign], now
        self.trim, self.kept_out_at = 1.0, now
        self.reads, self.refusals = Bucket(now), Bucket(now)
        for band in self.bands:
            band.share, band.credit = 1.0, 0.0
        if self.state is State.SHED:
            self._deal(now, self.least_s)

    def _deal(self, now: float, queue_s: float) -> None:
        """Deals the budget out to the bands, the best worth for its CPU first, and paces the reading by it.

        Those within their aim go before all that are late: who waits from a time of overload must not keep
        new jobs waiting, or they would be late as well, and the overload would outlive the load.
        """
        fill = (self.unread.size / self.room - FULL_FROM) / (1 - FULL_FROM)
        overdue = (self.unread.oldest(now, self.best_first) - LAST) / (DEAD_BY - LAST)
        more = (FULL_MORE - 1) * min(1.0, max(0.0, fill, overdue))
        refuse = min(0.5, self.s.refuse_share * (1 + more))
        drain = min(DRAIN_MOST, max(0.0, queue_s - self.s.target_s) / DRAIN_S)
        budget = left = self.trim * max(BUDGET_LEAST, 1 - refuse - drain)
        admitted = 0.0
        for band in sorted(self.bands, key=self._rank):
            wanted = band.rate * self.costs.cost_s[band.job_class]
            band.share = min(1.0, left / wanted) if wanted > NEAR else float(left > NEAR)
            left = max(0.0, left - band.share * wanted)
            admitted += band.share * band.rate
        mean_s = (budget - left) / admitted if admitted > NEAR else PRIOR_JOB_S
        # what is left over reads more: only what has been read is counted, so this finds the load's true size
        self.reads.rate = max(RATE_LEAST, admitted + left / mean_s)
        # and works off what waits from worse times, so that no overload outlives its load for long
        self.refusals.rate = max(RATE_LEAST, max(refuse, min(left, SPARE_MOST)) / self.costs.refusal_s)
        self.best_first = tuple(sorted(self.classes.values(), key=lambda c: self._rank(self.fresh[c.name])))

    def _rank(self, band: Band) -> tuple[bool, float]:
        return not band.fresh, -band.earns / self.costs.cost_s[band.job_class]

    def _spread(self) -> float:
        """A wait in [1/4, 1] of the longest; the 64 of one round fall in a stratum each."""
        if not self.strata:
            self.strata = list(range(STRATA))
            self.random.shuffle(self.strata)
        longest = self.s.retry_after_s or self.s.hold_s
        part = (self.strata.pop() + self.random.random()) / STRATA
        return longest * (EARLIEST + (1 - EARLIEST) * part)
