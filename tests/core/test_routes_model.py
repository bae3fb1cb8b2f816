"""Exhaustive model of one job under a route: every path is checked against an independent set of rules.

A path is a sequence of choices: an ending of an open attempt, the route's timer, or the client's disconnect.
All paths are walked. Each send is checked against the events of the path, not against the dispatcher's state.
"""

from collections.abc import Iterator
from itertools import islice, product
from typing import Any, NamedTuple

import pytest

from finchladder import api
from finchladder.config.operator_file import Loaded, load
from finchladder.core.api import DeduplicationScope, Effect, Ending, JobClass
from finchladder.core.routing.limited_dispatcher import ROUTE_TIMER_TOKEN
from finchladder.core.routing.routes import Backoff, Hedge, RetryBudget, Route, Routes
from tests.config.platform import PLATFORMS
from tests.core.routes import RouteBench
from tests.helpers import KEYED, SAFE, UNSAFE, entry

WORKERS = [entry(f"w{n}", zone="ab"[n % 2], cell=n // 2, kind="fast") for n in range(6)]
PROOF = {"overloaded", "unreachable", "void"}  # endings that prove that the job has not run
UNLIMITED = RetryBudget(share=1.0, least_per_s=1000.0)


class Sent(NamedTuple):
    worker: str
    at: float


class World(RouteBench):
    """Plays one job after another; the health state of the workers is reset in between."""

    def __init__(self, route: Route, **changes: Any) -> None:
        super().__init__(Routes([route]), WORKERS, **changes)
        self.route, self.cls = route, self.g.inner.classes[route.job_class]
        self.retries = self.hedges = self.paths = 0

    def walk(self) -> None:
        path: list[tuple[int, int]] = []  # index of each choice, and the number of choices
        while True:
            self.play(path)
            self.paths += 1
            while path and path[-1][0] == path[-1][1] - 1:
                path.pop()
            if not path:
                return
            path[-1] = path[-1][0] + 1, path[-1][1]

    def play(self, path: list[tuple[int, int]]) -> None:
        for w in self.g.inner.workers.values():
            w.restart(w.started_at, 100.0, 0.0)
            self.g.inner.worker_index.update_suspect(w)
        self.g.inner.state.health.ejected.clear()
        self.g.inner.rules.retry_tokens = 10.0
        self.sent: list[Sent] = []
        self.ended: dict[int, Ending] = {}
        self.answered = self.left = False
        self.until = self.now + self.cls.deadline_s
        self.name, _ = self.ask(self.route.job_class, self.cls.deadline_s)
        step = 0
        while choices := list(self.choices()):
            if step == len(path):
                path.append((0, len(choices)))
            self.choose(choices[path[step][0]])
            step += 1
        over = self.answered or self.left
        soon = max([self.now, *(at for at, token in self.timers if token == ROUTE_TIMER_TOKEN)]) + 0.05
        self.run_until(soon if over else self.until)
        for n in self.open_attempts():
            self.end_attempt(n, Ending.CANCELLED)
        assert self.is_empty()
        assert self.answered or self.left

    def open_attempts(self) -> list[int]:
        return [n for n in range(len(self.sent)) if n not in self.ended]

    def choices(self) -> Iterator[tuple[int, Ending] | float | None]:
        if self.answered or self.left:
            return
        yield from product(self.open_attempts(), Ending)
        due = [at for at, token in self.timers if token == ROUTE_TIMER_TOKEN]
        if due and min(due) < self.until:
            yield min(due)
        if self.open_attempts() or due:
            yield None

    def choose(self, choice: tuple[int, Ending] | float | None) -> None:
        if choice is None:
            self.left = True
            self.feed(api.ClientDisconnected(self.name))
        elif isinstance(choice, float):
            self.run_until(choice)
        else:
            self.end_attempt(*choice)

    def end_attempt(self, n: int, ending: Ending) -> None:
        self.ended[n] = ending
        self.answered |= ending is Ending.OK
        self.feed(api.Ended(self.name, n, ending, self.answered or self.left, 0.1))

    def feed(self, event: api.Event) -> list[api.Action]:
        actions = super().feed(event)
        for a in actions:
            if isinstance(a, api.Send):
                self.check_send(a)
                self.sent.append(Sent(a.worker, self.now))
            elif isinstance(a, api.Reject | api.Fail):
                assert not (self.answered)
                assert not (self.left)
                self.answered = True
                ran = [n for n in range(len(self.sent)) if self.may_have_run(n)]
                assert isinstance(a, api.Fail) or not ran or self.cls.effect is Effect.SAFE
        return actions

    def may_have_run(self, n: int) -> bool:
        return n not in self.ended or self.ended[n].value not in PROOF

    def check_send(self, a: api.Send) -> None:
        """Checks a send against the rules of its class, then against those of its route."""
        assert not (self.answered)
        assert not (self.left)
        assert a.worker not in [s.worker for s in self.sent]
        assert len(self.sent) < min(self.d.settings.max_attempts, self.route.attempts or 99)
        assert a.timeout_s == (self.route.attempt_timeout_s or 0.0)
        known = self.g.inner.workers
        for n, s in enumerate(self.sent):
            if self.may_have_run(n):
                assert self.cls.effect is not Effect.UNSAFE
                if self.cls.effect is Effect.KEYED:
                    assert self.now < s.at + self.cls.deduplication_window_s
                    assert self.cls.deduplication_scope is DeduplicationScope.ZONE
                    assert known[s.worker].zone == known[a.worker].zone
            if n in self.ended:
                assert self.ended[n] in self.route.resend_on
                self.retries += 1
            else:
                assert self.d.settings.may_hedge
                assert self.d.settings.may_cancel
                assert self.route.hedge is not None
                assert len(self.open_attempts()) == 1
                assert self.now >= s.at + (self.route.hedge.after_s or 0) - 1e-3
                self.hedges += 1


EVERY = frozenset(Ending) - {Ending.OK}
NEVER_RAN = frozenset(e for e in Ending if e.value in PROOF)
HEDGE = Hedge(after_s=0.3, most=1.0)
# includes routes that the configuration checker rejects: the rules hold for any route
CASES: list[tuple[JobClass, dict[str, Any], dict[str, Any]]] = [
    *((cls, {"attempts": 4, "resend_on": on}, {}) for cls in (UNSAFE, KEYED) for on in (EVERY, NEVER_RAN)),
    *((cls, {"attempts": 3, "hedge": HEDGE}, {}) for cls in (SAFE, UNSAFE, KEYED)),
    *((SAFE, {"attempts": 3, "hedge": HEDGE}, {name: False}) for name in ("may_hedge", "may_cancel")),
    (SAFE, {"attempts": 9, "resend_on": EVERY}, {"max_attempts": 3}),
    (SAFE, {"attempts": 3, "resend_on": NEVER_RAN, "hedge": HEDGE, "backoff": Backoff(0.1, 0.4, 0.5)}, {}),
    (SAFE, {"attempts": 3, "retry_budget": RetryBudget(0.0, 0.0), "hedge": HEDGE}, {}),
    (SAFE, {"attempts": 3, "retry_budget": UNLIMITED, "attempt_timeout_s": 0.5, "hedge": HEDGE}, {}),
    (KEYED, {"attempts": 3, "backoff": Backoff(1.6, 3.2)}, {}),  # the second ends after the window
    (KEYED, {"attempts": 2, "hedge": Hedge(after_s=3.5, most=1.0)}, {}),
    (UNSAFE, {"attempts": 3, "backoff": Backoff(0.2, 0.2), "concurrency": 1}, {}),
]


@pytest.mark.parametrize(("cls", "limits", "changes"), CASES)
def test_no_path_leads_to_a_send_that_the_class_or_the_route_forbids(
    cls: JobClass, limits: dict[str, Any], changes: dict[str, Any]
) -> None:
    route = Route(cls.name, cls.name, **limits)
    world = World(route, **changes)
    world.walk()
    assert world.paths > 10
    assert bool(world.retries) is (route.retry_budget in (None, UNLIMITED))
    hedges = (
        route.hedge is HEDGE and cls is not UNSAFE and not changes and route.retry_budget in (None, UNLIMITED)
    )
    assert bool(world.hedges) is hedges


RESEND_ON = (
    None,
    "['overloaded', 'unreachable', 'void']",
    "['error', 'timed_out']",
    "['cancelled', 'unknown']",
)
HEDGES = ("", "hedge_after_s = 0.2\nhedge_most = 1.0")
MORE = (
    "",
    "backoff.base_s = 0.05\nretry_budget = {share = 1.0, least_per_s = 1000}",
    "pool.zones = ['a', 'b']",
)


def files(sends: int) -> Iterator[str]:
    for cls, on, hedge, more in product(("view", "confirm", "book"), RESEND_ON, HEDGES, MORE):
        said = f"resend_on = {on}" if on else ""
        yield f"[route.{cls}]\nclass = '{cls}'\nattempts = {sends}\n{hedge}\n{said}\n{more}"


def accepted(text: str, settings: api.Settings) -> Route | None:
    found = load(text, "a.toml", settings)
    return found.routes.all[0] if isinstance(found, Loaded) else None


def test_no_accepted_file_allows_a_retry_that_the_class_forbids() -> None:
    """Files with three sends are sampled: all 216 files have 50,810 paths, which take half a minute."""
    settings = PLATFORMS[""]
    texts = [*files(1), *files(2), *islice(files(3), 2)]
    routes = [route for text in texts if (route := accepted(text, settings)) is not None]
    assert 25 < len(routes) < len(texts)
    for route in routes:
        World(route, **{name: getattr(settings, name) for name in settings.__dataclass_fields__}).walk()
