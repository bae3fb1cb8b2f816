"""A simple deployment at virtual time: arrivals, a policy that places them, real servers' models.

For tests against theory, and for choosing a model's parameters. One dispatcher, no network, no retries: a job
that is turned away is refused.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Literal

import msgspec

from finchladder.lab import records
from finchladder.lab.models.kernel import Event, Kernel
from finchladder.lab.models.realserver import Fell, JobIn, RealServerModel, Told

How = Literal["refused", "done", "failed", "returned", "killed", "cancelled"]
Policy = Callable[[float, JobIn, Sequence[RealServerModel]], RealServerModel | None]


class Outcome(msgspec.Struct):
    """One job. Times in seconds; `began` is None where it never ran, `ended` too where it was refused."""

    job: JobIn
    arrived: float
    server: str = ""
    began: float | None = None
    ended: float | None = None
    how: How = "refused"


class Wakes:
    """Calls `touch` for each real server when it next has something to do or to hand out."""

    def __init__(self, kernel: Kernel, touch: Callable[[RealServerModel], None]) -> None:
        self.kernel, self.touch = kernel, touch
        self._set: dict[str, Event] = {}

    def set(self, server: RealServerModel) -> None:
        """To be called after each `advance`."""
        due, wake = server.next_due(), self._set.get(server.name)
        if wake is not None:
            if wake.call is not None and wake.time == due:
                return
            self.kernel.cancel(wake)
        if due is not None:
            self._set[server.name] = self.kernel.at(max(self.kernel.now, due), lambda: self.touch(server))


class Deployment:
    """Plays jobs on started servers. `told` gets what a server tells, `fell` each one that falls over."""

    def __init__(
        self,
        kernel: Kernel,
        servers: Sequence[RealServerModel],
        policy: Policy,
        told: Callable[[str, Told], None] | None = None,
        fell: Callable[[RealServerModel, float], None] | None = None,
    ) -> None:
        self.kernel, self.servers, self.policy = kernel, servers, policy
        self.told, self.fell = told, fell
        self.outcomes: list[Outcome] = []
        self._open: dict[str, Outcome] = {}
        self._wakes = Wakes(kernel, self.touch)

    def play(self, arrivals: Iterable[tuple[float, JobIn]]) -> list[Outcome]:
        """All jobs, in the order of arrival, once all have ended. Times must not run backwards."""
        rest = iter(arrivals)
        self._next(rest)
        self.kernel.run()
        return self.outcomes

    def touch(self, server: RealServerModel) -> None:
        """Takes what a server hands out. To be called after anything that is done to it from outside."""
        now = self.kernel.now
        for action in server.advance(now):
            if isinstance(action, Told):
                if self.told:
                    self.told(server.name, action)
            elif isinstance(action, Fell):
                if self.fell:
                    self.fell(server, action.at)
            elif isinstance(action, records.Began):
                self._open[action.id].began = action.at
            else:
                outcome = self._open.pop(action.id)
                outcome.ended, outcome.how = action.at, action.how
        self._wakes.set(server)

    def _next(self, rest: Iterator[tuple[float, JobIn]]) -> None:
        for at, job in rest:
            self.kernel.at(at, lambda job=job: self._arrive(job, rest))  # type: ignore[misc]
            return

    def _arrive(self, job: JobIn, rest: Iterator[tuple[float, JobIn]]) -> None:
        now = self.kernel.now
        outcome = Outcome(job, now)
        self.outcomes.append(outcome)
        server = self.policy(now, job, self.servers)
        if server is not None:
            outcome.server = server.name
            self._open[job.id] = outcome
            if server.submit(now, job) != "accepted":
                del self._open[job.id]
            self.touch(server)
        self._next(rest)
