"""Semantic checks of routes: contradictions with themselves, other routes or the platform's settings.

The checks have no side effects but findings; they take routes with the origin of each value.
"""

from collections.abc import Iterable
from itertools import combinations

from finchladder.config.findings import FindingCollector, join_choices, quote_value
from finchladder.config.positions import Path
from finchladder.config.precedence import ResolvedRoute
from finchladder.config.value_checks import GivenValue, ValuesByPath
from finchladder.core.api import DeduplicationScope, Effect, Settings
from finchladder.core.routing.routes import MAY_HAVE_RUN, Match

JOB_METHOD = "POST"  # the method of all jobs; others are answered 405 before a job is created
TIME_TOLERANCE_S = 1e-9  # for rounding errors in sums

MAY_HAVE_RUN_NAMES = {e.value for e in MAY_HAVE_RUN}


def check_routes(
    collector: FindingCollector,
    settings: Settings | None,
    defaults: ValuesByPath | None,
    classes: dict[str, ValuesByPath],
    routes: dict[str, ValuesByPath],
    resolved: list[ResolvedRoute],
) -> None:
    """Runs all semantic checks; comparisons with the platform's settings only if these are given."""
    if not collector.findings:  # an invalid part might use a section that seems unused
        _check_unused(collector, defaults, classes, routes, resolved)
    for name, own in routes.items():
        _check_match(collector, name, own)
    void = IneffectiveSettings(collector)
    for r in resolved:
        check_timeouts(collector, r)
        check_retries(collector, void, r)
        check_hedging(collector, void, r)
        check_queues(collector, void, r)
        if settings is not None:
            check_platform_limits(collector, r, settings)
            check_effects(collector, r)
            check_pools(collector, r, settings)
    void.report()
    _check_ambiguity(collector, resolved)
    _check_priorities(collector, resolved)


class IneffectiveSettings:
    """Settings that have no effect for any route.

    A setting of a lower level is shared by several routes, so it is reported only if none of them uses it.
    """

    def __init__(self, collector: FindingCollector) -> None:
        """Starts without recorded settings."""
        self.collector = collector
        self.found: dict[tuple[str, Path], str] = {}
        self.effective: set[tuple[str, Path]] = set()

    def record(
        self, code: str, one: GivenValue | None, void: bool, by: GivenValue | None, reason: str
    ) -> None:
        """Records whether a setting has an effect for one route.

        Args:
            code: The finding's code.
            one: The setting, if given.
            void: Whether it has no effect.
            by: The setting that is the cause, if there is one.
            reason: The finding's reason.
        """
        if one is None:
            return
        if void and (by is None or one.level >= by.level):
            self.found.setdefault((code, one.path), reason)
        elif not void:
            self.effective.add((code, one.path))

    def report(self) -> None:
        """Adds a finding for each setting that had no effect for any route."""
        for (code, path), reason in self.found.items():
            if (code, path) not in self.effective:
                self.collector.add(code, path, reason)


# --- matched jobs -------------------------------------------------------------------------------------------


def _check_match(collector: FindingCollector, name: str, own: ValuesByPath) -> None:
    if "class?" not in own and "match?" not in own:
        collector.add("FL143", ("route", name), f"route {name} has neither class nor match")
    method = own.get("match.method")
    if method is not None and method.value != JOB_METHOD:
        collector.add("FL146", method.path, f"nothing can match it, as all jobs are {JOB_METHOD} requests")


def _check_unused(
    collector: FindingCollector,
    defaults: ValuesByPath | None,
    classes: dict[str, ValuesByPath],
    routes: dict[str, ValuesByPath],
    resolved: list[ResolvedRoute],
) -> None:
    if defaults is not None and not routes:
        collector.add("FL148", ("defaults",), "[defaults] has no effect, as there are no routes")
    used = {r.job_class for r in resolved}
    for name in classes:
        if name not in used and None not in used:
            reason = f"[class.{name}] has no effect, as no route has jobs of this class"
            collector.add("FL147", ("class", name), reason)


