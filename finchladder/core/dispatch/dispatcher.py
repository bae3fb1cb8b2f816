"""The dispatcher: turns events into actions, both defined in `core.api`. It has no clock, socket or thread.

`placement` implements worker selection, and `rules` decides whether a job may be sent at all. This module
implements the lifecycle of a job from its request to its answer: every attempt is sent by `_send`, and every
answer that the dispatcher itself gives is sent by `_finish`.
"""

from collections.abc import Callable, Iterable
from typing import Any

from finchladder.core.api import (
    Action,
    Cancel,
    ClientDisconnected,
    Effect,
    Ended,
    Event,
    Fail,
    JobClass,
    LimitUpdate,
    LoopStall,
    PeerMessage,
    Progress,
    Reject,
    Request,
    Send,
    SetTimer,
    Settings,
    Started,
    Timer,
    WorkerList,
)
from finchladder.core.dispatch.endpoint_list import EndpointList
from finchladder.core.dispatch.job_queues import JobQueues
from finchladder.core.dispatch.job_scan import JobScan
from finchladder.core.dispatch.outcomes import OutcomeLearning
from finchladder.core.dispatch.placement import Placement
from finchladder.core.dispatch.records import Attempt, Job, Worker
from finchladder.core.dispatch.rules import SendingRules
from finchladder.core.dispatch.state import SWEEP_INTERVAL_S, SWEEPS_PER_SCAN, DispatcherState
from finchladder.core.dispatch.tenant_rates import TenantQuotas
from finchladder.core.dispatch.work_estimates import WorkEstimates
from finchladder.core.dispatch.worker_index import PoolIndex, WorkerIndex
from finchladder.core.dispatch.worker_load import WorkerLoad
from finchladder.core.health.outlier_ejection import AttemptSignal

SWEEP_TIMER, DEADLINE_TIMER = 0, 1  # timer tokens
# Tenant quotas are enforced while the share of placements that find no worker, `OutcomeLearning.full_share`,
# is above this.
OVERLOADED_FULL_SHARE = 0.1


