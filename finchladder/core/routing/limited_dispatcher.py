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
from finchladder.core.routing.concurrency_limit import Limiter
from finchladder.core.routing.hedging import Allowance, Times
from finchladder.core.routing.retry_budget import Budget
from finchladder.core.routing.routes import Queue, RetryBudget, Route, Routes

if TYPE_CHECKING:  # where dispatchers share budgets
    from finchladder.core.peers.bucket import Bucket

GUARD = 2  # timer token; the Dispatcher's own are 0 and 1
EARLY_S = 1e-4  # a timer may come so much before its time, as clocks are rounded
CUT = frozenset({Ending.TIMED_OUT, Ending.CANCELLED})  # endings of attempts that would have taken longer

Key = tuple[str, str]  # a route's name and the job's class


Share = Callable[[str, float], "Bucket"]  # by the budget's name, and its limit a second


class NewRoutes(NamedTuple):
    """Hold from now on; a job that has come keeps the limits that it began with."""

    routes: Routes


class Scope:
    """A route's limits for one class, and what is counted for them. Equal ones of one route are shared."""

    __slots__ = ("route", "own", "limiter", "budget", "hedges", "times")

    def __init__(self, route: Route, own: RequestLimits) -> None:
        self.route, self.own = route, own  # `own`: what of it the Dispatcher goes by
        self.limiter: Limiter | None = None
        self.budget: Budget | None = None
        self.hedges: Allowance | None = None
        self.times: Times | None = None  # of attempts that ended well


class Run:
    """A job under a route, from its arrival to its answer and the end of its last attempt."""

    __slots__ = (
        "id",
        "scope",
        "rules",
        "waiting",
        "arrived",
        "deadline",
        "serial",
        "repeat",
        "own",
        "most",
        "sends",
        "copies",
        "out",
        "paid",
        "hedged",
        "done",
    )

    def __init__(self, request: Request, scope: Scope, now: float, serial: int) -> None:
        self.id, self.scope, self.rules = request.id, scope, scope.route
        self.waiting: Request | None = request  # until it is handed on
        self.arrived, self.deadline, self.serial = now, now + request.timeout_s, serial
        budget = scope.route.retry_budget
        self.repeat = (
            request.is_client_retry and budget is not None and budget.repeats
        )  # its client's own resend
        self.own = scope.own
        self.most, self.sends, self.copies = scope.own.max_sends, 0, 0
        self.out = 0  # attempts that have not ended, a bit for each
        self.paid = False  # its next resend is taken out of the budget already
        self.hedged = False  # a copy was offered: there is one offer a job
        self.done = False


