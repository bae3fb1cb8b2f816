"""How much of its time each worker will spend on reading prompts, and what that costs; no I/O and no clock.

An engine reads one prompt after the other, so requests are late where it is busy reading for most of its
time, whatever number of them it runs. A model's reading falls evenly on its copies. The share of requests
that are late grows with the third power of the utilization up to full use, and by the same slope beyond,
where queues grow: no queueing formula holds for arrivals in clumps that are sent by old figures, so the shape
was read off days that were played (docs/experiments).
"""

from collections.abc import Iterable, Mapping

from attrs import frozen

LATE_FRACTION_AT_FULL_USE = 0.4  # share of requests that are late where an engine reads all of the time


@frozen
class ExpectedLoad:
    """Of a model. `work`: seconds of reading for each second; `rate`: requests a second."""

    prefill_utilization: float = 0.0
    request_rate: float = 0.0


NO_LOAD = ExpectedLoad()


def late_fraction(utilization: float) -> float:
    """Share of the requests that are late at a worker; over 1 where its queue grows."""
    if utilization <= 1:
        return LATE_FRACTION_AT_FULL_USE * utilization**3
    return LATE_FRACTION_AT_FULL_USE * (1 + 3 * (utilization - 1))


class FleetUtilization:
    """Of all workers of a service. What is being loaded counts as there."""

    def __init__(
        self, models_by_worker: Mapping[str, Iterable[str]], expected_loads: Mapping[str, ExpectedLoad]
    ) -> None:
        """`held`: models by worker instance; `expected`: by model, where anything is."""
        self.expected_loads = expected_loads
        self._models_by_worker = {instance: set(models) for instance, models in models_by_worker.items()}
        self._workers_by_model: dict[str, set[str]] = {}
        for instance, models in self._models_by_worker.items():
            for model in models:
                self._workers_by_model.setdefault(model, set()).add(instance)

    def add_replica(self, instance: str, model: str) -> None:
        """A copy comes."""
        self._models_by_worker.setdefault(instance, set()).add(model)
        self._workers_by_model.setdefault(model, set()).add(instance)

    def remove_replica(self, instance: str, model: str) -> None:
        """A copy goes."""
        self._models_by_worker[instance].discard(model)
        self._workers_by_model[model].discard(instance)

    def utilization_of(self, instance: str) -> float:
        """Share of its time that the worker reads prompts; over 1 where it can't keep up."""
        return self._expected_load_of(instance).prefill_utilization

    def min_utilization(self, model: str) -> float:
        """Utilization of that worker with a copy which has the least."""
        return min(
            (self.utilization_of(instance) for instance in self._workers_by_model.get(model, ())), default=0.0
        )

    def _expected_load_of(self, instance: str) -> ExpectedLoad:
        work = rate = 0.0
        for model in self._models_by_worker.get(instance, ()):
            load = self.expected_loads.get(model)
            if load is not None:
                copies = len(self._workers_by_model[model])
                work += load.prefill_utilization / copies
                rate += load.request_rate / copies
        return ExpectedLoad(work, rate)

    def _late_rate_change(self, instance: str, model: str, load_fraction: float) -> float:
        """Late requests a second that come with that share of a model's load; a negative share takes off."""
        load, now = self.expected_loads.get(model, NO_LOAD), self._expected_load_of(instance)
        before = now.request_rate * late_fraction(now.prefill_utilization)
        return (now.request_rate + load_fraction * load.request_rate) * late_fraction(
            max(0.0, now.prefill_utilization + load_fraction * load.prefill_utilization)
        ) - before

    def relief(self, model: str) -> float:
        """Late requests a second that a further copy takes off those there are. O(copies)."""
        holders = self._workers_by_model.get(model, set())
        if not holders or model not in self.expected_loads:
            return 0.0
        copies = len(holders)
        share = 1 / (copies + 1) - 1 / copies
        return -sum(self._late_rate_change(instance, model, share) for instance in holders)

    def burden(self, instance: str, model: str) -> float:
        """Late requests a second that a further copy brings to the worker that gets it."""
        copies = len(self._workers_by_model.get(model, ()))
        return self._late_rate_change(instance, model, 1 / (copies + 1))

    def loss(self, instance: str, model: str) -> float:
        """Late requests a second more, if one of several copies goes; at least 0. O(copies)."""
        holders = self._workers_by_model.get(model, set())
        copies = len(holders)
        if copies < 2 or model not in self.expected_loads:
            return 0.0
        share = 1 / (copies - 1) - 1 / copies
        others = sum(self._late_rate_change(other, model, share) for other in holders if other != instance)
        return max(0.0, others + self._late_rate_change(instance, model, -1 / copies))
