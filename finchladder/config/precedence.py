"""Precedence of settings: `[route.NAME]` over `[class.NAME]` over `[defaults]`, for each setting."""

from dataclasses import dataclass
from typing import Any

from finchladder.config.findings import FindingCollector, join_choices, quote_value
from finchladder.config.positions import Path
from finchladder.config.value_checks import GivenValue, ValuesByPath
from finchladder.core.api import Ending, JobClass, Settings, WorkerPool
from finchladder.core.routing.routes import (
    Backoff,
    Hedge,
    Match,
    Queue,
    QueueOrder,
    RetryBudget,
    Route,
    retryable_endings,
)

DEFAULT_JITTER = 0.5
DEFAULT_MAX_BACKOFF_S = 1.0
DEFAULT_MAX_HEDGE_SHARE = 0.05
ALTERNATIVES = {
    "hedge_after": "hedge_after_s",
    "hedge_after_s": "hedge_after",
}  # a level that sets one of them removes the other one of lower levels


@dataclass(frozen=True, slots=True)
class ResolvedRoute:
    """A route for one class of jobs; `cls` is None where the platform's settings are not known."""

    name: str
    job_class: str | None
    cls: JobClass | None
    match: Match
    values: ValuesByPath

    @property
    def path(self) -> Path:
        """Path of the route's table in the file."""
        return ("route", self.name)

    def get(self, name: str, absent: Any = None) -> Any:
        """Returns a setting's value, or `absent`."""
        return self.values[name].value if name in self.values else absent

    def first_given(self, *names: str) -> GivenValue | None:
        """Returns the first of the named settings that the file has."""
        return next((self.values[name] for name in names if name in self.values), None)

    @property
    def hedge_trigger(self) -> GivenValue | None:
        """The setting that enables hedged requests, or None if they are disabled."""
        on = self.first_given("hedge_after", "hedge_after_s")
        off = self.get("hedge_most", DEFAULT_MAX_HEDGE_SHARE) == 0 or self.get("attempts") == 1
        return None if off else on

    @property
    def backoff(self) -> Backoff:
        """The backoff between attempts, with defaults applied."""
        base = self.get("backoff.base_s", 0.0)
        most = self.get("backoff.most_s", max(base, DEFAULT_MAX_BACKOFF_S) if base else 0.0)
        return Backoff(base, most, self.get("backoff.jitter", DEFAULT_JITTER) if base else 0.0)


def resolve_routes(
    collector: FindingCollector,
    settings: Settings | None,
    defaults: ValuesByPath,
    classes: dict[str, ValuesByPath],
    routes: dict[str, ValuesByPath],
) -> list[ResolvedRoute]:
    """Resolves each route for every class that it can match; unknown classes become findings."""
    known = {c.name: c for c in settings.classes} if settings is not None else None
    for name in classes:
        if known is not None and name not in known:
            collector.add(
                "FL161", ("class", name), f"there is no class {quote_value(name)}", known=join_choices(known)
            )
    found: list[ResolvedRoute] = []
    for name, own in routes.items():
        match = _match(own)
        named = {
            given.value: given for given in (own.get("class"), own.get("match.class")) if given is not None
        }
        if match.path is not None:
            named.setdefault(match.path.split("/")[1], own["match.path"])
        if len(named) > 1:
            quoted = " and ".join(quote_value(job_class) for job_class in named)
            collector.add(
                "FL144",
                ("route", name),
                f"nothing can match it, as a job has only one of the classes {quoted}",
            )
            continue
        job_class = next(iter(named), None)
        if job_class is not None and known is not None and job_class not in known:
            reason = f"nothing can match it, as there is no class {quote_value(job_class)}"
            collector.add("FL161", named[job_class].path, reason, known=join_choices(known))
            continue
        match = Match(job_class, match.path, match.method, match.headers)
        for one in [job_class] if job_class is not None or known is None else known:
            values = _override(_override(dict(defaults), classes.get(one or "", {})), own)
            found.append(ResolvedRoute(name, one, (known or {}).get(one or ""), match, values))
    return found


def _override(below: ValuesByPath, above: ValuesByPath) -> ValuesByPath:
    for name in above:
        below.pop(ALTERNATIVES.get(name, ""), None)
    return below | above


def _match(own: ValuesByPath) -> Match:
    def of(name: str) -> Any:
        return own[f"match.{name}"].value if f"match.{name}" in own else None

    headers = tuple(sorted((name.lower(), value) for name, value in (of("headers") or {}).items()))
    return Match(of("class"), of("path"), of("method"), headers)


def build_route(r: ResolvedRoute) -> Route:
    """Builds the core's route from one without findings."""
    assert r.cls is not None
    hedge, budget = None, None
    if r.hedge_trigger is not None:
        after = r.get("hedge_after")
        percentile = float(after[1:]) if after is not None else None
        hedge = Hedge(r.get("hedge_after_s"), percentile, r.get("hedge_most", DEFAULT_MAX_HEDGE_SHARE))
    if "retry_budget.share" in r.values:
        least = r.get("retry_budget.least_per_s", 1.0)
        window, repeats = r.get("retry_budget.window_s", 10.0), r.get("retry_budget.repeats", False)
        budget = RetryBudget(r.get("retry_budget.share"), least, window, repeats)
    queue = Queue(
        r.get("queue.length", 0), QueueOrder(r.get("queue.order", "worth")), r.get("queue.longest_wait_s")
    )
    allowed = retryable_endings(r.cls)
    resend_on = allowed & {Ending(name) for name in r.get("resend_on", [e.value for e in allowed])}
    return Route(
        name=r.name,
        job_class=r.cls.name,
        match=r.match,
        timeout_s=r.get("timeout_s"),
        attempt_timeout_s=r.get("attempt_timeout_s"),
        attempts=r.get("attempts"),
        backoff=r.backoff,
        resend_on=resend_on,
        hedge=hedge,
        retry_budget=budget,
        concurrency=r.get("concurrency"),
        queue=queue,
        priority=r.get("priority", 0),
        pool=WorkerPool(frozenset(r.get("pool.kinds", ())), frozenset(r.get("pool.zones", ()))),
    )
