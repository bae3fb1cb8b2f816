"""What routes can't mean: settings that contradict each other, another route, or the platform's settings.

Pure: routes with the origin of each value go in, findings come out.
"""

from collections.abc import Iterable
from itertools import combinations

from finchladder.config.findings import FindingCollector, listed, shown
from finchladder.config.positions import Path
from finchladder.config.precedence import ResolvedRoute
from finchladder.config.value_checks import GivenValue, ValuesByPath
from finchladder.core.api import DeduplicationScope, Effect, Settings
from finchladder.core.routing.routes import MAY_HAVE_RUN, Match

METHOD = "POST"  # all jobs come by it; others are answered 405 before there is a job
NEAR = 1e-9  # sums of times are not exact

RISKY = {e.value for e in MAY_HAVE_RUN}


def check(
    notes: FindingCollector,
    settings: Settings | None,
    defaults: ValuesByPath | None,
    classes: dict[str, ValuesByPath],
    routes: dict[str, ValuesByPath],
    resolved: list[ResolvedRoute],
) -> None:
    if not notes.found:  # else what could not be read may be what it stands below
        _unused(notes, defaults, classes, routes, resolved)
    for name, own in routes.items():
        _matches(notes, name, own)
    void = Void(notes)
    for r in resolved:
        times(notes, r)
        resends(notes, void, r)
        hedges(notes, void, r)
        queues(notes, void, r)
        if settings is not None:
            platform(notes, r, settings)
            effects(notes, r)
            pools(notes, r, settings)
    void.tell()
    _alike(notes, resolved)
    _inverted(notes, resolved)


class Void:
    """Settings that change nothing, wherever they hold.

    What stands below routes may be of use to one of them alone, and may be overridden by any of them.
    """

    def __init__(self, notes: FindingCollector) -> None:
        self.notes = notes
        self.found: dict[tuple[str, Path], str] = {}
        self.of_use: set[tuple[str, Path]] = set()

    def judge(
        self, code: str, one: GivenValue | None, void: bool, by: GivenValue | None, reason: str
    ) -> None:
        """`by`: the setting that makes it void, if that is one."""
        if one is None:
            return
        if void and (by is None or one.level >= by.level):
            self.found.setdefault((code, one.path), reason)
        elif not void:
            self.of_use.add((code, one.path))

    def tell(self) -> None:
        for (code, path), reason in self.found.items():
            if (code, path) not in self.of_use:
                self.notes.add(code, path, reason)


# --- which jobs ---------------------------------------------------------------------------------------------


def _matches(notes: FindingCollector, name: str, own: ValuesByPath) -> None:
    if "class?" not in own and "match?" not in own:
        notes.add("FL143", ("route", name), f"route {name} does not say which jobs it is for")
    method = own.get("match.method")
    if method is not None and method.value != METHOD:
        notes.add("FL146", method.path, f"nothing can match it, as jobs come by {METHOD} alone")


def _unused(
    notes: FindingCollector,
    defaults: ValuesByPath | None,
    classes: dict[str, ValuesByPath],
    routes: dict[str, ValuesByPath],
    resolved: list[ResolvedRoute],
) -> None:
    if defaults is not None and not routes:
        notes.add("FL148", ("defaults",), "[defaults] stands below no route, so it changes nothing")
    used = {r.job_class for r in resolved}
    for name in classes:
        if name not in used and None not in used:
            reason = f"[class.{name}] stands below no route, so it changes nothing"
            notes.add("FL147", ("class", name), reason)


def _alike(notes: FindingCollector, resolved: list[ResolvedRoute]) -> None:
    """Two routes that are equally specific, and that one and the same job could match."""
    groups: dict[object, dict[str, ResolvedRoute]] = {}
    for r in resolved:
        groups.setdefault((r.match.rank, r.match.parts), {})[r.name] = r  # once, if it is for all classes
    for group in groups.values():
        for a, b in combinations(group.values(), 2):
            if _overlap(a.match, b.match):
                line = notes.places.find(a.path).line
                reason = f"route {b.name} matches jobs that route {a.name}, at line {line}, matches as well"
                notes.add("FL145", b.path, reason)


