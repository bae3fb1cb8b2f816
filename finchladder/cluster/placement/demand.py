"""Demand by model and adapter, summed over the dispatchers' reports; without I/O and clock.

Rates are exponentially decayed averages. The last report of each dispatcher is stored, so that a new report
replaces its part of the sums in O(entries of the report), and so that the reports of dispatchers that stopped
reporting can be removed.
"""

from collections import Counter
from collections.abc import Hashable
from math import exp
from statistics import median
from typing import TypeVar

from attrs import define, field, frozen

from finchladder.cluster.types.messages import DemandReport
from finchladder.cluster.types.replicas import ReplicaKey

RATE_TIME_CONSTANT_S = 4.0
RECENT_TIME_CONSTANT_S = 1.0  # time constant of the short-term averages, from which trends are computed
TREND_WEIGHT = 0.5  # fraction of a rise above the long-term average that is added to the recent average
REPORT_EXPIRY_S = 3.0
MIN_TRACKED_RATE = 0.003  # an estimate below this number of requests per second may be removed
ESTIMATE_EXPIRY_S = 10 * RATE_TIME_CONSTANT_S  # minimum time from the last request to the removal
NEVER = -1e9  # value of `last_request_at` before the first request

CounterKey = TypeVar("CounterKey", bound=Hashable)


@frozen
class DemandKey:
    """A model of a service, or an adapter of that model."""

    service: str
    model: str
    adapter: str = ""


@define
class DemandEstimate:
    """Exponentially decayed averages for one key; rates are per second."""

    rate: float = 0.0
    recent_rate: float = 0.0
    tokens_per_s: float = 0.0
    recent_tokens_per_s: float = 0.0
    updated_at: float = 0.0
    smoothed_in_flight: float = 0.0  # moving average of the number of requests in flight
    last_request_at: float = NEVER

    def add_requests(self, now: float, requests: int, prompt_tokens: int) -> None:
        """Adds new requests to the averages; `decay` must have been called with the same time before."""
        self.rate += requests / RATE_TIME_CONSTANT_S
        self.tokens_per_s += prompt_tokens / RATE_TIME_CONSTANT_S
        self.recent_rate += requests / RECENT_TIME_CONSTANT_S
        self.recent_tokens_per_s += prompt_tokens / RECENT_TIME_CONSTANT_S
        self.last_request_at = now

    def decay(self, now: float, in_flight: int) -> None:
        """Decays the averages to the time `now`, and adds the current number of requests in flight."""
        elapsed_s = now - self.updated_at
        factor = exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        recent_factor = exp(-elapsed_s / RECENT_TIME_CONSTANT_S)
        self.rate *= factor
        self.tokens_per_s *= factor
        self.recent_rate *= recent_factor
        self.recent_tokens_per_s *= recent_factor
        self.smoothed_in_flight += (1 - factor) * (in_flight - self.smoothed_in_flight)
        self.updated_at = now

    def is_expired(self, now: float) -> bool:
        """Whether the estimate may be removed, since the last request is old and the rate has decayed."""
        return self.rate < MIN_TRACKED_RATE and now - self.last_request_at > ESTIMATE_EXPIRY_S


@frozen
class ExpectedDemand:
    """Requests and prompt tokens per second that are expected when a load that starts now completes."""

    rate: float
    tokens_per_s: float


NO_EXPECTED_DEMAND = ExpectedDemand(0.0, 0.0)


@define
class ReportedDemand:
    """Counts from the last report of one dispatcher, or their sums over all dispatchers."""

    received_at: float
    queued: Counter[DemandKey] = field(factory=Counter)
    in_flight: Counter[DemandKey] = field(factory=Counter)
    worker_loads: Counter[str] = field(factory=Counter)  # load by instance, in the unit of the reports
    # requests in flight at each replica, including those for adapters of its model
    replica_requests: Counter[ReplicaKey] = field(factory=Counter)


