"""Applies the limits of routes to a Dispatcher, with the same events and actions and an additional timer.

The wrapper only restricts the Dispatcher. A job is queued here until its route's concurrency limit has a free
slot. The Dispatcher then receives the job with its limits (api.RequestLimits). When an attempt ends, the
Dispatcher first receives an api.LimitUpdate if the limits of the job change, and then the end of the attempt.
The Dispatcher alone decides whether to send the job again, and to which worker. It also decides whether to
send a hedge, a second attempt while the first is open, that is offered to it. Sends, answers and
cancellations are recorded from the actions that it returns.

| state of a job | event | result |
| --- | --- | --- |
| queued | a slot is free | dispatched |
| queued | the queue exceeds its length and this job is the last, or the job times out | rejected |
| dispatched | the Dispatcher sends it | one open attempt; the hedge timer is set |
| one open attempt | hedge timer, within the hedge and retry budgets | a hedge is offered |
| open attempts | one ends, another is open | the other one continues |
| open attempts | the last one ends, the limits allow no further send | the job must not be sent again |
| open attempts | the last one ends, the limits allow a further send | may be sent, after the backoff |
| any | it is answered, or its client disconnects | its slot is released |

Events of a job without a route are forwarded unchanged. Each job costs O(1), plus O(log n) in the queue and
the timers.
Bounds: one record and at most two timers for each open job that has a route; a limiter, retry budget,
hedge budget and percentile for each route and class.
"""

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from finchladder.core.alarms import Alarms
from finchladder.core.api import (
    Action,
    Cancel,
    ClientDisconnected,
    Effect,
    Ended,
    Ending,
    Event,
    Fail,
    LimitUpdate,
    Reject,
    Request,
    RequestLimits,
    Send,
    SetTimer,
    Settings,
    Timer,
    WorkerPool,
)
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.dispatch.state import SWEEP_INTERVAL_S
from finchladder.core.dispatch.zone_spillover import SpilloverSettings
from finchladder.core.routing.concurrency_limit import ConcurrencyLimiter
from finchladder.core.routing.hedging import HedgeBudget, LatencyPercentile
from finchladder.core.routing.retry_budget import RetryBudgetWindow
from finchladder.core.routing.routes import Queue, RetryBudget, Route, Routes

if TYPE_CHECKING:  # loaded only if dispatchers share retry budgets
    from finchladder.core.peers.bucket import Bucket

ROUTE_TIMER_TOKEN = 2  # the Dispatcher's own timer tokens are 0 and 1
TIMER_TOLERANCE_S = 1e-4  # a timer may fire this much early, as clocks are rounded
# endings of attempts that were stopped before their answer: their full latency is unknown
CUT_OFF_ENDINGS = frozenset({Ending.TIMED_OUT, Ending.CANCELLED})

RouteKey = tuple[str, str]  # a route's name and the job's class

# makes the local bucket of a shared budget from the budget's name and its limit per second
BucketFactory = Callable[[str, float], "Bucket"]


class NewRoutes(NamedTuple):
    """Event that replaces the routes; jobs in progress keep their limits, except concurrency and budgets."""

    routes: Routes


class RouteLimits:
    """Limits of a route for one job class, with their counters.

    The classes of a route share one limiter, retry budget or hedge budget if their settings of it are equal.
    """

    __slots__ = ("route", "limits", "limiter", "budget", "hedge_budget", "latency")

    def __init__(self, route: Route, limits: RequestLimits) -> None:
        self.route, self.limits = route, limits  # `limits`: those that the Dispatcher applies
        self.limiter: ConcurrencyLimiter | None = None
        self.budget: RetryBudgetWindow | None = None
        self.hedge_budget: HedgeBudget | None = None
        self.latency: LatencyPercentile | None = None  # latency of attempts that ended OK


class RoutedJob:
    """A job that has a route; kept until it is answered and its last attempt has ended."""

    __slots__ = (
        "id",
        "scope",
        "route",
        "queued_request",
        "arrived_at",
        "deadline",
        "serial",
        "is_client_retry",
        "limits",
        "max_sends",
        "send_count",
        "hedge_count",
        "open_attempts",
        "is_retry_paid",
        "is_hedge_offered",
        "is_done",
    )

    def __init__(self, request: Request, scope: RouteLimits, now: float, serial: int) -> None:
        self.id, self.scope, self.route = request.id, scope, scope.route
        self.queued_request: Request | None = request  # None once dispatched
        self.arrived_at, self.deadline, self.serial = now, now + request.timeout_s, serial
        budget = scope.route.retry_budget
        # the client marked the request as a retry, and the route's retry budget counts such retries
        self.is_client_retry = request.is_client_retry and budget is not None and budget.repeats
        self.limits = scope.limits
        self.max_sends, self.send_count, self.hedge_count = scope.limits.max_sends, 0, 0
        self.open_attempts = 0  # bit set of the attempts that have not ended
        self.is_retry_paid = False  # the next retry has already been counted in the retry budget
        self.is_hedge_offered = False  # at most one hedge is offered per job
        self.is_done = False


