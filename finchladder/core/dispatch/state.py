"""What the parts of a dispatcher share: its settings and clock, the records, and the indexes over them."""

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

SWEEPS_PER_TARGET = 20  # timer turns within the shortest latency target: queued jobs are placed at each
SWEEPS_PER_SCAN = 4  # open jobs are scanned at one timer turn in so many, which bounds the CPU time of scans
START_GRACE_TARGETS = 0.3  # shortest targets; a later start means a full worker (a handshake over zones: 0.2)
STALL_TARGETS = 3.0  # shortest targets without a report after which an attempt is taken for lost


class DispatcherState:
    """The records of workers and jobs, the clock, and what is derived from the records.

    `now` is the caller's clock. `observed_now` is the same less the event loop's stalls: what happened
    meanwhile could not be observed, and no worker is blamed for it. Both are seconds.
    """

    def __init__(self, settings: Settings, seed: int, pool_zones: tuple[str, ...]) -> None:
        self.settings = settings
        self.pool_zones = pool_zones
        self.random = Random(seed)
        self.classes = {job_class.name: job_class for job_class in settings.classes}
        self.sweep_interval_s = min(c.latency_target_s for c in settings.classes) / SWEEPS_PER_TARGET
        self.start_grace_s = START_GRACE_TARGETS * self.sweep_interval_s * SWEEPS_PER_TARGET
        self.stall_timeout_s = STALL_TARGETS * self.sweep_interval_s * SWEEPS_PER_TARGET
        self.now = 0.0
        self.observed_now = 0.0
        self.stalled_s = 0.0
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, Job] = {}
        self.actions: list[Action] = []  # of the event that is being handled
        self.health = OutlierEjection(settings, self.shortest_target_s)
        self.key_frequency = KeyFrequency(settings, seed)
        self.worker_load = WorkerLoad(settings)
        self.slow_start = SlowStart(settings)

    @property
    def shortest_target_s(self) -> float:
        """The shortest latency target of all classes."""
        return self.sweep_interval_s * SWEEPS_PER_TARGET

    def reindex(self) -> None:
        """Builds the indexes anew from the records; the open jobs must then be scheduled again."""
        kinds = [kind or None for kind in sorted({c.kind or "" for c in self.settings.classes})]
        self.worker_index = WorkerIndex(
            self.workers,
            kinds,
            self.settings.zone,
            self.settings.slow_start_s,
            SUSPECT_THRESHOLD,
            self.pool_zones,
        )
        self.job_schedule = JobSchedule(self.classes, self.sweep_interval_s)

    def advance(self, now: float, stalled_s: float) -> None:
        """Sets the clock; `stalled_s` of the time that has passed could not be observed."""
        self.now = now
        self.stalled_s += stalled_s
        self.observed_now = max(self.observed_now, now - self.stalled_s)

    def attempt(self, request: str, number: int) -> Attempt | None:
        """The attempt of an open job, None if there is no such."""
        attempts = self.jobs[request].attempts if request in self.jobs else []
        return attempts[number] if number < len(attempts) else None

    def silent_at(self, attempt: Attempt) -> float:
        """When an attempt in flight is taken for lost unless it is reported on; inf: it is not judged so.

        A busy worker with a job still unstarted is not silent as long as it reports on its other jobs.
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
