"""The decisions of a Dispatcher under routes' limits: same events in, same actions out, and its own timer.

It stands round the Dispatcher and only narrows. A job waits here for its route's concurrency, and is handed
on with limits of its own (api.Own). When an attempt ends, the Dispatcher is told first whether another send
is within the limits (api.Limit), and then of the end: it alone decides whether to send again, and to whom.
A hedge is an offer to it, too. What passes out is looked at for what was sent, answered and given up.

| a job | what happens | then |
| --- | --- | --- |
| waits for a place | it has one | handed on |
| waits for a place | another finds no room but by it, its time is up | refused |
| is handed on | the Dispatcher sends it | one attempt out, its hedge due |
| one attempt out | its hedge is due, within share, budget, attempts | offered as a copy |
| attempts out | one ends, another is out | the other goes on |
| attempts out | the last ends, no more sends are within the limits | the Dispatcher may not send it again |
| attempts out | the last ends, otherwise | it may, at once or after the backoff |
| any | answered, or its client left | its place is free |

A job without a route passes through. Each job costs O(1), but for its place in the queue and the alarms,
O(log n). Bounds: one record for each open job that has a route, two alarms at the most; a limiter, budget,
allowance and percentile for each route and class.
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
from finchladder.core.dispatch.zone_spillover import SpilloverSettings
from finchladder.core.routing.concurrency_limit import ConcurrencyLimiter
from finchladder.core.routing.hedging import HedgeBudget, LatencyPercentile
from finchladder.core.routing.retry_budget import RetryBudgetWindow
from finchladder.core.routing.routes import Queue, RetryBudget, Route, Routes

if TYPE_CHECKING:  # where dispatchers share budgets
    from finchladder.core.peers.bucket import Bucket

ROUTE_TIMER_TOKEN = 2  # timer token; the Dispatcher's own are 0 and 1
TIMER_TOLERANCE_S = 1e-4  # a timer may come so much before its time, as clocks are rounded
CUT_OFF_ENDINGS = frozenset(
    {Ending.TIMED_OUT, Ending.CANCELLED}
)  # endings of attempts that would have taken longer

RouteKey = tuple[str, str]  # a route's name and the job's class


BucketFactory = Callable[[str, float], "Bucket"]  # by the budget's name, and its limit a second


class NewRoutes(NamedTuple):
    """Hold from now on; a job that has come keeps the limits that it began with."""

    routes: Routes


class RouteLimits:
    """A route's limits for one class, and what is counted for them. Equal ones of one route are shared."""

    __slots__ = ("route", "limits", "limiter", "budget", "hedge_budget", "latency")

    def __init__(self, route: Route, own: RequestLimits) -> None:
        self.route, self.limits = route, own  # `own`: what of it the Dispatcher goes by
        self.limiter: ConcurrencyLimiter | None = None
        self.budget: RetryBudgetWindow | None = None
        self.hedge_budget: HedgeBudget | None = None
        self.latency: LatencyPercentile | None = None  # of attempts that ended well


class RoutedJob:
    """A job under a route, from its arrival to its answer and the end of its last attempt."""

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
        self.queued_request: Request | None = request  # until it is handed on
        self.arrived_at, self.deadline, self.serial = now, now + request.timeout_s, serial
        budget = scope.route.retry_budget
        self.is_client_retry = (
            request.is_client_retry and budget is not None and budget.repeats
        )  # its client's own resend
        self.limits = scope.limits
        self.max_sends, self.send_count, self.hedge_count = scope.limits.max_sends, 0, 0
        self.open_attempts = 0  # attempts that have not ended, a bit for each
        self.is_retry_paid = False  # its next resend is taken out of the budget already
        self.is_hedge_offered = False  # a copy was offered: there is one offer a job
        self.is_done = False


