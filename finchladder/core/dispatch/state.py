"""State shared by the components of a dispatcher: settings, clock, records and indexes."""

from math import inf
from random import Random

from finchladder.core.api import Action, Settings
from finchladder.core.dispatch.job_schedule import JobSchedule
from finchladder.core.dispatch.key_frequency import KeyFrequency
from finchladder.core.dispatch.records import Attempt, Job, Worker
from finchladder.core.dispatch.worker_index import WorkerIndex
from finchladder.core.dispatch.worker_load import WorkerLoad
from finchladder.core.health.outlier_ejection import SUSPECT_THRESHOLD, OutlierEjection
from finchladder.core.health.slow_start import SlowStart

SWEEP_INTERVAL_S = 0.015  # each sweep places queued jobs, for example after the backoff of a worker
SWEEPS_PER_SCAN = 4  # sweeps from one scan of the open jobs to the next; bounds the CPU time of scans
# A worker is considered full if the start of an attempt is delayed by more than this fraction of the shortest
# latency target. A connection handshake across zones takes 0.2 of it.
START_GRACE_TARGETS = 0.3
# An attempt counts as stalled after this many times the shortest latency target without a report.
STALL_TARGETS = 3.0


class DispatcherState:
    """The records of workers and jobs, the clock, and what is derived from the records.

    `now` is the caller's clock. `observed_now` is the same clock without event loop stalls: events that occur
    during a stall are observed late, and that delay must not be attributed to a worker. Both are in seconds.
    """

    def __init__(self, settings: Settings, seed: int, pool_zones: tuple[str, ...]) -> None:
        self.settings = settings
        self.pool_zones = pool_zones
        self.random = Random(seed)
        self.classes = {job_class.name: job_class for job_class in settings.classes}
        self.shortest_target_s = min(c.latency_target_s for c in settings.classes)
        self.start_grace_s = START_GRACE_TARGETS * self.shortest_target_s
        self.stall_timeout_s = STALL_TARGETS * self.shortest_target_s
        self.now = 0.0
        self.observed_now = 0.0
        self.stalled_s = 0.0  # total duration of the event loop stalls so far
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, Job] = {}
        self.actions: list[Action] = []  # actions of the event that is being handled
        self.health = OutlierEjection(settings, self.shortest_target_s)
        self.key_frequency = KeyFrequency(settings, seed)
        self.worker_load = WorkerLoad(settings)
        self.slow_start = SlowStart(settings)

    def reindex(self) -> None:
        """Rebuilds the indexes from the records; the caller must then schedule the open jobs again."""
        kinds = [kind or None for kind in sorted({c.kind or "" for c in self.settings.classes})]
        self.worker_index = WorkerIndex(
            self.workers,
            kinds,
            self.settings.zone,
            self.settings.slow_start_s,
            SUSPECT_THRESHOLD,
            self.pool_zones,
        )
        self.job_schedule = JobSchedule(self.classes, SWEEP_INTERVAL_S)

    def advance_clock(self, now: float, stalled_s: float) -> None:
        """Advances the clock. `stalled_s`: duration of event loop stalls since the last event in seconds."""
        self.now = now
        self.stalled_s += stalled_s
        self.observed_now = max(self.observed_now, now - self.stalled_s)

    def attempt(self, request: str, number: int) -> Attempt | None:
        """Returns an attempt by the id of its request and its number, None if there is none."""
        attempts = self.jobs[request].attempts if request in self.jobs else []
        return attempts[number] if number < len(attempts) else None

    def stall_due_at(self, attempt: Attempt) -> float:
        """Returns when an attempt becomes stalled unless the worker reports on it; inf if it cannot stall.

        An unstarted attempt does not stall while the worker reports on other jobs: the worker may just be
        busy.
        """
        settings = self.settings
        is_reported_on = settings.reports_start and (not attempt.started_at or settings.progress_interval_s)
        if attempt.ending is not None or attempt.is_stalled or not is_reported_on:
            return inf
        if attempt.started_at:
            last_report_at = attempt.last_report_at + settings.progress_interval_s
        else:
            last_report_at = max(attempt.observed_sent_at, attempt.worker.last_report_at)
        return self.stalled_s + last_report_at + self.stall_timeout_s
