"""Learned running times and work rates: the cost of a job, and the work rate of a warm worker."""

from finchladder.core.dispatch.records import Job, Worker
from finchladder.core.dispatch.state import DispatcherState
from finchladder.core.dispatch.worker_load import FETCH_COST_RUNS

SMOOTHING = 0.1  # weight of a new observation in a moving average
WARM_RATE_SMOOTHING = 0.3  # weight of a new observation of the work rate, made once per window


class WorkEstimates:
    """Moving averages of running times by class, and of the work rate of a worker past slow start."""

    def __init__(self, state: DispatcherState) -> None:
        self.state = state
        # for slow start, which must not take unknown work for none: begins with the latency targets
        self.mean_run_times_s = {c.name: c.latency_target_s for c in state.settings.classes}
        self.observed_run_times_s: dict[str, float] = {}  # of the classes of which a job has run to its end
        self.warm_rate = 0.0  # work of this dispatcher done by a warm worker, in seconds per second
        self.warm_work_s = 0.0  # work of all warm workers since `window_start`
        self.window_start = 0.0

    def mean_run_time_s(self) -> float:
        """Returns the mean of the running times of all classes, each with the same weight."""
        return sum(self.mean_run_times_s.values()) / len(self.mean_run_times_s)

    def expected_run_time_s(self, job_class: str) -> float:
        """Returns how long a job of the class is expected to run; 0 before the first one has run."""
        return self.observed_run_times_s.get(job_class, 0.0)

    def expected_mean_run_time_s(self) -> float:
        """Returns the mean of the expected running times of the classes that have run; 0 if none has."""
        run_times_s = self.observed_run_times_s.values()
        return sum(run_times_s) / len(run_times_s) if run_times_s else 0.0

    def remaining_work_s(self, job: Job) -> float:
        """Returns how long the job will run once it starts: its hint, else the mean of its class."""
        return self.expected_run_time_s(job.job_class.name) if job.work_hint_s is None else job.work_hint_s

    def cost_s(self, job: Job) -> float:
        """Returns the work of the job in slot seconds."""
        work_s = self.mean_run_times_s[job.job_class.name] if job.work_hint_s is None else job.work_hint_s
        return work_s * job.slots

    def slow_start_cost_s(self, job: Job, worker: Worker) -> float:
        """Returns the work of the job at a worker in slow start, including a fetch of the key's data."""
        must_fetch = job.key is not None and job.key not in worker.fetched_keys
        return self.cost_s(job) + (FETCH_COST_RUNS * self.mean_run_time_s() if must_fetch else 0.0)

    def record_run(self, job: Job, worker: Worker, run_time_s: float) -> None:
        """Records a job that has run to its end at the worker."""
        name = job.job_class.name
        observed_s = max(run_time_s, self.state.settings.clock_tick_s)
        self.mean_run_times_s[name] += SMOOTHING * (observed_s - self.mean_run_times_s[name])
        previous_s = self.observed_run_times_s.get(name, observed_s)
        self.observed_run_times_s[name] = previous_s + SMOOTHING * (observed_s - previous_s)
        self.state.worker_load.record_run(worker, job.job_class, run_time_s)
        if not self.state.worker_index.is_slow_starting(worker, self.state.now):
            self.warm_work_s += self.cost_s(job)

    def update_warm_rate(self) -> None:
        """If the window is over, updates the work rate, decays the key counts and starts a new window."""
        span_s = self.state.now - self.window_start
        if span_s < self.state.settings.overload_window_s:
            return
        warm_workers = self.state.worker_index.count_warm(self.state.now)
        if warm_workers and self.window_start:
            observed_rate = self.warm_work_s / warm_workers / span_s
            self.warm_rate += WARM_RATE_SMOOTHING * (observed_rate - self.warm_rate)
        self.warm_work_s = 0.0
        self.window_start = self.state.now
        self.state.key_frequency.decay()
