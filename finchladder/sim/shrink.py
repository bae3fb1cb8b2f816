"""Minimizes a failing plan: delta debugging over faults, clients, jobs and the deployment, then times.

After Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input" (2002). A smaller plan
is accepted if it ends in a violation of the same rule and kind. Random draws depend on names, so the
remaining parts of a plan behave much as they did in the whole plan.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import TypeVar

import msgspec

from finchladder.sim.plan import BOOT_S, SETTLE_S, Fault, Job, Plan, World
from finchladder.sim.run import Outcome, Run

T = TypeVar("T")
MAX_RUNS = 1500


class Shrinker:
    """`plan` is the smallest plan that failed so far; `runs` counts the simulation runs."""

    def __init__(self, plan: Plan, name: str, say: Callable[[str], None] = lambda text: None) -> None:
        self.plan, self.name, self.say = plan, name, say
        self.runs = 0

    def fails(self, plan: Plan) -> bool:
        if self.runs >= MAX_RUNS:
            return False
        self.runs += 1
        outcome = self.outcome(plan)
        if outcome is None or outcome.violation is None or outcome.violation.name != self.name:
            return False
        self.plan = plan
        return True

    def outcome(self, plan: Plan) -> Outcome | None:
        try:
            return Run(plan).play()
        except Exception:  # the reduced plan can't be run
            return None

    def run(self) -> Plan:
        size = -1
        while size != (size := self.size()) and self.runs < MAX_RUNS:
            self._list("faults", self.plan.faults, lambda p, v: replace(p, faults=v))
            self._clients()
            self._list("jobs", self.plan.jobs, lambda p, v: replace(p, jobs=v))
            self._deployment()
            self._times()
            self.say(f"{len(self.plan.faults)} faults, {len(self.plan.jobs)} jobs after {self.runs} runs")
        return self.plan

    def size(self) -> int:
        return len(msgspec.json.encode(self.plan))

    def _list(self, what: str, items: Sequence[T], put: Callable[[Plan, list[T]], Plan]) -> None:
        """ddmin: tries the complements of smaller and smaller parts."""
        left = list(items)
        if left and self.fails(put(self.plan, [])):
            return
        parts = 2
        while len(left) >= 1:
            size = max(1, len(left) // parts)
            for at in range(0, len(left), size):
                rest = left[:at] + left[at + size :]
                if rest and self.fails(put(self.plan, rest)):
                    left, parts = rest, max(2, parts - 1)
                    break
            else:
                if size == 1:
                    return
                parts = min(len(left), parts * 2)

    def _clients(self) -> None:
        """Tries to remove all jobs of one client at a time."""
        for client in sorted({job.client for job in self.plan.jobs}):
            jobs = [job for job in self.plan.jobs if job.client != client]
            if len(jobs) < len(self.plan.jobs):
                self.fails(replace(self.plan, jobs=jobs))

    def _deployment(self) -> None:
        for simpler in self._simpler():
            if simpler is not None:
                self.fails(simpler)

    def _simpler(self) -> Iterator[Plan | None]:
        """Yields simpler plans, each one step from the current plan."""
        yield replace(self.plan, ends=False) if self.plan.ends else None
        while self.plan.experiment.dispatchers > 1:
            before = self.plan
            yield self._experiment(dispatchers=before.experiment.dispatchers - 1)
            if self.plan is before:
                break
        for index in range(len(self.plan.experiment.pool)):
            while self.plan.experiment.pool[index].count > 1:
                before = self.plan
                pools = list(before.experiment.pool)
                pools[index] = msgspec.structs.replace(pools[index], count=pools[index].count - 1)
                yield self._experiment(pool=pools)
                if self.plan is before:
                    break
        if len(self.plan.experiment.pool) > 1:
            yield self._experiment(pool=self.plan.experiment.pool[:1])
        if len(self.plan.experiment.zones) > 1:
            yield self._experiment(zones=self.plan.experiment.zones[:1])
        used = {job.job_class for job in self.plan.jobs}
        classes = [c for c in self.plan.experiment.job_class if c.name in used]
        if classes and len(classes) < len(self.plan.experiment.job_class):
            yield self._experiment(job_class=classes)
        plain = World()
        for name in ("options", "cut", "jitter", "buffer", "reset_drops", "pace_s", "latency_s"):
            if getattr(self.plan.world, name) != getattr(plain, name):
                world = msgspec.structs.replace(self.plan.world, **{name: getattr(plain, name)})
                yield replace(self.plan, world=world)
        calls = self.plan.experiment.callbacks
        for name in ("early", "twice", "unknown_per_s"):
            if getattr(calls, name):
                yield self._experiment(callbacks=msgspec.structs.replace(calls, **{name: 0.0}))
                calls = self.plan.experiment.callbacks
        if self.plan.experiment.load.retries.kind != "none":
            load = self.plan.experiment.load
            retries = msgspec.structs.replace(load.retries, kind="none")
            yield self._experiment(load=msgspec.structs.replace(load, retries=retries))

    def _experiment(self, **what: object) -> Plan:
        return replace(self.plan, experiment=msgspec.structs.replace(self.plan.experiment, **what))

    def _times(self) -> None:
        """Tries earlier and shorter times and simpler values."""
        faulty = max([0.0, *(f.at for f in self.plan.faults), *(j.at for j in self.plan.jobs if not j.calm)])
        calm = round(max(faulty + 0.3, BOOT_S) + SETTLE_S, 1)
        if calm < self.plan.calm_at:
            sooner = self.plan.calm_at - calm
            jobs = [
                msgspec.structs.replace(j, at=round(j.at - sooner, 4)) if j.calm else j
                for j in self.plan.jobs
            ]
            self.fails(replace(self.plan, jobs=jobs, calm_at=calm))
        for index in range(len(self.plan.jobs)):
            self._one_of("jobs", index, PLAINER_JOBS)
        for index in range(len(self.plan.faults)):
            self._one_of("faults", index, PLAINER_FAULTS)

    def _one_of(self, name: str, index: int, plainer: Sequence[Callable[[T], T]]) -> None:
        for change in plainer:
            items = list(getattr(self.plan, name))
            simpler = change(items[index])
            if simpler != items[index]:
                items[index] = simpler
                self.fails(replace(self.plan, **{name: items}))


def _with(**what: object) -> Callable[[T], T]:
    return lambda item: msgspec.structs.replace(item, **what)  # type: ignore[type-var]


def _rounded(name: str, places: int, least: float = 0.0) -> Callable[[T], T]:
    def change(item: T) -> T:
        value = max(least, round(getattr(item, name), places))
        return msgspec.structs.replace(item, **{name: value})  # type: ignore[type-var]

    return change


PLAINER_JOBS: list[Callable[[Job], Job]] = [
    _with(body=2),
    _with(key=""),
    _rounded("at", 1),
    _rounded("at", 2),
    _rounded("work_s", 2, 0.01),
]
PLAINER_FAULTS: list[Callable[[Fault], Fault]] = [
    _with(after_s=0.0),
    _rounded("at", 1),
    _rounded("at", 2),
    _rounded("for_s", 1, 0.1),
    _rounded("size", 1),
]


def replace(plan: Plan, **what: object) -> Plan:
    return msgspec.structs.replace(plan, **what)
