"""Demand in the fleet by model and adapter, summed over the dispatchers' reports and decayed; times are
passed in.
"""

from math import exp

from attrs import define, field

from finchladder.cluster.types.messages import DemandReport

TIME_CONSTANT_S = 4.0
REPORT_FORGOTTEN_S = 3.0
LEAST_RATE = 0.003  # below this a model counts as idle


@define(frozen=True)
class Item:
    """A model, or an adapter of it."""

    service: str
    model: str
    adapter: str = ""


@define
class Figure:
    """Of one item. `rate`: requests a second, decayed; `waiting` and `running` as last told."""

    rate: float = 0.0
    tokens: float = 0.0  # a second
    at: float = 0.0
    running: float = 0.0  # smoothed
    asked_at: float = -1e9

    def decay(self, now: float, running: int | None = None) -> None:
        """Brings the figures to that moment; `running`: how many run now."""
        factor = exp(-(now - self.at) / TIME_CONSTANT_S)
        self.rate *= factor
        self.tokens *= factor
        if running is not None:
            self.running += (1 - factor) * (running - self.running)
        self.at = now


@define
class Told:
    """The last report of one dispatcher."""

    at: float
    waiting: dict[Item, int]
    running: dict[Item, int]


@define
class DemandBook:
    """O(items in the report) for each report."""

    figures: dict[Item, Figure] = field(factory=dict)
    told: dict[str, Told] = field(factory=dict)

    def take(self, now: float, report: DemandReport) -> None:
        """A dispatcher's report."""
        waiting: dict[Item, int] = {}
        running: dict[Item, int] = {}
        for demand in report.demands:
            item = Item(demand.service, demand.model, demand.adapter)
            if demand.asked:
                figure = self.figures.setdefault(item, Figure(at=now))
                figure.decay(now, self._running_now(item))
                figure.rate += demand.asked / TIME_CONSTANT_S
                figure.tokens += demand.tokens / TIME_CONSTANT_S
                figure.asked_at = now
            if demand.waiting:
                waiting[item] = demand.waiting
            if demand.running:
                running[item] = demand.running
        self.told[report.sender] = Told(now, waiting, running)

    def settle(self, now: float) -> None:
        """Decays all figures and forgets idle items and silent dispatchers."""
        for sender in [s for s, told in self.told.items() if now - told.at > REPORT_FORGOTTEN_S]:
            del self.told[sender]
        for item, figure in list(self.figures.items()):
            figure.decay(now, self._running_now(item))
            if figure.rate < LEAST_RATE and now - figure.asked_at > 10 * TIME_CONSTANT_S:
                del self.figures[item]

    def rate(self, item: Item) -> float:
        """Requests a second."""
        figure = self.figures.get(item)
        return 0.0 if figure is None else figure.rate

    def waiting(self, item: Item) -> int:
        """Requests that wait for it anywhere."""
        return sum(told.waiting.get(item, 0) for told in self.told.values())

    def running(self, item: Item) -> float:
        """Requests of it that run anywhere, smoothed."""
        figure = self.figures.get(item)
        return 0.0 if figure is None else figure.running

    def _running_now(self, item: Item) -> int:
        return sum(told.running.get(item, 0) for told in self.told.values())

    def items(self) -> set[Item]:
        """All that is asked for or waited for."""
        found = set(self.figures)
        for told in self.told.values():
            found.update(told.waiting)
        return found