def _check_ambiguity(collector: FindingCollector, resolved: list[ResolvedRoute]) -> None:
    """Finds routes that are equally specific and could match the same job."""
    groups: dict[object, dict[str, ResolvedRoute]] = {}
    for r in resolved:
        # by name, so that a route that matches all classes is included once
        groups.setdefault((r.match.rank, r.match.parts), {})[r.name] = r
    for group in groups.values():
        for a, b in combinations(group.values(), 2):
            if _overlap(a.match, b.match):
                line = collector.positions.find(a.path).line
                reason = f"route {b.name} matches jobs that route {a.name}, at line {line}, matches as well"
                collector.add("FL145", b.path, reason)


def _overlap(a: Match, b: Match) -> bool:
    """Returns whether two equally specific matches on the same path can match one job."""
    if a.method != b.method:
        return False
    values = dict(b.headers)
    return all("*" in (value, values.get(name, "*")) or values[name] == value for name, value in a.headers)


def _check_priorities(collector: FindingCollector, resolved: list[ResolvedRoute]) -> None:
    """Finds classes of higher value with a lower priority than a class of lower value."""
    ranked = sorted((r for r in resolved if r.cls is not None), key=lambda r: -r.cls.value if r.cls else 0)
    least: ResolvedRoute | None = None  # the route with the lowest priority among classes of higher value
    waiting: list[ResolvedRoute] = []  # routes of classes with the current value
    for r in ranked:
        assert r.cls is not None
        if waiting and waiting[0].cls is not None and waiting[0].cls.value > r.cls.value:
            least = min([*waiting, *([least] if least else [])], key=lambda w: int(w.get("priority", 0)))
            waiting = []
        waiting.append(r)
        if least is not None and least.get("priority", 0) < r.get("priority", 0):
            given = r.first_given("priority") or least.first_given("priority")
            assert given is not None
            better, worse = f"route {least.name} ({least.job_class})", f"route {r.name} ({r.job_class})"
            collector.add(
                "FL173",
                given.path,
                f"{worse} would take precedence over {better}, whose jobs have a higher value",
                better=better,
                worse=worse,
            )


# --- each route separately ----------------------------------------------------------------------------------


def _total_limit(r: ResolvedRoute) -> tuple[float, str] | None:
    """Returns the time limit of a job of the route, in seconds, and a description of its origin."""
    timeout = r.get("timeout_s")
    if r.cls is not None and (timeout is None or r.cls.deadline_s < timeout):
        return r.cls.deadline_s, f"the deadline of {r.cls.name}, {r.cls.deadline_s:g} s"
    return (timeout, f"timeout_s, {timeout:g} s") if timeout is not None else None


def check_timeouts(collector: FindingCollector, r: ResolvedRoute) -> None:
    """Checks that the attempts and their backoff fit within the route's time limit."""
    total, one = _total_limit(r), r.first_given("attempt_timeout_s")
    if total is None:
        return
    most, what = total
    if one is not None and one.value > most:
        collector.add("FL131", one.path, f"attempt_timeout_s is longer than {what}", most=most)
        return
    sends = r.first_given("attempts")
    count = sends.value if sends is not None else 2
    each = one.value if one is not None and sends is not None else 0.0
    took = count * each + r.backoff.max_total_wait_s(count - 1)
    if took > most + TIME_TOLERANCE_S:
        wait = r.first_given("backoff.base_s")
        given = _most_specific(*(s for s in (sends, one if sends else None, wait) if s is not None))
        code = "FL132" if what.startswith("timeout_s") else "FL163"
        reason = f"{count} attempts with their backoff may take {took:g} s, longer than {what}"
        collector.add(code, given.path, f"in route {r.name} {reason}")