@define
class DemandTracker:
    """Tracks the demand for all services from the reports of all dispatchers."""

    estimates: dict[DemandKey, DemandEstimate] = field(factory=dict)
    reports: dict[str, ReportedDemand] = field(factory=dict)  # last report, by dispatcher name
    totals: ReportedDemand = field(factory=lambda: ReportedDemand(0.0))
    # Prefill time of one prompt token in seconds by service and dispatcher.
    prefill_reports: dict[str, dict[str, float]] = field(factory=dict)

    def add_report(self, now: float, report: DemandReport) -> None:
        """Adds a dispatcher's report, which replaces its previous one. O(entries of the report)."""
        reported = self._update_estimates(now, report)
        for service, s_per_token in report.prefill_s_per_token.items():
            self.prefill_reports.setdefault(service, {})[report.sender] = s_per_token
        self._remove_report(report.sender)
        self.reports[report.sender] = reported
        self.totals.queued.update(reported.queued)
        self.totals.in_flight.update(reported.in_flight)
        self.totals.worker_loads.update(reported.worker_loads)
        self.totals.replica_requests.update(reported.replica_requests)

    def _update_estimates(self, now: float, report: DemandReport) -> ReportedDemand:
        """Adds the new requests of a report to the estimates and returns its counts."""
        reported = ReportedDemand(now, worker_loads=Counter(report.worker_loads))
        for use in report.model_uses:
            reported.replica_requests[ReplicaKey(use.instance, use.model)] = use.requests
        for demand in report.demands:
            key = DemandKey(demand.service, demand.model, demand.adapter)
            if demand.requests:
                estimate = self.estimates.setdefault(key, DemandEstimate(updated_at=now))
                estimate.decay(now, self.in_flight(key))
                estimate.add_requests(now, demand.requests, demand.prompt_tokens)
            if demand.queued:
                reported.queued[key] = demand.queued
            if demand.in_flight:
                reported.in_flight[key] = demand.in_flight
        return reported

    def _remove_report(self, sender: str) -> None:
        """Subtracts a dispatcher's last report from the totals."""
        reported = self.reports.pop(sender, None)
        if reported is not None:
            _subtract(self.totals.queued, reported.queued)
            _subtract(self.totals.in_flight, reported.in_flight)
            _subtract(self.totals.worker_loads, reported.worker_loads)
            _subtract(self.totals.replica_requests, reported.replica_requests)

    def decay(self, now: float) -> None:
        """Decays all estimates and removes expired estimates and reports."""
        expired = [
            sender for sender, report in self.reports.items() if now - report.received_at > REPORT_EXPIRY_S
        ]
        for sender in expired:
            self._remove_report(sender)
        for key, estimate in list(self.estimates.items()):
            estimate.decay(now, self.in_flight(key))
            if estimate.is_expired(now):
                del self.estimates[key]

    def rate(self, key: DemandKey) -> float:
        """Average number of requests per second."""
        estimate = self.estimates.get(key)
        return 0.0 if estimate is None else estimate.rate

    def expected(self, key: DemandKey) -> ExpectedDemand:
        """Demand expected when a load that starts now completes."""
        estimate = self.estimates.get(key)
        if estimate is None:
            return NO_EXPECTED_DEMAND
        return ExpectedDemand(
            _extrapolate(estimate.rate, estimate.recent_rate),
            _extrapolate(estimate.tokens_per_s, estimate.recent_tokens_per_s),
        )

    def prefill_s_per_token(self, service: str) -> float:
        """Median of the prefill times per prompt token that dispatchers reported; 0 if none was reported."""
        by_dispatcher = self.prefill_reports.get(service)
        return median(by_dispatcher.values()) if by_dispatcher else 0.0

    def queued(self, key: DemandKey) -> int:
        """Last reported number of queued requests at all dispatchers together."""
        return self.totals.queued[key]

    def queued_keys(self) -> list[DemandKey]:
        """Keys with queued requests."""
        return list(self.totals.queued)

    def smoothed_in_flight(self, key: DemandKey) -> float:
        """Moving average of the number of requests in flight."""
        estimate = self.estimates.get(key)
        return 0.0 if estimate is None else estimate.smoothed_in_flight

    def in_flight(self, key: DemandKey) -> int:
        """Last reported number of requests in flight from all dispatchers together."""
        return self.totals.in_flight[key]

    def replica_requests(self, instance: str, model: str) -> int:
        """Last reported number of requests in flight for one model at one worker."""
        return self.totals.replica_requests[ReplicaKey(instance, model)]

    def peer_loads(self, sender: str) -> dict[str, int]:
        """Load by worker instance that all dispatchers except `sender` reported, in the reports' unit."""
        others = Counter(self.totals.worker_loads)
        if sender in self.reports:
            _subtract(others, self.reports[sender].worker_loads)
        return dict(others)

    def tracked_keys(self) -> set[DemandKey]:
        """Keys with an estimate, queued requests or requests in flight."""
        return set(self.estimates) | set(self.totals.queued) | set(self.totals.in_flight)


def _extrapolate(average: float, recent: float) -> float:
    """Adds part of a rise to the recent average; returns at least the long-term average."""
    return max(average, recent + TREND_WEIGHT * max(0.0, recent - average))


def _subtract(totals: Counter[CounterKey], counts: Counter[CounterKey]) -> None:
    """Subtracts counts in place and deletes entries that become 0."""
    for key, count in counts.items():
        totals[key] -= count
        if not totals[key]:
            del totals[key]