def _overlap(a: Match, b: Match) -> bool:
    """Of two that are equally specific and on the same path."""
    if a.method != b.method:
        return False
    values = dict(b.headers)
    return all("*" in (value, values.get(name, "*")) or values[name] == value for name, value in a.headers)


def _inverted(notes: FindingCollector, resolved: list[ResolvedRoute]) -> None:
    """A class of more worth must not come after one of less."""
    ranked = sorted((r for r in resolved if r.cls is not None), key=lambda r: -r.cls.value if r.cls else 0)
    least: ResolvedRoute | None = None  # priority, of those whose worth is greater
    waiting: list[ResolvedRoute] = []  # of the worth that is looked at
    for r in ranked:
        assert r.cls is not None
        if waiting and waiting[0].cls is not None and waiting[0].cls.value > r.cls.value:
            least = min([*waiting, *([least] if least else [])], key=lambda w: int(w.get("priority", 0)))
            waiting = []
        waiting.append(r)
        if least is not None and least.get("priority", 0) < r.get("priority", 0):
            said = r.first_given("priority") or least.first_given("priority")
            assert said is not None
            better, worse = f"route {least.name} ({least.job_class})", f"route {r.name} ({r.job_class})"
            notes.add(
                "FL173",
                said.path,
                f"{worse} would go before {better}, which is worth more",
                better=better,
                worse=worse,
            )


# --- each route by itself -----------------------------------------------------------------------------------


def _whole(r: ResolvedRoute) -> tuple[float, str] | None:
    """How long a job of the route has at most, and what says so."""
    timeout = r.get("timeout_s")
    if r.cls is not None and (timeout is None or r.cls.deadline_s < timeout):
        return r.cls.deadline_s, f"the deadline of {r.cls.name}, {r.cls.deadline_s:g} s"
    return (timeout, f"timeout_s, {timeout:g} s") if timeout is not None else None


def times(notes: FindingCollector, r: ResolvedRoute) -> None:
    whole, one = _whole(r), r.first_given("attempt_timeout_s")
    if whole is None:
        return
    most, what = whole
    if one is not None and one.value > most:
        notes.add("FL131", one.path, f"attempt_timeout_s is longer than {what}", most=most)
        return
    sends = r.first_given("attempts")
    count = sends.value if sends is not None else 2
    each = one.value if one is not None and sends is not None else 0.0
    took = count * each + r.backoff.max_total_wait_s(count - 1)
    if took > most + NEAR:
        wait = r.first_given("backoff.base_s")
        said = _last(*(s for s in (sends, one if sends else None, wait) if s is not None))
        code = "FL132" if what.startswith("timeout_s") else "FL163"
        reason = f"{count} attempts with their backoff may take {took:g} s, longer than {what}"
        notes.add(code, said.path, f"in route {r.name} {reason}")


