"""Learning from the outcomes of attempts: load thresholds, running times and worker health."""

from finchladder.core.api import Ended, Ending
from finchladder.core.dispatch.records import Attempt, Job, Worker
from finchladder.core.dispatch.state import DispatcherState
from finchladder.core.dispatch.work_estimates import SMOOTHING, WorkEstimates
from finchladder.core.health.outlier_ejection import SIGNAL_BY_ENDING, AttemptSignal

MIN_LOAD_THRESHOLD = 1.0  # slots
THRESHOLD_DECREASE = 0.7  # factor, applied when a worker turns out to be full
THRESHOLD_INCREASE = 0.25  # slots, added when a worker near its threshold is not full
MIN_BACKOFF_S = 0.06  # duration of the first backoff of a full worker
MAX_BACKOFF_DOUBLINGS = 4


class OutcomeLearning:
    """Updates worker records and estimates from the starts and endings of attempts."""

    def __init__(self, state: DispatcherState, estimates: WorkEstimates) -> None:
        self.state = state
        self.estimates = estimates
        # moving average: share of placements that found no worker, or one that rejected the job
        self.full_share = 0.0

    def record_placement(self, is_placed: bool) -> None:
        """Records the result of a placement: `is_placed` if the job was sent or answered, not queued."""
        self.full_share += SMOOTHING * ((not is_placed) - self.full_share)

    def record_start(self, attempt: Attempt) -> None:
        """Records that an attempt has started at its worker."""
        state = self.state
        attempt.started_at = state.observed_now
        attempt.worker.unstarted_attempts.pop(attempt, None)
        delay_s = state.observed_now - attempt.observed_sent_at
        self._adapt_threshold(attempt.worker, delay_s > state.start_grace_s)

    def record_ending(self, job: Job, attempt: Attempt, event: Ended) -> None:
        """Records that an attempt has ended."""
        worker = attempt.worker
        if event.ending in (Ending.OK, Ending.ERROR, Ending.OVERLOADED):
            worker.last_report_at = self.state.observed_now
        if event.ending is Ending.OVERLOADED:
            self.full_share += SMOOTHING * (1 - self.full_share)
            self._adapt_threshold(worker, is_full=True)
        elif event.ending is Ending.OK:
            self._record_success(job, attempt)
        elif event.ending in SIGNAL_BY_ENDING:
            self.record_signal(job, attempt, SIGNAL_BY_ENDING[event.ending])

    def _record_success(self, job: Job, attempt: Attempt) -> None:
        begun_at = attempt.observed_sent_at if attempt.started_at is None else attempt.started_at
        run_time_s = self.state.observed_now - begun_at
        self.estimates.record_run(job, attempt.worker, run_time_s)
        self.record_signal(job, attempt, AttemptSignal.GOOD, run_time_s)
        for other in job.attempts:
            if other.ending is None and other.sent_at < attempt.sent_at:
                self.record_signal(job, other, AttemptSignal.OVERTAKEN)
        if not self.state.settings.reports_start:
            self._adapt_threshold(attempt.worker, is_full=False)

    def record_signal(
        self, job: Job, attempt: Attempt, signal: AttemptSignal, run_time_s: float = 0.0
    ) -> None:
        """Passes a signal to outlier detection. `run_time_s`: how long the attempt ran, 0 if unknown."""
        state = self.state
        state.health.record_ending(
            state.now, attempt.worker, job.job_class, signal, attempt.sent_at, run_time_s, state.worker_index
        )

    def _adapt_threshold(self, worker: Worker, is_full: bool) -> None:
        """Lowers the load threshold and starts a backoff if `is_full`; else raises it if the load is near."""
        if is_full:
            threshold = min(worker.load_threshold, worker.load) * THRESHOLD_DECREASE
            worker.load_threshold = max(MIN_LOAD_THRESHOLD, threshold)
            doublings = min(worker.backoff_count, MAX_BACKOFF_DOUBLINGS)
            worker.backoff_until = self.state.now + MIN_BACKOFF_S * 2**doublings
            worker.backoff_count += 1
        else:
            worker.backoff_count = 0
            if worker.load >= worker.load_threshold - 1:
                worker.load_threshold += THRESHOLD_INCREASE