class Guarded:
    """To be used in place of its Dispatcher, `inner`, which nobody else may call."""

    share: "Share | None" = None  # a part of a budget that all dispatchers have together; None: each its own

    def __init__(self, inner: Dispatcher, routes: Routes, seed: int, share: "Share | None" = None) -> None:
        self.inner, self.settings = inner, inner.settings
        if share is not None:
            self.share = share
        self.random = Random(f"{seed}/routes")  # apart: the Dispatcher's own draws stay as they are
        self.margin_s = (
            inner.state.sweep_interval_s + 2 * inner.settings.clock_tick_s
        )  # what is not sent by then is answered
        self.scopes: dict[Key, Scope] = {}
        self.gone: list[Scope] = []  # of routes that hold no more, while jobs go by them
        self.runs: dict[str, Run] = {}
        self.alarms = Alarms()
        self.now, self.serial = 0.0, 0
        self.timer_at: float | None = None  # when the earliest timer that was asked for comes
        self.freed: list[Limiter] = []  # in this call
        self.handlers: dict[type, Callable[[Any], list[Action]]] = {
            Request: self._on_request,
            Ended: self._on_ended,
            ClientDisconnected: self._on_gone,
            Timer: self._on_timer,
            NewRoutes: self._on_routes,
        }
        self.take(routes)

    def handle(self, now: float, event: Event | NewRoutes) -> list[Action]:
        self.now = now
        handler = self.handlers.get(type(event))
        if handler is None and not self.runs:
            return self.inner.handle(now, event)  # type: ignore[arg-type]
        actions = self._pass(event) if handler is None else handler(event)  # type: ignore[arg-type]
        while self.freed:
            limiter = self.freed.pop()
            while (id := limiter.next()) is not None:
                actions += self._hand_on(self.runs[id])
        if self.alarms.due_at:
            due = self.alarms.next_due_at()
            if self.timer_at is None or due < self.timer_at:
                self.timer_at = due
                actions.append(SetTimer(max(0.0, due - now), GUARD))
        return actions

    # --- what comes in ------------------------------------------------------------------------------------

    def _on_request(self, r: Request) -> list[Action]:
        scope = self.scopes.get((r.route, r.job_class)) if r.route is not None else None
        if scope is None:
            return self._pass(r)
        self.serial += 1
        run = self.runs[r.id] = Run(r, scope, self.now, self.serial)
        if run.repeat and not self._pay(run):
            return self._refuse(run)
        if scope.limiter is None or scope.limiter.enter():
            return self._hand_on(run)
        queue = run.rules.queue
        until = run.deadline - self.margin_s
        if queue.longest_wait_s is not None:
            until = min(until, self.now + queue.longest_wait_s)
        loser: str | None = r.id
        if until > self.now:
            worth = self.inner.classes[r.job_class].value
            loser = scope.limiter.wait(r.id, worth, run.deadline, run.serial)
        if loser != r.id:
            self.alarms.put(r.id, until)
        return self._refuse(self.runs[loser]) if loser is not None else []

    def _on_ended(self, e: Ended) -> list[Action]:
        run = self.runs.get(e.request)
        if run is None or not run.out >> e.attempt & 1:
            return self._pass(e)
        run.out ^= 1 << e.attempt
        self._learn(run, e)
        actions: list[Action] = []
        if e.finished:
            self._close(run)
        elif not run.done:
            if not run.out:
                self.alarms.drop(run.id)  # its hedge
            if (limit := self._settle(run, e.ending)) is not None:
                actions = self._pass(limit)
        actions += self._pass(e)
        self._forget_if_over(run)
        return actions

    def _on_gone(self, e: ClientDisconnected) -> list[Action]:
        run = self.runs.get(e.request)
        if run is None:
            return self._pass(e)
        waited = run.waiting is not None
        self._close(run)
        return [] if waited else self._pass(e)

    def _on_timer(self, e: Timer) -> list[Action]:
        if e.token != GUARD:
            return self._pass(e)
        if self.timer_at is not None and self.now >= self.timer_at - EARLY_S:
            self.timer_at = None
        actions: list[Action] = []
        while (id := self.alarms.pop_due(self.now + EARLY_S)) is not None:
            actions += self._alarm(self.runs[id])
        return actions

    def _alarm(self, run: Run) -> list[Action]:
        if run.waiting is not None:
            return self._refuse(run)
        if run.out:
            return self._hedge(run)
        return self._pass(LimitUpdate(run.id, run.most))  # its backoff is over

    def _on_routes(self, e: NewRoutes) -> list[Action]:
        self.take(e.routes)
        return []

    # --- limits -------------------------------------------------------------------------------------------

    def _hand_on(self, run: Run) -> list[Action]:
        r, run.waiting = run.waiting, None
        assert r is not None
        self.alarms.drop(run.id)
        left = r.timeout_s - (self.now - run.arrived)
        try:
            return self._pass(Request(r.id, r.job_class, left, *r[3:-1], run.own))
        except Exception:
            self._close(run)  # a place must not stay taken for what nobody decides on
            raise

    def _settle(self, run: Run, ending: Ending) -> LimitUpdate | None:
        """An attempt has ended without an answer: what the limits say of another one, if it is news."""
        if ending in run.rules.resend_on:
            if run.out or run.sends >= run.most:
                return None
            wait_s = 0.0
            if run.rules.backoff.base_s > 0:
                wait_s = run.rules.backoff.wait_s(run.sends - run.copies, self.random.random())
            in_time = not wait_s or self.now + wait_s < run.deadline - self.margin_s
            if in_time and (run.paid or self._pay(run)):
                run.paid = False
                if not wait_s:
                    return None
                self.alarms.put(run.id, self.now + wait_s)
                return LimitUpdate(run.id, run.most, must_wait=True)
        run.most = run.sends
        return LimitUpdate(run.id, run.most)

    def _hedge(self, run: Run) -> list[Action]:
        """The Dispatcher may find that no worker should have a copy; then there is none."""
        run.hedged = True
        hedges, budget = run.scope.hedges, run.scope.budget
        if hedges is None or not hedges.left():  # None: the routes of now have none
            return []
        if budget is not None and not budget.left(self.now):
            return []
        sends = run.sends
        actions = self._pass(LimitUpdate(run.id, run.most, may_hedge=True))
        if run.sends > sends:
            run.copies += 1
            hedges.take()
            self._pay(run)
        return actions

    def _pay(self, run: Run) -> bool:
        return run.scope.budget is None or run.scope.budget.take(self.now)

    def _learn(self, run: Run, e: Ended) -> None:
        if (times := run.scope.times) is not None:
            if e.ending is Ending.OK:
                times.add(e.duration_s)
            elif e.ending in CUT:
                times.add_longer_than(e.duration_s)

    # --- what passes out ----------------------------------------------------------------------------------

    def _pass(self, event: Event) -> list[Action]:
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
                if run is not None and not run.done and not self._may_move(run, a.attempt):
                    continue
            elif isinstance(a, Reject | Fail) and (run := self.runs.get(a.request)) is not None:
                self._close(run)
            out.append(a)
        return out

    def _sent(self, run: Run, a: Send) -> Send:
        scope, rules = run.scope, run.rules
        run.out |= 1 << run.sends
        run.sends += 1
        if run.sends == 1:
            if scope.budget is not None and not run.repeat:
                scope.budget.sent(self.now)
            if scope.hedges is not None:
                scope.hedges.sent()
        if rules.hedge is not None and not run.hedged:
            after_s = rules.hedge.after_s
            if after_s is None and scope.times is not None:
                after_s = scope.times.value_s
            if after_s is not None:
                self.alarms.put(run.id, self.now + after_s)
        return a if rules.attempt_timeout_s is None else a._replace(timeout_s=rules.attempt_timeout_s)

    def _may_move(self, run: Run, attempt: int) -> bool:
        """The Dispatcher takes a silent worker's job elsewhere: not if it could not be sent again then."""
        if run.out ^ 1 << attempt:
            return True  # another copy is out, and this one is given up
        run.paid = Ending.CANCELLED in run.rules.resend_on and self._pay(run)
        return run.paid

    def _refuse(self, run: Run) -> list[Action]:
        """It was not sent to anyone."""
        self._close(run)
        return [Reject(run.id, self.settings.max_retry_after_s)]

    def _close(self, run: Run) -> None:
        """It is answered, or nobody waits for an answer."""
        if run.done:
            return
        run.done = True
        self.alarms.drop(run.id)
        if (limiter := run.scope.limiter) is not None:
            if run.waiting is None:
                limiter.leave()
                self.freed.append(limiter)
            else:
                limiter.drop(run.id)
        self._forget_if_over(run)

    def _forget_if_over(self, run: Run) -> None:
        if run.done and not run.out:
            self.runs.pop(run.id, None)

    def _pool(self, route: Route) -> WorkerPool | None:
        """Whom its jobs may go to, within the kind that their class needs."""
        kinds, zones = route.pool.kinds, route.pool.zones
        if not (kinds or zones):
            return None
        needed = self.inner.classes[route.job_class].kind
        return WorkerPool(frozenset({needed}) if needed is not None else kinds, zones)

    # --- routes -------------------------------------------------------------------------------------------

    def take(self, routes: Routes) -> None:
        """These hold for what comes; counts go on where the setting is the same. O(routes, runs, workers)."""
        old, self.scopes = self.scopes, {}
        for route in routes.all:
            most = min(route.attempts or self.settings.max_attempts, self.settings.max_attempts)
            own = RequestLimits(most, route.priority, self._pool(route))
            self.scopes[route.name, route.job_class] = Scope(route, own)
        self._limiters()
        self._counters(old)
        for run in self.runs.values():
            self._move(run)
        held = set(self.scopes.values())
        self.gone = list({run.scope: None for run in self.runs.values() if run.scope not in held})
        needed = {scope.own.pool for scope in self.scopes.values()}
        needed |= {run.own.pool for run in self.runs.values()}
        fleet = self.inner.worker_index
        fleet.drop_pools([p for p in fleet.pools if isinstance(p, WorkerPool) and p not in needed])
        for pool in needed - {None}:
            fleet.pool(pool)

    def _limiters(self) -> None:
        made: dict[tuple[str, int, Queue], Limiter] = {}
        for scope in self.scopes.values():
            route = scope.route
            if route.concurrency is not None:
                key = route.name, route.concurrency, route.queue
                scope.limiter = made.setdefault(key, Limiter(route.concurrency, route.queue))

    def _counters(self, old: dict[Key, Scope]) -> None:
        cls, s = self.inner.classes, self.settings
        budgets: dict[tuple[str, RetryBudget], Budget] = {}
        hedges: dict[tuple[str, float], Allowance] = {}
        for key, scope in self.scopes.items():
            route, was = scope.route, old.get(key)
            if (rule := route.retry_budget) is not None:
                if (route.name, rule) not in budgets:
                    budget = was.budget if was is not None else None
                    if budget is None or budget.window_s != rule.window_s or budget in budgets.values():
                        budget = None
                    budget = self._budget(route, rule, budget)
                    budget.tune(rule)
                    budgets[route.name, rule] = budget
                scope.budget = budgets[route.name, rule]
            safe = cls[route.job_class].effect is not Effect.UNSAFE
            if route.hedge is not None and safe and s.may_cancel:
                share = route.hedge.most
                if (route.name, share) not in hedges:
                    saved = was.hedges if was is not None else None
                    if saved is None or saved in hedges.values():
                        saved = Allowance(share)
                    hedges[route.name, share] = saved
                    saved.share = share
                scope.hedges = hedges[route.name, share]
                if (percentile := route.hedge.percentile) is not None:
                    times = was.times if was is not None else None
                    same = times is not None and times.percentile == percentile
                    scope.times = times if same else Times(percentile)

    def _budget(self, route: Route, rule: RetryBudget, kept: Budget | None) -> Budget:
        if self.share is None:
            return kept or Budget(rule)
        from finchladder.core.peers.retries import SharedBudget  # what is off need not be loaded

        # also where it is kept: its limit may be another now
        bucket = self.share(f"retry.{route.name}", rule.least_per_s)
        return kept or SharedBudget(rule, bucket)

    def _move(self, run: Run) -> None:
        """To its route as it is now, so that its place counts there; one whose route is gone stays."""
        scope, before = self.scopes.get((run.rules.name, run.rules.job_class)), run.scope.limiter
        if scope is None or run.done or (before is not None and scope.limiter is None):
            return
        run.scope = scope
        if run.waiting is None:
            if before is not None:
                before.leave()
            if scope.limiter is not None:
                scope.limiter.open += 1
        else:
            assert before is not None and scope.limiter is not None
            before.drop(run.id)
            worth = self.inner.classes[run.rules.job_class].value
            scope.limiter.put(run.id, worth, run.deadline, run.serial)
        self.freed += [limiter for limiter in (before, scope.limiter) if limiter is not None]


class Decisions(Protocol):
    """What an actor hands its events to: a Dispatcher as it is, or Guarded."""

    settings: Settings

    def handle(self, now: float, event: Any) -> list[Action]: ...


def decisions(
    settings: Settings,
    seed: int,
    routes: Routes | None,
    spill: SpilloverSettings | None = None,
    share: "Share | None" = None,
) -> Dispatcher | Guarded:
    """`routes` None: there is no file that could have them, now or later. `spill` None: zones are as one.

    `share`: where dispatchers share budgets, gives this one's part of one.
    """
    if spill is None:
        dispatcher = Dispatcher(settings, seed)
    else:
        from finchladder.core.dispatch.zone_dispatcher import ZoneDispatcher  # what is off need not be loaded

        dispatcher = ZoneDispatcher(settings, seed, spill)
    return dispatcher if routes is None else Guarded(dispatcher, routes, seed, share)