def resends(notes: FindingCollector, void: Void, r: ResolvedRoute) -> None:
    sends = r.first_given("attempts")
    base, most = r.first_given("backoff.base_s"), r.first_given("backoff.most_s")
    if base is not None and most is not None and most.value < base.value:
        reason = f"most_s, {most.value:g}, is less than base_s, {base.value:g}"
        notes.add("FL133", _last(base, most).path, reason)
    for name in ("backoff.most_s", "backoff.jitter"):
        reason = f"{name} changes nothing, as there is no wait"
        void.judge("FL129", r.first_given(name), not r.get("backoff.base_s"), base, reason)
    for name in ("backoff.base_s", "resend_on", "retry_budget.share"):
        reason = f"{name} changes nothing, as attempts = 1 lets no job be sent again"
        counts = name == "retry_budget.share" and r.get("retry_budget.repeats", False)  # clients' own, too
        once = r.get("attempts") == 1 and not counts
        void.judge("FL134", r.first_given(name), once and r.get(name) != [], sends, reason)
    again = r.first_given("resend_on")
    if sends is not None and sends.value > 1 and again is not None and not again.value and r.hedges is None:
        reason = f"route {r.name} has {sends.value} attempts, and no ending lets a job be sent again"
        notes.add("FL135", _last(sends, again).path, reason)
    share, least = r.first_given("retry_budget.share"), r.first_given("retry_budget.least_per_s")
    for other in (least, r.first_given("retry_budget.window_s"), r.first_given("retry_budget.repeats")):
        void.judge("FL128", other, share is None, None, "retry_budget does not say its share")
    none = [said for said in (share, least) if said is not None and said.value == 0]
    if len(none) == 2 and r.get("attempts") != 1:
        count = f"{sends.value} attempts" if sends is not None else "resends"
        reason = f"route {r.name} has {count}, and a budget of 0 for them"
        notes.add("FL136", _last(*none).path, reason)


def _last(*said: GivenValue) -> GivenValue:
    """The one of the highest level: the first of those."""
    return max(said, key=lambda s: s.level)


def hedges(notes: FindingCollector, void: Void, r: ResolvedRoute) -> None:
    on, sends, share = (
        r.first_given("hedge_after", "hedge_after_s"),
        r.first_given("attempts"),
        r.first_given("hedge_most"),
    )
    off = share is not None and share.value == 0  # says that there are none, which is of use in any case
    void.judge("FL138", share, on is None and not off, None, "hedge_most changes nothing without hedge_after")
    if not off:
        reason = "a hedge is a second attempt, and attempts = 1"
        void.judge("FL137", on, r.get("attempts") == 1, sends, reason)
    after, bounds = r.first_given("hedge_after_s"), [b for b in (_whole(r), _attempt(r)) if b is not None]
    if after is not None and r.hedges is not None and bounds and after.value >= min(bounds)[0]:
        most, what = min(bounds)
        notes.add("FL139", after.path, f"no hedge would ever be sent within {what}", most=most)


def _attempt(r: ResolvedRoute) -> tuple[float, str] | None:
    one = r.get("attempt_timeout_s")
    return (one, f"attempt_timeout_s, {one:g} s") if one is not None else None


def queues(notes: FindingCollector, void: Void, r: ResolvedRoute) -> None:
    length, order, wait = (r.first_given(f"queue.{name}") for name in ("length", "order", "longest_wait_s"))
    alone = "concurrency" not in r.values
    for one in (length, order, wait):
        reason = "a queue changes nothing without concurrency, as nothing waits"
        void.judge("FL140", one, alone, None, reason)
        if one is not length and not alone:
            reason = "this changes nothing, as the queue's length is 0"
            void.judge("FL142", one, not r.get("queue.length"), length, reason)
    whole = _whole(r)
    if wait is not None and whole is not None and wait.value > whole[0]:
        notes.add("FL141", wait.path, f"longest_wait_s is longer than {whole[1]}", most=whole[0])


# --- against the platform's settings ------------------------------------------------------------------------


def platform(notes: FindingCollector, r: ResolvedRoute, settings: Settings) -> None:
    timeout, sends, cls = r.first_given("timeout_s"), r.first_given("attempts"), r.cls
    assert cls is not None
    if timeout is not None and timeout.value > cls.deadline_s:
        reason = f"clients of {cls.name} wait {cls.deadline_s:g} s, so timeout_s would never end a job"
        notes.add("FL162", timeout.path, reason, most=cls.deadline_s)
    if timeout is not None and timeout.value < cls.latency_target_s:
        target_s = cls.latency_target_s
        reason = f"timeout_s ends jobs of {cls.name} that could still be within their aim, {target_s:g} s"
        notes.add("FL174", timeout.path, reason, least=cls.latency_target_s)
    if sends is not None and sends.value > settings.max_attempts:
        reason = f"the platform's try limit is {settings.max_attempts}"
        notes.add("FL164", sends.path, reason, most=settings.max_attempts)
    if (on := r.hedges) is not None:
        if not settings.may_hedge:
            notes.add("FL165", on.path, "the platform allows no second copies", where=_where(r))
        elif not settings.may_cancel:
            reason = "the platform allows no cancels, so every second copy would run to its end"
            notes.add("FL175", on.path, reason, where=_where(r))


