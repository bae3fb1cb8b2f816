"""How much of its time each worker will spend on reading prompts, and what that costs; no I/O and no clock.

An engine reads one prompt after the other, so requests are late where it is busy reading for most of its
time, whatever number of them it runs. A model's reading falls evenly on its copies. The share of requests
that are late grows with the third power of the utilization up to full use, and by the same slope beyond,
where queues grow: no queueing formula holds for arrivals in clumps that are sent by old figures, so the shape
was read off days that were played (docs/experiments).
"""

from collections.abc import Iterable, Mapping

from attrs import frozen

FULL_USE_LATE = 0.4  # share of requests that are late where an engine reads all of the time


@frozen
class ExpectedLoad:
    """Of a model. `work`: seconds of reading for each second; `rate`: requests a second."""

    work: float = 0.0
    rate: float = 0.0


NOTHING = ExpectedLoad()


def late_share(utilization: float) -> float:
    """Share of the requests that are late at a worker; over 1 where its queue grows."""
    if utilization <= 1:
        return FULL_USE_LATE * utilization**3
    return FULL_USE_LATE * (1 + 3 * (utilization - 1))


class Utilization:
    """Of all workers of a service. What is being loaded counts as there."""

    def __init__(self, held: Mapping[str, Iterable[str]], expected: Mapping[str, ExpectedLoad]) -> None:
        """`held`: models by worker instance; `expected`: by model, where anything is."""
        self.expected = expected
        self._held = {instance: set(models) for instance, models in held.items()}
        self._holders: dict[str, set[str]] = {}
        for instance, models in self._held.items():
            for model in models:
                self._holders.setdefault(model, set()).add(instance)

    def add(self, instance: str, model: str) -> None:
        """A copy comes."""
        self._held.setdefault(instance, set()).add(model)
        self._holders.setdefault(model, set()).add(instance)

    def remove(self, instance: str, model: str) -> None:
        """A copy goes."""
        self._held[instance].discard(model)
        self._holders[model].discard(instance)

    def of(self, instance: str) -> float:
        """Share of its time that the worker reads prompts; over 1 where it can't keep up."""
        return self._sum(instance).work

    def least_used(self, model: str) -> float:
        """Utilization of that worker with a copy which has the least."""
        return min((self.of(instance) for instance in self._holders.get(model, ())), default=0.0)

    def _sum(self, instance: str) -> ExpectedLoad:
        work = rate = 0.0
        for model in self._held.get(instance, ()):
            load = self.expected.get(model)
            if load is not None:
                copies = len(self._holders[model])
                work += load.work / copies
                rate += load.rate / copies
        return ExpectedLoad(work, rate)

    def _change(self, instance: str, model: str, share: float) -> float:
        """Late requests a second that come with that share of a model's load; a negative share takes off."""
        load, now = self.expected.get(model, NOTHING), self._sum(instance)
        before = now.rate * late_share(now.work)
        return (now.rate + share * load.rate) * late_share(max(0.0, now.work + share * load.work)) - before

    def relief(self, model: str) -> float:
        """Late requests a second that a further copy takes off those there are. O(copies)."""
        holders = self._holders.get(model, set())
        if not holders or model not in self.expected:
            return 0.0
        copies = len(holders)
        share = 1 / (copies + 1) - 1 / copies
        return -sum(self._change(instance, model, share) for instance in holders)

    def burden(self, instance: str, model: str) -> float:
        """Late requests a second that a further copy brings to the worker that gets it."""
        copies = len(self._holders.get(model, ()))
        return self._change(instance, model, 1 / (copies + 1))

    def loss(self, instance: str, model: str) -> float:
        """Late requests a second more, if one of several copies goes; at least 0. O(copies)."""
        holders = self._holders.get(model, set())
        copies = len(holders)
        if copies < 2 or model not in self.expected:
            return 0.0
        share = 1 / (copies - 1) - 1 / copies
        others = sum(self._change(other, model, share) for other in holders if other != instance)
        return max(0.0, others + self._change(instance, model, -1 / copies))