class Dispatcher:
    """Places jobs on workers, retries them where allowed, and answers each before its client times out."""

    pool_zones: tuple[str, ...] = ()  # zones with a separate worker pool

    def __init__(self, settings: Settings, seed: int) -> None:
        """`seed`: seeds all random draws; the same seed and events produce the same actions."""
        self.settings = settings
        self.state = DispatcherState(settings, seed, self.pool_zones)
        self.estimates = WorkEstimates(self.state)
        self.rules = SendingRules(self.state, self.estimates)
        self.placement = Placement(self.state, self.rules, self.estimates, self._pools_of)
        self.queues = JobQueues(self.state, self.estimates)
        self.scan = JobScan(self.state, self.rules, self.estimates)
        self.outcomes = OutcomeLearning(self.state, self.estimates)
        self.endpoint_list = EndpointList(self.state, self.estimates)
        self.tenants = TenantQuotas(settings)
        self.is_timer_set = False
        self.serial = 0  # serial number of the latest job
        self.handlers: dict[type, Callable[[Any], object]] = {
            Request: self._on_request,
            Started: self._on_started,
            Progress: self._on_progress,
            Ended: self._on_ended,
            Timer: self._on_timer,
            WorkerList: self.endpoint_list.apply,
            LimitUpdate: self._on_limit_update,
            ClientDisconnected: self._on_client_disconnected,
            PeerMessage: self._on_peer_message,
        }
        self.reindex()

    @property
    def now(self) -> float:
        """The time of the latest event in seconds of the caller's clock."""
        return self.state.now

    @property
    def classes(self) -> dict[str, JobClass]:
        """The job classes by name."""
        return self.state.classes

    @property
    def workers(self) -> dict[str, Worker]:
        """The known workers by address: ready ones, and others that still have slots in flight."""
        return self.state.workers

    @property
    def jobs(self) -> dict[str, Job]:
        """The open jobs by id, and answered jobs that still have an attempt in flight."""
        return self.state.jobs

    @property
    def worker_index(self) -> WorkerIndex:
        """The index of workers by load and by key."""
        return self.state.worker_index

    @property
    def worker_load(self) -> WorkerLoad:
        """The estimated load of each worker from all dispatchers together."""
        return self.state.worker_load

    def expected_run_time_s(self, job_class: str) -> float:
        """Returns how long a job of the class is expected to run; 0 before the first one has run."""
        return self.estimates.expected_run_time_s(job_class)

    def reindex(self) -> None:
        """Rebuilds the indexes from the records. Must be called after the records were replaced."""
        self.state.reindex()
        for job in self.jobs.values():
            if not job.is_done:
                self.scan.schedule(job)
                if not (job.outstanding or job.must_wait):
                    self.state.job_schedule.add_queued(job)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Returns the actions for an event. `now`: seconds of the caller's monotonic clock."""
        state = self.state
        state.actions = []
        state.advance_clock(now, event.duration_s if isinstance(event, LoopStall) else 0.0)
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        if not self.is_timer_set:
            self.is_timer_set = True
            state.actions.append(SetTimer(SWEEP_INTERVAL_S, SWEEP_TIMER))
        return state.actions

    # --- events

    def _on_request(self, request: Request) -> None:
        state = self.state
        self.serial += 1
        job_class = state.classes[request.job_class]
        job = Job(request, job_class, state.now, self.serial, state.settings.max_attempts)
        state.jobs[request.id] = job
        if self._exceeds_quota(request):
            self._reject(job)
            return
        self.rules.add_retry_tokens()
        if request.timeout_s < 2 * SWEEPS_PER_SCAN * SWEEP_INTERVAL_S:
            # the deadline may pass before the next scan, so the job gets a timer of its own
            delay_s = max(0.0, request.timeout_s - 2 * state.settings.clock_tick_s)
            state.actions.append(SetTimer(delay_s, DEADLINE_TIMER))
        if job.key is not None:
            state.key_frequency.add(job.key)
        self._place(job)

    def _exceeds_quota(self, request: Request) -> bool:
        """Counts the request; returns whether its tenant is over its quota while the fleet is overloaded."""
        is_admitted = self.tenants.admit(request.tenant)
        return not is_admitted and self.outcomes.full_share > OVERLOADED_FULL_SHARE

    def _on_started(self, event: Started) -> None:
        attempt = self._on_progress(event)
        if attempt is not None and attempt.started_at is None:
            self.outcomes.record_start(attempt)

    def _on_progress(self, event: Started | Progress) -> Attempt | None:
        attempt = self.state.attempt(event.request, event.attempt)
        if attempt is None:
            return None
        attempt.last_report_at = self.state.observed_now
        attempt.worker.last_report_at = self.state.observed_now
        if attempt.is_stalled and attempt.ending is None:  # the worker still runs the attempt
            job = self.jobs[event.request]
            attempt.is_stalled = False
            self.worker_index.add_load(attempt.worker, job.slots)
            self.scan.schedule(job)
        return attempt

    def _on_ended(self, event: Ended) -> None:
        job = self.jobs.get(event.request)
        attempt = self.state.attempt(event.request, event.attempt)
        if job is None or attempt is None or attempt.ending is not None:
            return
        attempt.ending = event.ending
        job.outstanding -= 1
        if not attempt.is_stalled:
            self.worker_index.add_load(attempt.worker, -job.slots)
        attempt.worker.unstarted_attempts.pop(attempt, None)
        self.outcomes.record_ending(job, attempt, event)
        if event.finished and not job.is_done:
            self._close(job)
        elif not (job.is_done or job.outstanding or job.must_wait):
            self._place(job)
        else:
            self._remove_if_finished(job)
        self.queues.place(self._try_to_place)

    def _on_limit_update(self, event: LimitUpdate) -> None:
        job = self.jobs.get(event.request)
        if job is None:
            return
        job.max_attempts = min(self.settings.max_attempts, event.max_sends)
        job.must_wait = event.must_wait
        if not job.outstanding:  # the job may have waited for this update
            self._place(job)
        elif event.may_hedge and (worker := self.placement.choose(job)) is not None:
            self._send(job, worker)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        if (job := self.jobs.get(event.request)) is not None:
            self._close(job)

    def _on_peer_message(self, event: PeerMessage) -> None:
        self.tenants.peer_rates.receive(self.now, event)

    def _on_timer(self, event: Timer) -> None:
        state = self.state
        self.is_timer_set = self.is_timer_set and event.token == DEADLINE_TIMER
        self.queues.place(self._try_to_place)
        if state.now < self.scan.next_at and event.token == SWEEP_TIMER:
            return
        self.scan.next_at = state.now + SWEEPS_PER_SCAN * SWEEP_INTERVAL_S
        for job in self.scan.pop_due():
            self._examine(job)
        self.estimates.update_warm_rate()
        state.actions += self.tenants.report(state.now)
        self.endpoint_list.subscribe_if_due()

    # --- lifecycle of a job

    def _examine(self, job: Job) -> None:
        """Answers an open job whose answer is due, or marks its attempts without reports as stalled."""
        state = self.state
        is_answer_due = state.now >= self.scan.answer_due_at(job)
        if is_answer_due or (not job.outstanding and self.scan.should_give_up(job)):
            self._give_up(job)
            return
        for attempt in job.attempts:
            if state.now > state.stall_due_at(attempt):
                self._mark_stalled(job, attempt)
        self.scan.schedule(job)

    def _mark_stalled(self, job: Job, attempt: Attempt) -> None:
        """Releases the slots of an attempt that the worker no longer reports on, and cancels it if allowed.

        With its slots in use, the worker would look full until the job's deadline. Cancelling lets an
        idempotent job be sent to another worker.
        """
        attempt.is_stalled = True
        self.worker_index.add_load(attempt.worker, -job.slots)
        attempt.worker.unstarted_attempts.pop(attempt, None)
        self.outcomes.record_signal(job, attempt, AttemptSignal.SILENT)
        is_idempotent = job.job_class.effect is Effect.SAFE
        if is_idempotent and self.settings.may_cancel and self.rules.is_resend_allowed(job):
            self.state.actions.append(Cancel(job.id, job.attempts.index(attempt)))

    def _place(self, job: Job) -> None:
        """Sends, answers or queues the job."""
        is_placed = self._try_to_place(job)
        self.outcomes.record_placement(is_placed)
        if not is_placed:
            self.queues.add(job)
            self.scan.schedule(job)

    def _try_to_place(self, job: Job) -> bool:
        """Sends the job, or answers it if `should_give_up`. Returns False if the job must wait."""
        worker = self.placement.choose(job)
        if worker is not None:
            self.queues.remove(job)
            self._send(job, worker)
        elif self.scan.should_give_up(job):
            self._give_up(job)
        else:
            return False
        return True

    def _pools_of(self, job: Job) -> Iterable[PoolIndex]:
        """The pools that the job may be sent to, in the order of preference."""
        return (self.worker_index.pool(job.needed_pool),)

    def _send(self, job: Job, worker: Worker) -> None:
        """Sends the next attempt of a job if the rules allow it; all sends are made here."""
        state = self.state
        if job.is_done or not self.rules.is_resend_allowed(job) or not self.rules.is_permitted(job, worker):
            return
        if state.worker_index.is_slow_starting(worker, state.now):
            worker.slow_start_credit -= self.estimates.slow_start_cost_s(job, worker)
            worker.fetched_keys[job.key] = None
        self.rules.retry_tokens -= any(job.possibly_run_attempts())
        state.actions.append(Send(job.id, worker.address, start_within_s=self.rules.start_within_s(job)))
        attempt = Attempt(worker, state.now, state.observed_now)
        job.attempts.append(attempt)
        job.outstanding += 1
        state.worker_index.add_load(worker, job.slots)
        worker.unstarted_attempts[attempt] = state.observed_now
        self.scan.schedule(job)

    def _give_up(self, job: Job) -> None:
        """Rejects the job if a client retry is harmless; otherwise fails it, as it may have run."""
        if self.rules.is_client_retry_harmless(job):
            self._reject(job)
        else:
            self._finish(job, Fail(job.id))

    def _reject(self, job: Job) -> None:
        """Rejects the job, as a client retry is harmless, and asks for a pause that leaves time for one."""
        pause_s = self.scan.retry_after_s(job.deadline, self.estimates.remaining_work_s(job))
        self._finish(job, Reject(job.id, pause_s))

    def _finish(self, job: Job, answer: Reject | Fail) -> None:
        """Sends a final answer of the dispatcher itself; all such answers are sent here."""
        if not job.is_done:
            self.state.actions.append(answer)
            self._close(job)

    def _close(self, job: Job) -> None:
        """Closes a job that was answered or whose client disconnected, and cancels its attempts."""
        job.is_done = True
        self.queues.remove(job)
        self.state.job_schedule.remove(job)
        for number, attempt in enumerate(job.attempts):
            if attempt.ending is None and self.settings.may_cancel:
                self.state.actions.append(Cancel(job.id, number))
        self._remove_if_finished(job)

    def _remove_if_finished(self, job: Job) -> None:
        if job.is_done and not job.outstanding:
            self.jobs.pop(job.id, None)