def _where(r: ResolvedRoute) -> str:
    """The section that can say otherwise for this class alone."""
    return f"[class.{r.job_class}]" if r.match.job_class is None else f"[route.{r.name}]"


def effects(notes: FindingCollector, r: ResolvedRoute) -> None:
    """No resend or second copy that the class forbids, as far as the file asks for one by name."""
    cls, on = r.cls, r.hedges
    assert cls is not None
    again = r.first_given("resend_on")
    risky = [word for word in (again.value if again is not None else []) if word in RISKY]
    if cls.effect is Effect.UNSAFE:
        if on is not None:
            reason = f"a job of {cls.name} must never run twice, and a hedge sends it twice"
            notes.add("FL166", on.path, reason, where=_where(r))
        if again is not None and risky and r.get("attempts") != 1:
            reason = f"a job of {cls.name} must never run twice, and after {listed(risky)} it may have run"
            notes.add("FL167", (*again.path, again.value.index(risky[0])), reason)
    if cls.effect is not Effect.KEYED:
        return
    sends, one = r.first_given("attempts"), r.first_given("attempt_timeout_s")
    after = r.first_given("hedge_after_s")
    if on is not None and after is not None and after.value > cls.deduplication_window_s:
        _leaves_window(notes, r, after, after.value)
    elif sends is not None and one is not None and (again is None or risky):
        last = (sends.value - 1) * one.value + r.backoff.max_total_wait_s(sends.value - 1)
        if last > cls.deduplication_window_s + NEAR:
            _leaves_window(notes, r, _last(sends, one), last)
    zones = r.first_given("pool.zones")
    if (
        cls.deduplication_scope is DeduplicationScope.ZONE
        and zones is not None
        and len(zones.value) > 1
        and (on is not None or (sends is not None and sends.value > 1 and (again is None or risky)))
    ):
        reason = f"repeats of {cls.name} are dropped within one zone alone, and its resends may go to another"
        notes.add("FL169", zones.path, reason)


def _leaves_window(notes: FindingCollector, r: ResolvedRoute, said: GivenValue, last_s: float) -> None:
    assert r.cls is not None
    window = f"{r.cls.deduplication_window_s:g} s"
    reason = f"repeats of {r.cls.name} are dropped for {window}, and its last send may be after {last_s:g} s"
    notes.add("FL168", said.path, reason, most=r.cls.deduplication_window_s)


def pools(notes: FindingCollector, r: ResolvedRoute, settings: Settings) -> None:
    assert r.cls is not None
    kinds = _there(notes, "FL170", "kind", r.first_given("pool.kinds"), settings.kinds)
    _there(notes, "FL171", "zone", r.first_given("pool.zones"), settings.zones)
    if kinds is not None and r.cls.kind is not None and kinds.value and r.cls.kind not in kinds.value:
        reason = f"nothing could run jobs of {r.cls.name}, which need kind {shown(r.cls.kind)}"
        notes.add("FL172", kinds.path, reason, kind=shown(r.cls.kind))


def _there(
    notes: FindingCollector, code: str, what: str, said: GivenValue | None, known: Iterable[str]
) -> GivenValue | None:
    for n, word in enumerate(said.value if said is not None else ()):
        if word not in known:
            notes.add(
                code,
                (*said.path, n) if said else (),
                f"there is no {what} {shown(word)}",
                known=listed(known),
            )
    return said
