"""Demand in the fleet by model and adapter, summed over the dispatchers' reports and decayed; times are
passed in.
"""

from collections import Counter
from collections.abc import Hashable
from math import exp
from statistics import median
from typing import TypeVar

from attrs import define, field

from finchladder.cluster.types.messages import DemandReport
from finchladder.cluster.types.replicas import ReplicaKey

TIME_CONSTANT_S = 4.0
RECENT_S = 1.0  # the same, of what tells where demand goes
TREND = 0.5  # of what a figure has lately gained over its average, it is expected to gain again
REPORT_FORGOTTEN_S = 3.0
LEAST_RATE = 0.003  # below this a model counts as idle

Key = TypeVar("Key", bound=Hashable)


@define(frozen=True)
class Item:
    """A model, or an adapter of it."""

    service: str
    model: str
    adapter: str = ""


@define
class Figure:
    """Of one item. `rate`: requests a second, decayed; `waiting` and `running` as last reported."""

    rate: float = 0.0
    recent_rate: float = 0.0  # the same, over a shorter time
    tokens: float = 0.0  # a second
    recent_tokens: float = 0.0
    at: float = 0.0
    running: float = 0.0  # smoothed
    asked_at: float = -1e9

    def decay(self, now: float, running: int | None = None) -> None:
        """Brings the figures to that moment; `running`: how many run now."""
        factor = exp(-(now - self.at) / TIME_CONSTANT_S)
        self.rate *= factor
        self.tokens *= factor
        recent_factor = exp(-(now - self.at) / RECENT_S)
        self.recent_rate *= recent_factor
        self.recent_tokens *= recent_factor
        if running is not None:
            self.running += (1 - factor) * (running - self.running)
        self.at = now


@define(frozen=True)
class Expected:
    """Requests and prompt tokens a second."""

    rate: float
    tokens: float


def _ahead(average: float, recent: float) -> float:
    """Where a figure that rises will be when a load that begins now has ended; no lower than it was."""
    return max(average, recent + TREND * max(0.0, recent - average))


@define
class ReportedDemand:
    """The last report of one dispatcher."""

    at: float
    waiting: Counter[Item] = field(factory=Counter)
    running: Counter[Item] = field(factory=Counter)
    loads: Counter[str] = field(factory=Counter)  # requests in flight by worker instance
    uses: Counter[ReplicaKey] = field(factory=Counter)  # those of one model, its adapters included


@define
class DemandBook:
    """O(items in the report) for each report: sums over the dispatchers are kept, not made anew."""

    figures: dict[Item, Figure] = field(factory=dict)
    reported: dict[str, ReportedDemand] = field(factory=dict)
    total: ReportedDemand = field(factory=lambda: ReportedDemand(0.0))
    paces: dict[str, dict[str, float]] = field(factory=dict)  # seconds a token, by service and dispatcher

    def take(self, now: float, report: DemandReport) -> None:
        """A dispatcher's report."""
        uses = Counter({ReplicaKey(use.instance, use.model): use.requests for use in report.model_uses})
        reported = ReportedDemand(now, loads=Counter(report.worker_loads), uses=uses)
        for demand in report.demands:
            item = Item(demand.service, demand.model, demand.adapter)
            if demand.requests:
                figure = self.figures.setdefault(item, Figure(at=now))
                figure.decay(now, self.running_now(item))
                figure.rate += demand.requests / TIME_CONSTANT_S
                figure.tokens += demand.prompt_tokens / TIME_CONSTANT_S
                figure.recent_rate += demand.requests / RECENT_S
                figure.recent_tokens += demand.prompt_tokens / RECENT_S
                figure.asked_at = now
            if demand.queued:
                reported.waiting[item] = demand.queued
            if demand.in_flight:
                reported.running[item] = demand.in_flight
        for service, s_per_token in report.prefill_s_per_token.items():
            self.paces.setdefault(service, {})[report.sender] = s_per_token
        self._withdraw(report.sender)
        self.reported[report.sender] = reported
        self.total.waiting.update(reported.waiting)
        self.total.running.update(reported.running)
        self.total.loads.update(reported.loads)
        self.total.uses.update(reported.uses)

    def _withdraw(self, sender: str) -> None:
        """Takes a dispatcher's last report out of the sums."""
        reported = self.reported.pop(sender, None)
        if reported is not None:
            _subtract(self.total.waiting, reported.waiting)
            _subtract(self.total.running, reported.running)
            _subtract(self.total.loads, reported.loads)
            _subtract(self.total.uses, reported.uses)

    def settle(self, now: float) -> None:
        """Decays all figures and forgets idle items and silent dispatchers."""
        for sender in [s for s, reported in self.reported.items() if now - reported.at > REPORT_FORGOTTEN_S]:
            self._withdraw(sender)
        for item, figure in list(self.figures.items()):
            figure.decay(now, self.running_now(item))
            if figure.rate < LEAST_RATE and now - figure.asked_at > 10 * TIME_CONSTANT_S:
                del self.figures[item]

    def rate(self, item: Item) -> float:
        """Requests a second."""
        figure = self.figures.get(item)
        return 0.0 if figure is None else figure.rate

    def expected(self, item: Item) -> "Expected":
        """What is asked for soon."""
        figure = self.figures.get(item)
        if figure is None:
            return Expected(0.0, 0.0)
        return Expected(_ahead(figure.rate, figure.recent_rate), _ahead(figure.tokens, figure.recent_tokens))

    def s_per_token(self, service: str) -> float:
        """Seconds that an engine reads at one token of a prompt; 0: nobody knows."""
        known = self.paces.get(service)
        return median(known.values()) if known else 0.0

    def waiting(self, item: Item) -> int:
        """Requests that wait for it anywhere."""
        return self.total.waiting[item]

    def waited_for(self) -> list[Item]:
        """Items for which requests wait anywhere."""
        return list(self.total.waiting)

    def running(self, item: Item) -> float:
        """Requests of it that run anywhere, smoothed."""
        figure = self.figures.get(item)
        return 0.0 if figure is None else figure.running

    def running_now(self, item: Item) -> int:
        """Requests of it that run anywhere, as last reported."""
        return self.total.running[item]

    def uses(self, instance: str, model: str) -> int:
        """Requests of that model in flight at that worker, as last reported."""
        return self.total.uses[ReplicaKey(instance, model)]

    def loads_of_others(self, sender: str) -> dict[str, int]:
        """Requests in flight by worker instance that all but one dispatcher have reported of."""
        others = Counter(self.total.loads)
        if sender in self.reported:
            _subtract(others, self.reported[sender].loads)
        return dict(others)

    def items(self) -> set[Item]:
        """All that is asked for, waited for or running."""
        return set(self.figures) | set(self.total.waiting) | set(self.total.running)


def _subtract(sums: Counter[Key], part: Counter[Key]) -> None:
    """Takes a part out of sums; entries that become 0 go."""
    for key, count in part.items():
        sums[key] -= count
        if not sums[key]:
            del sums[key]