class RouteLimitedDispatcher:
    """Applies the limits of routes to a Dispatcher, `inner`, which must have no other caller."""

    share: "BucketFactory | None" = None  # set if all dispatchers share their retry budgets

    def __init__(
        self, inner: Dispatcher, routes: Routes, seed: int, share: "BucketFactory | None" = None
    ) -> None:
        self.inner, self.settings = inner, inner.settings
        if share is not None:
            self.share = share
        # separate generator: the draws of the Dispatcher are the same with and without routes
        self.random = Random(f"{seed}/routes")
        # a queued job is rejected this long before its run would no longer fit
        self.margin_s = SWEEP_INTERVAL_S + 2 * inner.settings.clock_tick_s
        self.scopes: dict[RouteKey, RouteLimits] = {}
        self.gone: list[RouteLimits] = []  # limits of routes before a reload that open jobs still use
        self.runs: dict[str, RoutedJob] = {}  # by job id
        self.alarms = Alarms()
        self.now, self.serial = 0.0, 0
        self.timer_at: float | None = None  # time of the earliest timer that was requested and has not fired
        self.freed: list[ConcurrencyLimiter] = []  # limiters with a possibly free slot, see `handle`
        self.handlers: dict[type, Callable[[Any], list[Action]]] = {
            Request: self._on_request,
            Ended: self._on_ended,
            ClientDisconnected: self._on_client_disconnected,
            Timer: self._on_timer,
            NewRoutes: self._on_routes,
        }
        self.apply_routes(routes)

    def expected_run_time_s(self, job_class: str) -> float:
        """Returns how long a job of the class is expected to run; 0 before the first one has run."""
        return self.inner.estimates.expected_run_time_s(job_class)

    def handle(self, now: float, event: Event | NewRoutes) -> list[Action]:
        """Handles one event at `now` (seconds, monotonic) and returns the actions to carry out in order."""
        self.now = now
        handler = self.handlers.get(type(event))
        if handler is None and not self.runs:
            return self.inner.handle(now, event)  # type: ignore[arg-type]
        actions = self._forward(event) if handler is None else handler(event)  # type: ignore[arg-type]
        while self.freed:
            limiter = self.freed.pop()
            while (id := limiter.dequeue()) is not None:
                actions += self._dispatch(self.runs[id])
        if self.alarms.due_at:
            due = self.alarms.next_due_at()
            if self.timer_at is None or due < self.timer_at:
                self.timer_at = due
                actions.append(SetTimer(max(0.0, due - now), ROUTE_TIMER_TOKEN))
        return actions

    # --- events -------------------------------------------------------------------------------------------

    def _on_request(self, request: Request) -> list[Action]:
        scope = self.scopes.get((request.route, request.job_class)) if request.route is not None else None
        if scope is None:
            return self._forward(request)
        self.serial += 1
        job = self.runs[request.id] = RoutedJob(request, scope, self.now, self.serial)
        if job.is_client_retry and not self._spend_retry(job):
            return self._reject(job)
        if scope.limiter is None or scope.limiter.try_acquire():
            return self._dispatch(job)
        queue = job.route.queue
        until = job.deadline - self.margin_s - self._work_s(job)
        if queue.longest_wait_s is not None:
            until = min(until, self.now + queue.longest_wait_s)
        displaced: str | None = request.id
        if until > self.now:
            value = self.inner.classes[request.job_class].value
            displaced = scope.limiter.enqueue(request.id, value, job.deadline, job.serial)
        if displaced != request.id:
            self.alarms.put(request.id, until)
        return self._reject(self.runs[displaced]) if displaced is not None else []

    def _on_ended(self, ended: Ended) -> list[Action]:
        job = self.runs.get(ended.request)
        if job is None or not job.open_attempts >> ended.attempt & 1:
            return self._forward(ended)
        job.open_attempts ^= 1 << ended.attempt
        self._record_latency(job, ended)
        actions: list[Action] = []
        if ended.finished:
            self._close(job)
        elif not job.is_done:
            if not job.open_attempts:
                self.alarms.drop(job.id)  # the hedge timer
            if (limit := self._update_limits_after_failure(job, ended.ending)) is not None:
                actions = self._forward(limit)
        actions += self._forward(ended)
        self._remove_if_finished(job)
        return actions

    def _on_client_disconnected(self, event: ClientDisconnected) -> list[Action]:
        job = self.runs.get(event.request)
        if job is None:
            return self._forward(event)
        was_queued = job.queued_request is not None
        self._close(job)
        return [] if was_queued else self._forward(event)

    def _on_timer(self, timer: Timer) -> list[Action]:
        if timer.token != ROUTE_TIMER_TOKEN:
            return self._forward(timer)
        if self.timer_at is not None and self.now >= self.timer_at - TIMER_TOLERANCE_S:
            self.timer_at = None
        actions: list[Action] = []
        while (id := self.alarms.pop_due(self.now + TIMER_TOLERANCE_S)) is not None:
            actions += self._on_job_timer(self.runs[id])
        return actions

    def _on_job_timer(self, job: RoutedJob) -> list[Action]:
        if job.queued_request is not None:
            return self._reject(job)
        if job.open_attempts:
            return self._hedge(job)
        return self._forward(LimitUpdate(job.id, job.max_sends))  # the backoff is over

    def _on_routes(self, event: NewRoutes) -> list[Action]:
        self.apply_routes(event.routes)
        return []

    # --- limits -------------------------------------------------------------------------------------------

    def _dispatch(self, job: RoutedJob) -> list[Action]:
        request, job.queued_request = job.queued_request, None
        assert request is not None
        self.alarms.drop(job.id)
        left = request.timeout_s - (self.now - job.arrived_at)
        try:
            return self._forward(Request(request.id, request.job_class, left, *request[3:-1], job.limits))
        except Exception:
            self._close(job)  # releases the slot if the Dispatcher fails
            raise

    def _update_limits_after_failure(self, job: RoutedJob, ending: Ending) -> LimitUpdate | None:
        """Decides whether the job may be retried after an attempt has failed.

        Counts the retry in the budget and sets the backoff timer if it may.

        Returns:
            The changed limits of the job, or None if they are unchanged.
        """
        if ending in job.route.resend_on:
            if job.open_attempts or job.send_count >= job.max_sends:
                return None
            wait_s = 0.0
            if job.route.backoff.base_s > 0:
                wait_s = job.route.backoff.wait_s(job.send_count - job.hedge_count, self.random.random())
            latest_start = job.deadline - self.margin_s - self._work_s(job)
            in_time = not wait_s or self.now + wait_s < latest_start
            if in_time and (job.is_retry_paid or self._spend_retry(job)):
                job.is_retry_paid = False
                if not wait_s:
                    return None
                self.alarms.put(job.id, self.now + wait_s)
                return LimitUpdate(job.id, job.max_sends, must_wait=True)
        job.max_sends = job.send_count
        return LimitUpdate(job.id, job.max_sends)

    def _hedge(self, job: RoutedJob) -> list[Action]:
        """Offers a hedge to the Dispatcher, which sends none if no worker is suitable."""
        job.is_hedge_offered = True
        hedges, budget = job.scope.hedge_budget, job.scope.budget
        if hedges is None or not hedges.has_token():  # None: a reload removed the hedge of this route
            return []
        if budget is not None and not budget.may_retry(self.now):
            return []
        sends_before = job.send_count
        actions = self._forward(LimitUpdate(job.id, job.max_sends, may_hedge=True))
        if job.send_count > sends_before:
            job.hedge_count += 1
            hedges.take_token()
            self._spend_retry(job)
        return actions

    def _spend_retry(self, job: RoutedJob) -> bool:
        return job.scope.budget is None or job.scope.budget.try_spend(self.now)

    def _record_latency(self, job: RoutedJob, ended: Ended) -> None:
        if (times := job.scope.latency) is not None:
            if ended.ending is Ending.OK:
                times.add(ended.duration_s)
            elif ended.ending in CUT_OFF_ENDINGS:
                times.add_longer_than(ended.duration_s)

    # --- actions ------------------------------------------------------------------------------------------

    def _forward(self, event: Event) -> list[Action]:
        actions = self.inner.handle(self.now, event)
        if not self.runs:
            return actions
        out: list[Action] = []
        for action in actions:
            if isinstance(action, Send):
                job = self.runs.get(action.request)
                out.append(action if job is None else self._record_send(job, action))
                continue
            if isinstance(action, Cancel):
                job = self.runs.get(action.request)
                if job is not None and not job.is_done and not self._may_cancel_attempt(job, action.attempt):
                    continue
            elif isinstance(action, Reject | Fail) and (job := self.runs.get(action.request)) is not None:
                self._close(job)
            out.append(action)
        return out

    def _record_send(self, job: RoutedJob, send: Send) -> Send:
        scope, rules = job.scope, job.route
        job.open_attempts |= 1 << job.send_count
        job.send_count += 1
        if job.send_count == 1:
            if scope.budget is not None and not job.is_client_retry:
                scope.budget.record_first_send(self.now)
            if scope.hedge_budget is not None:
                scope.hedge_budget.record_first_send()
        if rules.hedge is not None and not job.is_hedge_offered:
            after_s = rules.hedge.after_s
            if after_s is None and scope.latency is not None:
                after_s = scope.latency.value_s
            if after_s is not None:
                self.alarms.put(job.id, self.now + after_s)
        return send if rules.attempt_timeout_s is None else send._replace(timeout_s=rules.attempt_timeout_s)

    def _may_cancel_attempt(self, job: RoutedJob, attempt: int) -> bool:
        """Whether the Dispatcher may cancel an attempt at an unresponsive worker, to send the job elsewhere.

        If no other attempt is open, a retry must be within the limits; it is then counted in the budget.
        """
        if job.open_attempts ^ 1 << attempt:
            return True  # another attempt is open: cancelling this one requires no retry
        job.is_retry_paid = Ending.CANCELLED in job.route.resend_on and self._spend_retry(job)
        return job.is_retry_paid

    def _reject(self, job: RoutedJob) -> list[Action]:
        """Rejects a job that was never sent."""
        self._close(job)
        return [Reject(job.id, self.inner.scan.retry_after_s(job.deadline, self._work_s(job)))]

    def _work_s(self, job: RoutedJob) -> float:
        """Returns how long the job is expected to run."""
        return self.expected_run_time_s(job.route.job_class)

    def _close(self, job: RoutedJob) -> None:
        """Releases the timer and the slot of a job that was answered or whose client disconnected."""
        if job.is_done:
            return
        job.is_done = True
        self.alarms.drop(job.id)
        if (limiter := job.scope.limiter) is not None:
            if job.queued_request is None:
                limiter.release()
                self.freed.append(limiter)
            else:
                limiter.remove(job.id)
        self._remove_if_finished(job)

    def _remove_if_finished(self, job: RoutedJob) -> None:
        if job.is_done and not job.open_attempts:
            self.runs.pop(job.id, None)

    def _worker_pool(self, route: Route) -> WorkerPool | None:
        """Returns the pool of workers allowed for the route's jobs, or None if the route does not limit it.

        If the job class requires a kind of worker, the pool contains only this kind.
        """
        kinds, zones = route.pool.kinds, route.pool.zones
        if not (kinds or zones):
            return None
        needed = self.inner.classes[route.job_class].kind
        return WorkerPool(frozenset({needed}) if needed is not None else kinds, zones)

    # --- routes -------------------------------------------------------------------------------------------

    def apply_routes(self, routes: Routes) -> None:
        """Replaces the routes, in O(routes + jobs + workers).

        Hedge budgets keep their counts, as do retry budgets whose window is unchanged, and latency estimates
        whose percentile is unchanged.
        """
        previous, self.scopes = self.scopes, {}
        for route in routes.all:
            max_sends = min(route.attempts or self.settings.max_attempts, self.settings.max_attempts)
            limits = RequestLimits(max_sends, route.priority, self._worker_pool(route))
            self.scopes[route.name, route.job_class] = RouteLimits(route, limits)
        self._assign_limiters()
        self._assign_budgets(previous)
        for job in self.runs.values():
            self._move_to_current_route(job)
        current = set(self.scopes.values())
        self.gone = list({job.scope: None for job in self.runs.values() if job.scope not in current})
        needed = {scope.limits.pool for scope in self.scopes.values()}
        needed |= {job.limits.pool for job in self.runs.values()}
        worker_index = self.inner.worker_index
        worker_index.drop_pools(
            [pool for pool in worker_index.pools if isinstance(pool, WorkerPool) and pool not in needed]
        )
        for pool in needed - {None}:
            worker_index.pool(pool)

    def _assign_limiters(self) -> None:
        limiters: dict[tuple[str, int, Queue], ConcurrencyLimiter] = {}
        for scope in self.scopes.values():
            route = scope.route
            if route.concurrency is not None:
                key = route.name, route.concurrency, route.queue
                scope.limiter = limiters.setdefault(key, ConcurrencyLimiter(route.concurrency, route.queue))

    def _assign_budgets(self, old: dict[RouteKey, RouteLimits]) -> None:
        classes, settings = self.inner.classes, self.settings
        budgets: dict[tuple[str, RetryBudget], RetryBudgetWindow] = {}
        hedges: dict[tuple[str, float], HedgeBudget] = {}
        for key, scope in self.scopes.items():
            route, previous = scope.route, old.get(key)
            if (rule := route.retry_budget) is not None:
                if (route.name, rule) not in budgets:
                    budget = previous.budget if previous is not None else None
                    if budget is None or budget.window_s != rule.window_s or budget in budgets.values():
                        budget = None
                    budget = self._keep_or_make_retry_budget(route, rule, budget)
                    budget.reconfigure(rule)
                    budgets[route.name, rule] = budget
                scope.budget = budgets[route.name, rule]
            safe = classes[route.job_class].effect is not Effect.UNSAFE
            if route.hedge is not None and safe and settings.may_cancel:
                share = route.hedge.most
                if (route.name, share) not in hedges:
                    saved = previous.hedge_budget if previous is not None else None
                    if saved is None or saved in hedges.values():
                        saved = HedgeBudget(share)
                    hedges[route.name, share] = saved
                    saved.share = share
                scope.hedge_budget = hedges[route.name, share]
                if (percentile := route.hedge.percentile) is not None:
                    times = previous.latency if previous is not None else None
                    same = times is not None and times.percentile == percentile
                    scope.latency = times if same else LatencyPercentile(percentile)

    def _keep_or_make_retry_budget(
        self, route: Route, rule: RetryBudget, existing: RetryBudgetWindow | None
    ) -> RetryBudgetWindow:
        if self.share is None:
            return existing or RetryBudgetWindow(rule)
        from finchladder.core.peers.retries import SharedRetryBudget  # loaded only if it is used

        # also called for an existing budget, as its limit may have changed
        bucket = self.share(f"retry.{route.name}", rule.least_per_s)
        return existing or SharedRetryBudget(rule, bucket)

    def _move_to_current_route(self, job: RoutedJob) -> None:
        """Moves a job to the new limits of its route after a reload, with its slot or place in the queue.

        A job keeps the former limits if the route, or its concurrency limit, was removed.
        """
        scope, before = self.scopes.get((job.route.name, job.route.job_class)), job.scope.limiter
        if scope is None or job.is_done or (before is not None and scope.limiter is None):
            return
        job.scope = scope
        if job.queued_request is None:
            if before is not None:
                before.release()
            if scope.limiter is not None:
                scope.limiter.open_count += 1
        else:
            assert before is not None and scope.limiter is not None
            before.remove(job.id)
            value = self.inner.classes[job.route.job_class].value
            scope.limiter.requeue(job.id, value, job.deadline, job.serial)
        self.freed += [limiter for limiter in (before, scope.limiter) if limiter is not None]


