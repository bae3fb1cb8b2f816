"""Receives the dispatchers' demand reports at the placer."""

from attrs import define, field

from finchladder.cluster.placement.demand import DemandKey, DemandTracker
from finchladder.cluster.process.placer_lease import PlacerLeaseService
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.messages import DemandReply, DemandReport

MIN_REPORT_INTERVAL_MS = 400
MAX_REPORTS_PER_S = 150  # limit for the reports of all dispatchers together


@define
class DemandIntake:
    """Adds reports to the demand tracker; `demand_queued` fires when a report contains queued requests."""

    lease_service: PlacerLeaseService
    updates: UpdateServer
    tracker: DemandTracker = field(factory=DemandTracker)
    demand_queued: Signal = field(factory=Signal)
    _queued_since: dict[DemandKey, float] = field(factory=dict)

    def on_report(self, report: DemandReport) -> DemandReply:
        """Adds a dispatcher's report to the tracked demand."""
        self.tracker.add_report(steady(), report)
        if any(demand.queued for demand in report.demands):
            self._record_queued()
            self.demand_queued.fire()
        return DemandReply(
            self._report_interval_ms(), self.lease_service.is_held(), self.tracker.peer_loads(report.sender)
        )

    def _report_interval_ms(self) -> int:
        """Returns the report interval; it grows with the number of dispatchers to limit the placer's load."""
        dispatchers = max(1, self.updates.dispatcher_count())
        return max(MIN_REPORT_INTERVAL_MS, 1000 * dispatchers // MAX_REPORTS_PER_S)

    def _record_queued(self) -> None:
        now = steady()
        self._queued_since = {key: self._queued_since.get(key, now) for key in self.tracker.queued_keys()}

    def queued_for_s(self, key: DemandKey, now: float) -> float:
        """Returns the seconds for which requests have been queued for a model or adapter; 0 if none are."""
        return now - self._queued_since.get(key, now)
