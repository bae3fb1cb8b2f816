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

RATE_TIME_CONSTANT_S = 4.0
RECENT_TIME_CONSTANT_S = 1.0  # the same, of what tells where demand goes
TREND_WEIGHT = 0.5  # of what a figure has lately gained over its average, it is expected to gain again
REPORT_EXPIRY_S = 3.0
MIN_TRACKED_RATE = 0.003  # below this a model counts as idle

Key = TypeVar("Key", bound=Hashable)


@define(frozen=True)
class DemandKey:
    """A model, or an adapter of it."""

    service: str
    model: str
    adapter: str = ""


@define
class DemandEstimate:
    """Of one item. `rate`: requests a second, decayed; `waiting` and `running` as last reported."""

    rate: float = 0.0
    recent_rate: float = 0.0  # the same, over a shorter time
    tokens_per_s: float = 0.0  # a second
    recent_tokens_per_s: float = 0.0
    updated_at: float = 0.0
    running: float = 0.0  # smoothed
    last_request_at: float = -1e9

    def decay(self, now: float, running: int | None = None) -> None:
        """Brings the figures to that moment; `running`: how many run now."""
        factor = exp(-(now - self.updated_at) / RATE_TIME_CONSTANT_S)
        self.rate *= factor
        self.tokens_per_s *= factor
        recent_factor = exp(-(now - self.updated_at) / RECENT_TIME_CONSTANT_S)
        self.recent_rate *= recent_factor
        self.recent_tokens_per_s *= recent_factor
        if running is not None:
            self.running += (1 - factor) * (running - self.running)
        self.updated_at = now


@define(frozen=True)
class ExpectedDemand:
    """Requests and prompt tokens a second."""

    rate: float
    tokens_per_s: float


def _extrapolate(average: float, recent: float) -> float:
    """Where a figure that rises will be when a load that begins now has ended; no lower than it was."""
    return max(average, recent + TREND_WEIGHT * max(0.0, recent - average))


@define
class ReportedDemand:
    """The last report of one dispatcher."""

    received_at: float
    queued: Counter[DemandKey] = field(factory=Counter)
    running: Counter[DemandKey] = field(factory=Counter)
    worker_loads: Counter[str] = field(factory=Counter)  # requests in flight by worker instance
    replica_requests: Counter[ReplicaKey] = field(
        factory=Counter
    )  # those of one model, its adapters included


@define
class DemandTracker:
    """O(items in the report) for each report: sums over the dispatchers are kept, not made anew."""

    estimates: dict[DemandKey, DemandEstimate] = field(factory=dict)
    reports: dict[str, ReportedDemand] = field(factory=dict)
    totals: ReportedDemand = field(factory=lambda: ReportedDemand(0.0))
    prefill_reports: dict[str, dict[str, float]] = field(
        factory=dict
    )  # seconds a token, by service and dispatcher

    def add_report(self, now: float, report: DemandReport) -> None:
        """A dispatcher's report."""
        uses = Counter({ReplicaKey(use.instance, use.model): use.requests for use in report.model_uses})
        reported = ReportedDemand(now, worker_loads=Counter(report.worker_loads), replica_requests=uses)
        for demand in report.demands:
            item = DemandKey(demand.service, demand.model, demand.adapter)
            if demand.requests:
                figure = self.estimates.setdefault(item, DemandEstimate(updated_at=now))
                figure.decay(now, self.running_now(item))
                figure.rate += demand.requests / RATE_TIME_CONSTANT_S
                figure.tokens_per_s += demand.prompt_tokens / RATE_TIME_CONSTANT_S
                figure.recent_rate += demand.requests / RECENT_TIME_CONSTANT_S
                figure.recent_tokens_per_s += demand.prompt_tokens / RECENT_TIME_CONSTANT_S
                figure.last_request_at = now
            if demand.queued:
                reported.queued[item] = demand.queued
            if demand.in_flight:
                reported.running[item] = demand.in_flight
        for service, s_per_token in report.prefill_s_per_token.items():
            self.prefill_reports.setdefault(service, {})[report.sender] = s_per_token
        self._remove_report(report.sender)
        self.reports[report.sender] = reported
        self.totals.queued.update(reported.queued)
        self.totals.running.update(reported.running)
        self.totals.worker_loads.update(reported.worker_loads)
        self.totals.replica_requests.update(reported.replica_requests)

    def _remove_report(self, sender: str) -> None:
        """Takes a dispatcher's last report out of the sums."""
        reported = self.reports.pop(sender, None)
        if reported is not None:
            _subtract(self.totals.queued, reported.queued)
            _subtract(self.totals.running, reported.running)
            _subtract(self.totals.worker_loads, reported.worker_loads)
            _subtract(self.totals.replica_requests, reported.replica_requests)

    def decay(self, now: float) -> None:
        """Decays all figures and forgets idle items and silent dispatchers."""
        for sender in [
            s for s, reported in self.reports.items() if now - reported.received_at > REPORT_EXPIRY_S
        ]:
            self._remove_report(sender)
        for item, figure in list(self.estimates.items()):
            figure.decay(now, self.running_now(item))
            if figure.rate < MIN_TRACKED_RATE and now - figure.last_request_at > 10 * RATE_TIME_CONSTANT_S:
                del self.estimates[item]

    def rate(self, key: DemandKey) -> float:
        """Requests a second."""
        figure = self.estimates.get(key)
        return 0.0 if figure is None else figure.rate

    def expected(self, key: DemandKey) -> "ExpectedDemand":
        """What is asked for soon."""
        figure = self.estimates.get(key)
        if figure is None:
            return ExpectedDemand(0.0, 0.0)
        return ExpectedDemand(
            _extrapolate(figure.rate, figure.recent_rate),
            _extrapolate(figure.tokens_per_s, figure.recent_tokens_per_s),
        )

    def prefill_s_per_token(self, service: str) -> float:
        """Seconds that an engine reads at one token of a prompt; 0: nobody knows."""
        known = self.prefill_reports.get(service)
        return median(known.values()) if known else 0.0

    def queued(self, key: DemandKey) -> int:
        """Requests that wait for it anywhere."""
        return self.totals.queued[key]

    def queued_keys(self) -> list[DemandKey]:
        """Items for which requests wait anywhere."""
        return list(self.totals.queued)

    def running(self, key: DemandKey) -> float:
        """Requests of it that run anywhere, smoothed."""
        figure = self.estimates.get(key)
        return 0.0 if figure is None else figure.running

    def running_now(self, key: DemandKey) -> int:
        """Requests of it that run anywhere, as last reported."""
        return self.totals.running[key]

    def replica_requests(self, instance: str, model: str) -> int:
        """Requests of that model in flight at that worker, as last reported."""
        return self.totals.replica_requests[ReplicaKey(instance, model)]

    def peer_loads(self, sender: str) -> dict[str, int]:
        """Requests in flight by worker instance that all but one dispatcher have reported of."""
        others = Counter(self.totals.worker_loads)
        if sender in self.reports:
            _subtract(others, self.reports[sender].worker_loads)
        return dict(others)

    def tracked_keys(self) -> set[DemandKey]:
        """All that is asked for, waited for or running."""
        return set(self.estimates) | set(self.totals.queued) | set(self.totals.running)


def _subtract(sums: Counter[Key], part: Counter[Key]) -> None:
    """Takes a part out of sums; entries that become 0 go."""
    for key, count in part.items():
        sums[key] -= count
        if not sums[key]:
            del sums[key]
