"""A test bench of a dispatcher with routes."""

from collections.abc import Iterable
from typing import Any

from finchladder import Dispatcher, api
from finchladder.core.routing.limited_dispatcher import NewRoutes, RouteLimitedDispatcher
from finchladder.core.routing.routes import Routes
from tests.helpers import Bench, entry, settings


class RouteBench(Bench):
    """A bench whose jobs of class X use the route named X, if there is one."""

    def __init__(
        self, routes: Routes, workers: Iterable[str | api.WorkerEntry] = (), seed: int = 1, **changes: Any
    ) -> None:
        super().__init__(seed=seed, **changes)
        self.g = RouteLimitedDispatcher(Dispatcher(settings(**changes), seed), routes, seed)
        self.d = self.g  # type: ignore[assignment]
        entries = tuple(w if isinstance(w, api.WorkerEntry) else entry(w) for w in workers)
        self.feed(api.WorkerList(api.ListKind.FULL, entries))

    def ask(
        self, job_class: str = "safe", timeout_s: float = 10.0, **more: object
    ) -> tuple[str, list[api.Send]]:
        return super().ask(job_class, timeout_s, **({"route": job_class} | more))

    def replace_routes(self, routes: Routes) -> None:
        self.feed(NewRoutes(routes))  # type: ignore[arg-type]

    def is_empty(self) -> bool:
        """Whether no state of any job is left."""
        g = self.g
        limiters = [s.limiter for s in g.scopes.values() if s.limiter is not None]
        return not (
            g.runs or g.alarms.due_at or g.inner.jobs or any(x.open_count or x.waiting for x in limiters)
        )