class Decisions(Protocol):
    """Interface of Dispatcher and RouteLimitedDispatcher to the actor that carries out their actions."""

    settings: Settings

    def handle(self, now: float, event: Any) -> list[Action]:
        """Handles one event at `now` (seconds, monotonic) and returns the actions to carry out in order."""
        ...


def make_decisions(
    settings: Settings,
    seed: int,
    routes: Routes | None,
    spill: SpilloverSettings | None = None,
    share: "BucketFactory | None" = None,
) -> Dispatcher | RouteLimitedDispatcher:
    """Creates a dispatcher, with zone spillover and route limits if they are configured.

    Args:
        settings: Settings of the dispatcher.
        seed: Seed of all random draws.
        routes: The routes; None if no routes file is configured, so that a reload cannot add routes.
        spill: Settings of zone spillover; None disables it.
        share: Makes the local bucket of a retry budget that dispatchers share; None if they do not.
    """
    if spill is None:
        dispatcher = Dispatcher(settings, seed)
    else:
        from finchladder.core.dispatch.zone_dispatcher import ZoneDispatcher  # loaded only if it is used

        dispatcher = ZoneDispatcher(settings, seed, spill)
    return dispatcher if routes is None else RouteLimitedDispatcher(dispatcher, routes, seed, share)