class RouteLimitedDispatcher:
    """To be used in place of its Dispatcher, `inner`, which nobody else may call."""

    share: "BucketFactory | None" = (
        None  # a part of a budget that all dispatchers have together; None: each its own
    )

    def __init__(
        self, inner: Dispatcher, routes: Routes, seed: int, share: "BucketFactory | None" = None
    ) -> None:
        self.inner, self.settings = inner, inner.settings
        if share is not None:
            self.share = share
        self.random = Random(f"{seed}/routes")  # apart: the Dispatcher's own draws stay as they are
        self.margin_s = (
            inner.sweep_interval_s + 2 * inner.settings.clock_tick_s
        )  # what is not sent by then is answered
        self.scopes: dict[RouteKey, RouteLimits] = {}
        self.gone: list[RouteLimits] = []  # of routes that hold no more, while jobs go by them
        self.runs: dict[str, RoutedJob] = {}
        self.alarms = Alarms()
        self.now, self.serial = 0.0, 0
        self.timer_at: float | None = None  # when the earliest timer that was asked for comes
        self.freed: list[ConcurrencyLimiter] = []  # in this call
        self.handlers: dict[type, Callable[[Any], list[Action]]] = {
            Request: self._on_request,
            Ended: self._on_ended,
            ClientDisconnected: self._on_client_disconnected,
            Timer: self._on_timer,
            NewRoutes: self._on_routes,
        }
        self.apply_routes(routes)

    def handle(self, now: float, event: Event | NewRoutes) -> list[Action]:
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

    # --- what comes in ------------------------------------------------------------------------------------

    def _on_request(self, r: Request) -> list[Action]:
        scope = self.scopes.get((r.route, r.job_class)) if r.route is not None else None
        if scope is None:
            return self._forward(r)
        self.serial += 1
        run = self.runs[r.id] = RoutedJob(r, scope, self.now, self.serial)
        if run.is_client_retry and not self._spend_retry(run):
            return self._refuse(run)
        if scope.limiter is None or scope.limiter.try_acquire():
            return self._dispatch(run)
        queue = run.route.queue
        until = run.deadline - self.margin_s
        if queue.longest_wait_s is not None:
            until = min(until, self.now + queue.longest_wait_s)
        loser: str | None = r.id
        if until > self.now:
            worth = self.inner.classes[r.job_class].value
            loser = scope.limiter.enqueue(r.id, worth, run.deadline, run.serial)
        if loser != r.id:
            self.alarms.put(r.id, until)
        return self._refuse(self.runs[loser]) if loser is not None else []

    def _on_ended(self, e: Ended) -> list[Action]:
        run = self.runs.get(e.request)
        if run is None or not run.open_attempts >> e.attempt & 1:
            return self._forward(e)
        run.open_attempts ^= 1 << e.attempt
        self._record_latency(run, e)
        actions: list[Action] = []
        if e.finished:
            self._close(run)
        elif not run.is_done:
            if not run.open_attempts:
                self.alarms.drop(run.id)  # its hedge
            if (limit := self._limit_after_failure(run, e.ending)) is not None:
                actions = self._forward(limit)
        actions += self._forward(e)
        self._remove_if_finished(run)
        return actions

    def _on_client_disconnected(self, e: ClientDisconnected) -> list[Action]:
        run = self.runs.get(e.request)
        if run is None:
            return self._forward(e)
        waited = run.queued_request is not None
        self._close(run)
        return [] if waited else self._forward(e)

    def _on_timer(self, e: Timer) -> list[Action]:
        if e.token != ROUTE_TIMER_TOKEN:
            return self._forward(e)
        if self.timer_at is not None and self.now >= self.timer_at - TIMER_TOLERANCE_S:
            self.timer_at = None
        actions: list[Action] = []
        while (id := self.alarms.pop_due(self.now + TIMER_TOLERANCE_S)) is not None:
            actions += self._alarm(self.runs[id])
        return actions

    def _alarm(self, run: RoutedJob) -> list[Action]:
        if run.queued_request is not None:
            return self._refuse(run)
        if run.open_attempts:
            return self._hedge(run)
        return self._forward(LimitUpdate(run.id, run.max_sends))  # its backoff is over

    def _on_routes(self, e: NewRoutes) -> list[Action]:
        self.apply_routes(e.routes)
        return []

    # --- limits -------------------------------------------------------------------------------------------

    def _dispatch(self, run: RoutedJob) -> list[Action]:
        r, run.queued_request = run.queued_request, None
        assert r is not None
        self.alarms.drop(run.id)
        left = r.timeout_s - (self.now - run.arrived_at)
        try:
            return self._forward(Request(r.id, r.job_class, left, *r[3:-1], run.limits))
        except Exception:
            self._close(run)  # a place must not stay taken for what nobody decides on
            raise

    def _limit_after_failure(self, run: RoutedJob, ending: Ending) -> LimitUpdate | None:
        """An attempt has ended without an answer: what the limits say of another one, if it is news."""
        if ending in run.route.resend_on:
            if run.open_attempts or run.send_count >= run.max_sends:
                return None
            wait_s = 0.0
            if run.route.backoff.base_s > 0:
                wait_s = run.route.backoff.wait_s(run.send_count - run.hedge_count, self.random.random())
            in_time = not wait_s or self.now + wait_s < run.deadline - self.margin_s
            if in_time and (run.is_retry_paid or self._spend_retry(run)):
                run.is_retry_paid = False
                if not wait_s:
                    return None
                self.alarms.put(run.id, self.now + wait_s)
                return LimitUpdate(run.id, run.max_sends, must_wait=True)
        run.max_sends = run.send_count
        return LimitUpdate(run.id, run.max_sends)

    def _hedge(self, run: RoutedJob) -> list[Action]:
        """The Dispatcher may find that no worker should have a copy; then there is none."""
        run.is_hedge_offered = True
        hedges, budget = run.scope.hedge_budget, run.scope.budget
        if hedges is None or not hedges.has_token():  # None: the routes of now have none
            return []
        if budget is not None and not budget.may_retry(self.now):
            return []
        sends = run.send_count
        actions = self._forward(LimitUpdate(run.id, run.max_sends, may_hedge=True))
        if run.send_count > sends:
            run.hedge_count += 1
            hedges.take_token()
            self._spend_retry(run)
        return actions

    def _spend_retry(self, run: RoutedJob) -> bool:
        return run.scope.budget is None or run.scope.budget.try_spend(self.now)

    def _record_latency(self, run: RoutedJob, e: Ended) -> None:
        if (times := run.scope.latency) is not None:
            if e.ending is Ending.OK:
                times.add(e.duration_s)
            elif e.ending in CUT_OFF_ENDINGS:
                times.add_longer_than(e.duration_s)

    # --- what passes out ----------------------------------------------------------------------------------

    def _forward(self, event: Event) -> list[Action]:
        actions = self.inner.handle(self.now, event)
        if not self.runs:
            return actions
        out: list[Action] = []
        for a in actions:
            if isinstance(a, Send):
                run = self.runs.get(a.request)
                out.append(a if run is None else self._sent(run, a))
                continue
            if isinstance(a, Cancel):
                run = self.runs.get(a.request)
                if run is not None and not run.is_done and not self._may_move(run, a.attempt):
                    continue
            elif isinstance(a, Reject | Fail) and (run := self.runs.get(a.request)) is not None:
                self._close(run)
            out.append(a)
        return out

    def _sent(self, run: RoutedJob, a: Send) -> Send:
        scope, rules = run.scope, run.route
        run.open_attempts |= 1 << run.send_count
        run.send_count += 1
        if run.send_count == 1:
            if scope.budget is not None and not run.is_client_retry:
                scope.budget.record_first_send(self.now)
            if scope.hedge_budget is not None:
                scope.hedge_budget.record_first_send()
        if rules.hedge is not None and not run.is_hedge_offered:
            after_s = rules.hedge.after_s
            if after_s is None and scope.latency is not None:
                after_s = scope.latency.value_s
            if after_s is not None:
                self.alarms.put(run.id, self.now + after_s)
        return a if rules.attempt_timeout_s is None else a._replace(timeout_s=rules.attempt_timeout_s)

    def _may_move(self, run: RoutedJob, attempt: int) -> bool:
        """The Dispatcher takes a silent worker's job elsewhere: not if it could not be sent again then."""
        if run.open_attempts ^ 1 << attempt:
            return True  # another copy is out, and this one is given up
        run.is_retry_paid = Ending.CANCELLED in run.route.resend_on and self._spend_retry(run)
        return run.is_retry_paid

    def _refuse(self, run: RoutedJob) -> list[Action]:
        """It was not sent to anyone."""
        self._close(run)
        return [Reject(run.id, self.settings.max_retry_after_s)]

    def _close(self, run: RoutedJob) -> None:
        """It is answered, or nobody waits for an answer."""
        if run.is_done:
            return
        run.is_done = True
        self.alarms.drop(run.id)
        if (limiter := run.scope.limiter) is not None:
            if run.queued_request is None:
                limiter.release()
                self.freed.append(limiter)
            else:
                limiter.remove(run.id)
        self._remove_if_finished(run)

    def _remove_if_finished(self, run: RoutedJob) -> None:
        if run.is_done and not run.open_attempts:
            self.runs.pop(run.id, None)

    def _pool(self, route: Route) -> WorkerPool | None:
        """Whom its jobs may go to, within the kind that their class needs."""
        kinds, zones = route.pool.kinds, route.pool.zones
        if not (kinds or zones):
            return None
        needed = self.inner.classes[route.job_class].kind
        return WorkerPool(frozenset({needed}) if needed is not None else kinds, zones)

    # --- routes -------------------------------------------------------------------------------------------

    def apply_routes(self, routes: Routes) -> None:
        """These hold for what comes; counts go on where the setting is the same. O(routes, runs, workers)."""
        old, self.scopes = self.scopes, {}
        for route in routes.all:
            most = min(route.attempts or self.settings.max_attempts, self.settings.max_attempts)
            own = RequestLimits(most, route.priority, self._pool(route))
            self.scopes[route.name, route.job_class] = RouteLimits(route, own)
        self._assign_limiters()
        self._assign_budgets(old)
        for run in self.runs.values():
            self._move_to_current_route(run)
        held = set(self.scopes.values())
        self.gone = list({run.scope: None for run in self.runs.values() if run.scope not in held})
        needed = {scope.limits.pool for scope in self.scopes.values()}
        needed |= {run.limits.pool for run in self.runs.values()}
        fleet = self.inner.worker_index
        fleet.drop_pools([p for p in fleet.pools if isinstance(p, WorkerPool) and p not in needed])
        for pool in needed - {None}:
            fleet.pool(pool)

    def _assign_limiters(self) -> None:
        made: dict[tuple[str, int, Queue], ConcurrencyLimiter] = {}
        for scope in self.scopes.values():
            route = scope.route
            if route.concurrency is not None:
                key = route.name, route.concurrency, route.queue
                scope.limiter = made.setdefault(key, ConcurrencyLimiter(route.concurrency, route.queue))

    def _assign_budgets(self, old: dict[RouteKey, RouteLimits]) -> None:
        cls, s = self.inner.classes, self.settings
        budgets: dict[tuple[str, RetryBudget], RetryBudgetWindow] = {}
        hedges: dict[tuple[str, float], HedgeBudget] = {}
        for key, scope in self.scopes.items():
            route, was = scope.route, old.get(key)
            if (rule := route.retry_budget) is not None:
                if (route.name, rule) not in budgets:
                    budget = was.budget if was is not None else None
                    if budget is None or budget.window_s != rule.window_s or budget in budgets.values():
                        budget = None
                    budget = self._budget(route, rule, budget)
                    budget.reconfigure(rule)
                    budgets[route.name, rule] = budget
                scope.budget = budgets[route.name, rule]
            safe = cls[route.job_class].effect is not Effect.UNSAFE
            if route.hedge is not None and safe and s.may_cancel:
                share = route.hedge.most
                if (route.name, share) not in hedges:
                    saved = was.hedge_budget if was is not None else None
                    if saved is None or saved in hedges.values():
                        saved = HedgeBudget(share)
                    hedges[route.name, share] = saved
                    saved.share = share
                scope.hedge_budget = hedges[route.name, share]
                if (percentile := route.hedge.percentile) is not None:
                    times = was.latency if was is not None else None
                    same = times is not None and times.percentile == percentile
                    scope.latency = times if same else LatencyPercentile(percentile)

    def _budget(self, route: Route, rule: RetryBudget, kept: RetryBudgetWindow | None) -> RetryBudgetWindow:
        if self.share is None:
            return kept or RetryBudgetWindow(rule)
        from finchladder.core.peers.retries import SharedBudget  # what is off need not be loaded

        # also where it is kept: its limit may be another now
        bucket = self.share(f"retry.{route.name}", rule.least_per_s)
        return kept or SharedBudget(rule, bucket)

    def _move_to_current_route(self, run: RoutedJob) -> None:
        """To its route as it is now, so that its place counts there; one whose route is gone stays."""
        scope, before = self.scopes.get((run.route.name, run.route.job_class)), run.scope.limiter
        if scope is None or run.is_done or (before is not None and scope.limiter is None):
            return
        run.scope = scope
        if run.queued_request is None:
            if before is not None:
                before.release()
            if scope.limiter is not None:
                scope.limiter.open_count += 1
        else:
            assert before is not None and scope.limiter is not None
            before.remove(run.id)
            worth = self.inner.classes[run.route.job_class].value
            scope.limiter.requeue(run.id, worth, run.deadline, run.serial)
        self.freed += [limiter for limiter in (before, scope.limiter) if limiter is not None]


class Decisions(Protocol):
    """What an actor hands its events to: a Dispatcher as it is, or Guarded."""

    settings: Settings

    def handle(self, now: float, event: Any) -> list[Action]: ...


def make_decisions(
    settings: Settings,
    seed: int,
    routes: Routes | None,
    spill: SpilloverSettings | None = None,
    share: "BucketFactory | None" = None,
) -> Dispatcher | RouteLimitedDispatcher:
    """`routes` None: there is no file that could have them, now or later. `spill` None: zones are as one.

    `share`: where dispatchers share budgets, gives this one's part of one.
    """
    if spill is None:
        dispatcher = Dispatcher(settings, seed)
    else:
        from finchladder.core.dispatch.zone_dispatcher import ZoneDispatcher  # what is off need not be loaded

        dispatcher = ZoneDispatcher(settings, seed, spill)
    return dispatcher if routes is None else RouteLimitedDispatcher(dispatcher, routes, seed, share)
