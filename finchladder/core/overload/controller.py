"""Overload control: which new jobs are let in while the dispatcher's own loop can't keep up.

Only what has not become a flow is ever turned away: nothing here can name a job that was let in or sent.
Jobs are ranked by worth per CPU second of this dispatcher. While shedding, a budget of the loop's time is
dealt out from the top rank down, and whole messages wait unread until it allows them: the best class's newest
is read first. Each is turned away before its client has waited a part of the time that it would wait: whoever
asks is answered in time, whatever the load. Who waits is bounded by the connections that there are.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from heapq import heapify, heappop, heappush
from random import Random
from typing import Generic, NamedTuple, TypeVar

from finchladder.core.api import JobClass

TICK_S = 0.025  # tick() is to be called so often
INTERVAL_S = 0.1  # the least delay within it is the queue that stands (CoDel)
TICKS_LEAST = 2  # in an interval: one long step of the loop is no queue
SMOOTH = 0.5  # weight of an interval in the rates that come
LEARN = 0.1  # the same in what costs are learned from: a job's work is done over its whole running time
PRIOR_JOB_S = 1e-3  # of the loop's time, before anything is learned
LEARN_FROM = 0.1  # part of its time below which the loop's idle work would pass for the jobs'
COST_RANGE = 20.0  # a learned cost stays within so many times of the prior, up or down
TRIM_LEAST, TRIM_MOST = 0.3, 1.3  # bounds of what feedback makes of the budget
TRIM_DOWN, TRIM_UP, TRIM_IDLE = 0.01, 0.01, 0.2  # an interval; the last for each part of the time left idle
BUDGET_LEAST = 0.1
USED_UP = 0.97  # part of the time at work from which on nothing is left over for the late
DRAIN_S, DRAIN_MOST = 0.15, 0.7  # a queue that stands is worked off in so long, with so much of the time
TARGET_LEAST_S = 0.005
IN_TIME = 0.5  # part of its aim that a job may wait unread and still be served within it
IN_TURN = 0.2  # part of its aim that the oldest has waited at the most where jobs are read in turn
SOONER = 0.25  # part of its wait by which a job may be turned away before others
MARGIN_S = 0.05  # a client's last moments, in which an answer may come too late; late jobs: up to twice that
BURST_S = 0.02  # of reading at once, after a pause
RATE_LEAST = 50.0  # messages a second that are read whatever happens: learning must go on
STRATA = 64  # parts of the range of Retry-After; each is used once before any is used again
EARLIEST = 0.25  # of the longest Retry-After
NEAR = 1e-9

T = TypeVar("T")


class State(Enum):
    CALM = "calm"  # everything is let in
    SHED = "shed"


class Sign(Enum):
    STANDING = "standing"  # a queue stood for an interval and the loop was at work all the time
    EASED = "eased"  # nothing had to be turned away or wait, and no queue stood, for calm_s


TRANSITIONS = {
    (State.CALM, Sign.STANDING): State.SHED,
    (State.SHED, Sign.EASED): State.CALM,
}


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    target_share: float = 0.2  # of the shortest aim: a queue older than this for an interval is too long
    busy_from: float = 0.85  # part of its time for which the loop is at work; below it a delay is not its own
    wait_share: float = 0.7  # part of what its client will still wait for which a message may lie unread
    calm_s: float = 0.5
    retry_after_s: float = 2.0  # the longest that clients follow; 0: they are told nothing

    def __post_init__(self) -> None:
        bounds = {
            "target_share": (0.02, 0.5),
            "busy_from": (0.5, 1.0),
            "wait_share": (0.0, 0.9),
            "calm_s": (0.1, 1.5),
            "retry_after_s": (0.0, 60.0),
        }
        for name, (least, most) in bounds.items():
            if not least <= getattr(self, name) <= most:
                raise ValueError(f"overload: {name} must be from {least:g} to {most:g}")


class Turn(NamedTuple, Generic[T]):
    """What is to be read now or, with `worst`, turned away. None: ask after `wait_s`, and at a put()."""

    item: T | None = None
    worst: bool = False
    wait_s: float = 0.0


class Unread(Generic[T]):
    """What could be read and is left waiting: a queue a class of what can be in time, and one of the late.

    Items are kept with the time at which their client first asked, as far as known, and with the time by
    which they are to be turned away. All steps are O(classes), but for those times: O(log n). Holds an entry
    and at most five such times for each item, 64 at the least.
    """

    def __init__(self, classes: Sequence[JobClass]) -> None:
        # ordered: a plain dict looks for its first entry past all that were taken from there
        self.fresh: dict[str, OrderedDict[T, float]] = {c.name: OrderedDict() for c in classes}
        self.late: dict[str, OrderedDict[T, float]] = {c.name: OrderedDict() for c in classes}
        self.places: dict[T, tuple[OrderedDict[T, float], int]] = {}  # its queue, and its number in `due`
        self.due: list[tuple[float, int, T]] = []  # a heap; of an item only the entry with its number counts
        self.number = 0

    @property
    def size(self) -> int:
        return len(self.places)

    def add(self, now: float, c: JobClass, item: T, asked_at: float, due_at: float) -> None:
        queue = (self.fresh if now - asked_at < c.latency_target_s else self.late)[c.name]
        queue[item] = asked_at
        self.number += 1
        self.places[item] = queue, self.number
        heappush(self.due, (due_at, self.number, item))
        if len(self.due) > 64 + 4 * len(self.places):
            self.due = [d for d in self.due if self._counts(d)]
            heapify(self.due)

    def drop(self, item: T) -> None:
        """Its client has left; nothing happens where it waits no more."""
        if (place := self.places.pop(item, None)) is not None:
            del place[0][item]

    def best(self, now: float, best_first: Sequence[JobClass]) -> T | None:
        """Of the best class that has any which will be in time: the oldest, as long as none waits for long.

        Beyond that the newest, so that most wait hardly at all, and a few for ever, in place of all too long.
        """
        for c in best_first:
            queue = self.fresh[c.name]
            while queue and now - queue[item := next(iter(queue))] >= IN_TIME * c.latency_target_s:
                self.late[c.name][item] = queue.pop(item)
                self.places[item] = self.late[c.name], self.places[item][1]
            if queue:
                if now - queue[item] >= IN_TURN * c.latency_target_s:
                    item = next(reversed(queue))
                self.drop(item)
                return item
        return None

    def late_best(self, best_first: Sequence[JobClass]) -> T | None:
        """The newest of the best class, whether it will be in time or not."""
        for c in best_first:
            if queue := self.late[c.name] or self.fresh[c.name]:
                item = next(reversed(queue))
                self.drop(item)
                return item
        return None

    def overdue(self, now: float) -> T | None:
        """What is to be turned away by now, the first in time."""
        while self.due and (self.due[0][0] <= now or not self._counts(self.due[0])):
            entry = heappop(self.due)
            if self._counts(entry):
                self.drop(entry[2])
                return entry[2]
        return None

    def worst(self, best_first: Sequence[JobClass]) -> T | None:
        """The oldest of the worst class, the late before those who may still be in time."""
        for queues in (self.late, self.fresh):
            for c in reversed(best_first):
                if queue := queues[c.name]:
                    item = next(iter(queue))
                    self.drop(item)
                    return item
        return None

    def _counts(self, entry: tuple[float, int, T]) -> bool:
        place = self.places.get(entry[2])
        return place is not None and place[1] == entry[1]


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
    """Seconds of the loop that a job of each class takes, learned from how long it was at work (NLMS).

    What all jobs took together is the only thing known; a class's part is told by how their rates differ.
    Classes whose rates never differ share it by their rates.
    """

    def __init__(self, names: Sequence[str]) -> None:
        self.cost_s = dict.fromkeys(names, PRIOR_JOB_S)
        self.rate = dict.fromkeys(names, 0.0)
        self.busy = 0.0  # part of the time that jobs took, smoothed like their rates

    def learn(self, rates: dict[str, float], busy: float) -> None:
        self.busy += LEARN * (busy - self.busy)
        for name in self.rate:
            self.rate[name] += LEARN * (rates[name] - self.rate[name])
        power = sum(r * r for r in self.rate.values())
        if self.busy < LEARN_FROM or power < NEAR:
            return
        error = self.busy - sum(r * self.cost_s[n] for n, r in self.rate.items())
        for n, r in self.rate.items():
            cost_s = self.cost_s[n] + LEARN * error * r / power
            self.cost_s[n] = min(max(cost_s, PRIOR_JOB_S / COST_RANGE), PRIOR_JOB_S * COST_RANGE)


class Overload(Generic[T]):
    """Holds two bands and one cost a class, 64 strata, and what waits unread.

    Every call is O(classes), but for putting and taking: O(log n) of what waits.
    """

    def __init__(self, classes: Sequence[JobClass], settings: OverloadSettings, seed: int) -> None:
        self.s = settings
        self.target_s = max(TARGET_LEAST_S, settings.target_share * min(c.latency_target_s for c in classes))
        self.unread: Unread[T] = Unread(classes)
        self.random = Random(seed)
        self.classes = {c.name: c for c in classes}
        self.fresh = {c.name: Band(c.name, True, c.value) for c in classes}
        self.late = {c.name: Band(c.name, False, c.value * c.late_value_share) for c in classes}
        self.bands = [*self.fresh.values(), *self.late.values()]
        self.costs = Costs([c.name for c in classes])
        self.state, self.changed_at = State.CALM, 0.0
        self.admitted = {c.name: 0 for c in classes}
        self.away_s, self.away = 0.0, 0.0  # turning away: seconds in this interval, part of the time
        self.delay_s = 0.0
        self.least_s, self.busy_sum, self.ticks, self.since = float("inf"), 0.0, 0, 0.0
        self.good_at, self.above = 0.0, 0  # when there was no such queue last; ticks since then
        self.trim = 1.0
        self.kept_out_at = 0.0  # when something was last turned away or left unread
        self.reads = Bucket(0.0)
        self.spare = False  # those who can be in time leave something over
        self.best_first = tuple(self.classes.values())
        self.strata: list[int] = []

    def judge(self, now: float, job_class: str, left_s: float) -> float | None:
        """Of a job that was read without waiting here, once its head is known and before there is a flow.

        None: let in; else Retry-After in seconds, 0 for none. `left_s`: the rest of its client's patience.
        """
        band = self._band(job_class, left_s)
        band.arrived += 1
        # one whose client will have gone by the time it is looked at is not worth its work
        if self.state is State.CALM or (left_s > self.delay_s and band.take()):
            self.admitted[job_class] += 1
            return None
        return self.refuse(now)

    def refuse(self, now: float) -> float:
        """Retry-After in seconds, 0 for none. Also to be called for each `worst` turn."""
        self.kept_out_at = now
        return self._spread() if self.s.retry_after_s else 0.0

    def turned_away(self, took_s: float) -> None:
        """Seconds of the loop that went into what was not let in."""
        self.away_s += took_s

    @property
    def gated(self) -> bool:
        """Whether what can be read is to be put here first."""
        return self.state is State.SHED or self.unread.size > 0

    def put(self, now: float, job_class: str, left_s: float, item: T) -> None:
        """A whole message of that class can be read.

        `left_s`: the rest of its client's patience, by what it says and by when it came.
        """
        c = self.classes[job_class]
        band = self._band(job_class, left_s)
        band.arrived += 1
        # some sooner than others: those who came together are not to be turned away, and come back, together;
        # who comes back late has mostly been turned away before, and is not to be again and again
        early, wait_s = self.random.random(), left_s - MARGIN_S
        if band.fresh:
            wait_s = min(wait_s, self.s.wait_share * (1 - SOONER * early) * left_s)
        else:
            wait_s -= MARGIN_S * early
        self.unread.add(now, c, item, min(now, now - c.deadline_s + left_s), now + wait_s)

    def drop(self, item: T) -> None:
        self.unread.drop(item)

    def worst(self) -> T | None:
        """What is to be turned away so that another can be heard at all."""
        return self.unread.worst(self.best_first)

    def take(self, now: float) -> Turn[T]:
        if not self.unread.places:
            return Turn()
        if (item := self.unread.overdue(now)) is not None:
            return Turn(item, worst=True)
        if self.state is State.CALM:
            return Turn(self.unread.late_best(self.best_first))
        wait_s = self.reads.wait_s(now)
        if wait_s <= 0:
            if (item := self.unread.best(now, self.best_first)) is None and self.spare:
                item = self.unread.late_best(self.best_first)
            if item is not None:
                self.reads.tokens -= 1
                return Turn(item)
            wait_s = TICK_S
        self.kept_out_at = now
        return Turn(wait_s=wait_s)

    def let_in(self, job_class: str) -> None:
        """To be called for what a turn named to be read, once it is."""
        self.admitted[job_class] += 1

    def tick(self, now: float, lag_s: float, busy: float, age_s: float) -> None:
        """The loop's lag, the part of the time since the last tick that it was at work, and a queue's age.

        That is the age of work which waits for this loop as far as it can tell: where it was at work all the
        time, starts that come late are its own fault.
        """
        self.delay_s = max(lag_s, age_s) if busy >= self.s.busy_from else 0.0
        self.least_s = min(self.least_s, self.delay_s)
        self.busy_sum += busy
        self.ticks += 1
        if self.delay_s <= self.target_s:
            self.good_at, self.above = now, 0
        self.above += self.delay_s > self.target_s
        begins = self.state is State.CALM and self.above >= TICKS_LEAST and now - self.good_at >= INTERVAL_S
        if begins or (self.ticks >= TICKS_LEAST and now - self.since >= INTERVAL_S - TICK_S / 2):
            self._interval(now, max(now - self.since, TICK_S), self.busy_sum / self.ticks, begins)
            self.least_s, self.busy_sum, self.ticks, self.since = float("inf"), 0.0, 0, now

    def _band(self, job_class: str, left_s: float) -> Band:
        c = self.classes[job_class]
        return (self.fresh if c.deadline_s - left_s < c.latency_target_s else self.late)[job_class]

    def _interval(self, now: float, span_s: float, busy: float, begins: bool) -> None:
        for band in self.bands:
            new = band.arrived / span_s
            band.rate += (1.0 if self.state is State.CALM else SMOOTH) * (new - band.rate)
            band.arrived = 0
        rates = {n: k / span_s for n, k in self.admitted.items()}
        self.costs.learn(rates, busy - self.away_s / span_s)
        self.away += SMOOTH * (self.away_s / span_s - self.away)
        self.admitted = dict.fromkeys(self.admitted, 0)
        self.away_s = 0.0
        if begins:
            self._go(Sign.STANDING, now)
        elif self.state is State.CALM:
            return
        elif self.least_s > self.target_s:
            self.trim *= 1 - TRIM_DOWN * min(3.0, self.least_s / self.target_s)
            self.kept_out_at = now
        elif self.least_s < self.target_s / 2:
            self.trim += TRIM_UP + TRIM_IDLE * max(0.0, 1 - busy)
        self.trim = min(max(self.trim, TRIM_LEAST), TRIM_MOST)
        self._deal(self.least_s, busy)
        if now - max(self.kept_out_at, self.changed_at) >= self.s.calm_s:
            self._go(Sign.EASED, now)

    def _go(self, sign: Sign, now: float) -> None:
        self.state, self.changed_at = TRANSITIONS[self.state, sign], now
        self.trim, self.kept_out_at = 1.0, now
        self.reads = Bucket(now)
        for band in self.bands:
            band.share, band.credit = 1.0, 0.0

    def _deal(self, queue_s: float, busy: float) -> None:
        """Deals the budget out to the bands, the best worth for its work first, and paces the reading by it.

        Those within their aim go before all that are late: who waits from a time of overload must not keep
        new jobs waiting, or they would be late as well, and the overload would outlive the load.
        """
        drain = min(DRAIN_MOST, max(0.0, queue_s - self.target_s) / DRAIN_S)
        budget = left = self.trim * max(BUDGET_LEAST, 1 - self.away - drain)
        admitted = 0.0
        for band in sorted(self.bands, key=self._rank):
            wanted = band.rate * self.costs.cost_s[band.job_class]
            band.share = min(1.0, left / wanted) if wanted > NEAR else float(left > NEAR)
            left = max(0.0, left - band.share * wanted)
            admitted += band.share * band.rate
        mean_s = (budget - left) / admitted if admitted > NEAR else PRIOR_JOB_S
        # what is left over works off what waits, so that no overload outlives its load for long; but the late
        # earn little, and those who may still come in time must not wait behind them
        self.spare = left > NEAR and busy < USED_UP
        self.reads.rate = max(RATE_LEAST, admitted + left / mean_s)
        self.best_first = tuple(sorted(self.classes.values(), key=lambda c: self._rank(self.fresh[c.name])))

    def _rank(self, band: Band) -> tuple[bool, float]:
        return not band.fresh, -band.earns / self.costs.cost_s[band.job_class]

    def _spread(self) -> float:
        """A wait in [1/4, 1] of the longest; the 64 of one round fall in a stratum each."""
        if not self.strata:
            self.strata = list(range(STRATA))
            self.random.shuffle(self.strata)
        part = (self.strata.pop() + self.random.random()) / STRATA
        return self.s.retry_after_s * (EARLIEST + (1 - EARLIEST) * part)