def check_retries(collector: FindingCollector, void: IneffectiveSettings, r: ResolvedRoute) -> None:
    """Checks the settings of retries, backoff and retry budget."""
    sends = r.first_given("attempts")
    base, most = r.first_given("backoff.base_s"), r.first_given("backoff.most_s")
    if base is not None and most is not None and most.value < base.value:
        reason = f"most_s, {most.value:g}, is less than base_s, {base.value:g}"
        collector.add("FL133", _most_specific(base, most).path, reason)
    for name in ("backoff.most_s", "backoff.jitter"):
        reason = f"{name} has no effect, as base_s is 0"
        void.record("FL129", r.first_given(name), not r.get("backoff.base_s"), base, reason)
    for name in ("backoff.base_s", "resend_on", "retry_budget.share"):
        reason = f"{name} has no effect, as attempts = 1 allows no retries"
        # with `repeats` the budget also limits client retries
        counts = name == "retry_budget.share" and r.get("retry_budget.repeats", False)
        once = r.get("attempts") == 1 and not counts
        void.record("FL134", r.first_given(name), once and r.get(name) != [], sends, reason)
    again = r.first_given("resend_on")
    if (
        sends is not None
        and sends.value > 1
        and again is not None
        and not again.value
        and r.hedge_trigger is None
    ):
        reason = f"route {r.name} has {sends.value} attempts, but resend_on allows no retries"
        collector.add("FL135", _most_specific(sends, again).path, reason)
    share, least = r.first_given("retry_budget.share"), r.first_given("retry_budget.least_per_s")
    for other in (least, r.first_given("retry_budget.window_s"), r.first_given("retry_budget.repeats")):
        void.record("FL128", other, share is None, None, "retry_budget has no share")
    none = [given for given in (share, least) if given is not None and given.value == 0]
    if len(none) == 2 and r.get("attempts") != 1:
        count = f"{sends.value} attempts" if sends is not None else "retries"
        reason = f"route {r.name} has {count}, but a retry budget of 0"
        collector.add("FL136", _most_specific(*none).path, reason)


def _most_specific(*given: GivenValue) -> GivenValue:
    """Returns the value with the highest level of precedence; the first of several."""
    return max(given, key=lambda s: s.level)


def check_hedging(collector: FindingCollector, void: IneffectiveSettings, r: ResolvedRoute) -> None:
    """Checks the settings of hedged requests."""
    on, sends, share = (
        r.first_given("hedge_after", "hedge_after_s"),
        r.first_given("attempts"),
        r.first_given("hedge_most"),
    )
    off = share is not None and share.value == 0  # disables hedging, which is always valid
    void.record("FL138", share, on is None and not off, None, "hedge_most has no effect without hedge_after")
    if not off:
        reason = "a hedge is a second attempt, but attempts = 1"
        void.record("FL137", on, r.get("attempts") == 1, sends, reason)
    after, bounds = (
        r.first_given("hedge_after_s"),
        [b for b in (_total_limit(r), _attempt_timeout(r)) if b is not None],
    )
    if after is not None and r.hedge_trigger is not None and bounds and after.value >= min(bounds)[0]:
        most, what = min(bounds)
        collector.add("FL139", after.path, f"no hedge would be sent within {what}", most=most)


def _attempt_timeout(r: ResolvedRoute) -> tuple[float, str] | None:
    one = r.get("attempt_timeout_s")
    return (one, f"attempt_timeout_s, {one:g} s") if one is not None else None


def check_queues(collector: FindingCollector, void: IneffectiveSettings, r: ResolvedRoute) -> None:
    """Checks the settings of the queue."""
    length, order, wait = (r.first_given(f"queue.{name}") for name in ("length", "order", "longest_wait_s"))
    alone = "concurrency" not in r.values
    for one in (length, order, wait):
        reason = "a queue has no effect without concurrency, as no job waits"
        void.record("FL140", one, alone, None, reason)
        if one is not length and not alone:
            reason = "this has no effect, as the queue's length is 0"
            void.record("FL142", one, not r.get("queue.length"), length, reason)
    total = _total_limit(r)
    if wait is not None and total is not None and wait.value > total[0]:
        collector.add("FL141", wait.path, f"longest_wait_s is longer than {total[1]}", most=total[0])


# --- comparison with the platform's settings ----------------------------------------------------------------


def check_platform_limits(collector: FindingCollector, r: ResolvedRoute, settings: Settings) -> None:
    """Checks a route against the platform's limits."""
    timeout, sends, cls = r.first_given("timeout_s"), r.first_given("attempts"), r.cls
    assert cls is not None
    if timeout is not None and timeout.value > cls.deadline_s:
        reason = f"clients of {cls.name} wait {cls.deadline_s:g} s, so timeout_s would never end a job"
        collector.add("FL162", timeout.path, reason, most=cls.deadline_s)
    if timeout is not None and timeout.value < cls.latency_target_s:
        target_s = cls.latency_target_s
        reason = (
            f"timeout_s ends jobs of {cls.name} that could still meet their latency target, {target_s:g} s"
        )
        collector.add("FL174", timeout.path, reason, least=cls.latency_target_s)
    if sends is not None and sends.value > settings.max_attempts:
        reason = f"the platform allows at most {settings.max_attempts} attempts"
        collector.add("FL164", sends.path, reason, most=settings.max_attempts)
    if (on := r.hedge_trigger) is not None:
        if not settings.may_hedge:
            collector.add("FL165", on.path, "the platform allows no hedging", where=_where(r))
        elif not settings.may_cancel:
            reason = "the platform allows no cancellation, so every hedge would run to its end"
            collector.add("FL175", on.path, reason, where=_where(r))


def _where(r: ResolvedRoute) -> str:
    """Returns the section that can override the setting for this class only."""
    return f"[class.{r.job_class}]" if r.match.job_class is None else f"[route.{r.name}]"


def check_effects(collector: FindingCollector, r: ResolvedRoute) -> None:
    """Checks that the file asks for no retry or hedge that the class's effect forbids."""
    cls, on = r.cls, r.hedge_trigger
    assert cls is not None
    again = r.first_given("resend_on")
    risky = [name for name in (again.value if again is not None else []) if name in MAY_HAVE_RUN_NAMES]
    if cls.effect is Effect.UNSAFE:
        if on is not None:
            reason = f"a job of {cls.name} must never run twice, and a hedge sends it twice"
            collector.add("FL166", on.path, reason, where=_where(r))
        if again is not None and risky and r.get("attempts") != 1:
            reason = (
                f"a job of {cls.name} must never run twice, and after {join_choices(risky)} it may have run"
            )
            collector.add("FL167", (*again.path, again.value.index(risky[0])), reason)
    if cls.effect is not Effect.KEYED:
        return
    sends, one = r.first_given("attempts"), r.first_given("attempt_timeout_s")
    after = r.first_given("hedge_after_s")
    if on is not None and after is not None and after.value > cls.deduplication_window_s:
        _add_outside_window(collector, r, after, after.value)
    elif sends is not None and one is not None and (again is None or risky):
        last = (sends.value - 1) * one.value + r.backoff.max_total_wait_s(sends.value - 1)
        if last > cls.deduplication_window_s + TIME_TOLERANCE_S:
            _add_outside_window(collector, r, _most_specific(sends, one), last)
    zones = r.first_given("pool.zones")
    if (
        cls.deduplication_scope is DeduplicationScope.ZONE
        and zones is not None
        and len(zones.value) > 1
        and (on is not None or (sends is not None and sends.value > 1 and (again is None or risky)))
    ):
        reason = f"{cls.name} is deduplicated only within a zone, but its retries may go to another one"
        collector.add("FL169", zones.path, reason)


def _add_outside_window(
    collector: FindingCollector, r: ResolvedRoute, given: GivenValue, last_s: float
) -> None:
    assert r.cls is not None
    window = f"{r.cls.deduplication_window_s:g} s"
    reason = f"{r.cls.name} is deduplicated for {window}, but its last attempt may be after {last_s:g} s"
    collector.add("FL168", given.path, reason, most=r.cls.deduplication_window_s)


def check_pools(collector: FindingCollector, r: ResolvedRoute, settings: Settings) -> None:
    """Checks that a route's kinds and zones exist and can run its jobs."""
    assert r.cls is not None
    kinds = _check_known(collector, "FL170", "kind", r.first_given("pool.kinds"), settings.kinds)
    _check_known(collector, "FL171", "zone", r.first_given("pool.zones"), settings.zones)
    if kinds is not None and r.cls.kind is not None and kinds.value and r.cls.kind not in kinds.value:
        reason = f"nothing could run jobs of {r.cls.name}, which need kind {quote_value(r.cls.kind)}"
        collector.add("FL172", kinds.path, reason, kind=quote_value(r.cls.kind))


def _check_known(
    collector: FindingCollector, code: str, what: str, given: GivenValue | None, known: Iterable[str]
) -> GivenValue | None:
    for n, name in enumerate(given.value if given is not None else ()):
        if name not in known:
            collector.add(
                code,
                (*given.path, n) if given else (),
                f"there is no {what} {quote_value(name)}",
                known=join_choices(known),
            )
    return given
