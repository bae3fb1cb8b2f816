"""Expected prefill utilization of each worker, and the requests that are late because of it; no I/O.

An engine prefills one prompt after the other, so requests are late where it prefills for most of its time,
whatever the number of requests that it runs. A model's prefill load is shared evenly by its replicas. The
fraction of late requests grows with the third power of the utilization up to 1, and linearly with the same
slope beyond, where queues grow. No queueing formula holds for arrivals in bursts that are routed by stale
figures, so the curve was fitted to emulated days (docs/experiments).
"""

from collections.abc import Iterable, Mapping

from attrs import frozen

LATE_FRACTION_AT_FULL_USE = 0.4


@frozen
class ExpectedLoad:
    """Expected load of a model or worker.

    `prefill_utilization`: seconds of prefill per second; `request_rate`: requests per second.
    """

    prefill_utilization: float = 0.0
    request_rate: float = 0.0


NO_LOAD = ExpectedLoad()


def late_fraction(utilization: float) -> float:
    """Fraction of a worker's requests that are late; over 1 where its queue grows."""
    if utilization <= 1:
        return LATE_FRACTION_AT_FULL_USE * utilization**3
    return LATE_FRACTION_AT_FULL_USE * (1 + 3 * (utilization - 1))


class FleetUtilization:
    """Utilization of all workers of a service, replicas that are being loaded included."""

    def __init__(
        self, models_by_worker: Mapping[str, Iterable[str]], expected_loads: Mapping[str, ExpectedLoad]
    ) -> None:
        """Indexes the replicas.

        Args:
            models_by_worker: Loaded and loading models by worker instance.
            expected_loads: Load by model; models without any may be left out.
        """
        self.expected_loads = expected_loads
        self._models_by_worker = {instance: set(models) for instance, models in models_by_worker.items()}
        self._workers_by_model: dict[str, set[str]] = {}
        for instance, models in self._models_by_worker.items():
            for model in models:
                self._workers_by_model.setdefault(model, set()).add(instance)

    def add_replica(self, instance: str, model: str) -> None:
        """Counts a replica that is to be loaded."""
        self._models_by_worker.setdefault(instance, set()).add(model)
        self._workers_by_model.setdefault(model, set()).add(instance)

    def remove_replica(self, instance: str, model: str) -> None:
        """Counts a replica that is to be evicted as gone."""
        self._models_by_worker[instance].discard(model)
        self._workers_by_model[model].discard(instance)

    def utilization_of(self, instance: str) -> float:
        """Fraction of its time that a worker prefills; over 1 where it can't keep up."""
        return self._expected_load_of(instance).prefill_utilization

    def min_utilization(self, model: str) -> float:
        """Utilization of the least utilized worker with a replica of the model; 0 if there is none."""
        instances = self._workers_by_model.get(model, ())
        return min((self.utilization_of(instance) for instance in instances), default=0.0)

    def _expected_load_of(self, instance: str) -> ExpectedLoad:
        prefill_utilization = 0.0
        request_rate = 0.0
        for model in self._models_by_worker.get(instance, ()):
            load = self.expected_loads.get(model)
            if load is not None:
                replicas = len(self._workers_by_model[model])
                prefill_utilization += load.prefill_utilization / replicas
                request_rate += load.request_rate / replicas
        return ExpectedLoad(prefill_utilization, request_rate)

    def _late_rate_change(self, instance: str, model: str, load_fraction: float) -> float:
        """Late requests per second that a fraction of a model's load adds to a worker; it may be negative."""
        load = self.expected_loads.get(model, NO_LOAD)
        current = self._expected_load_of(instance)
        late_before = current.request_rate * late_fraction(current.prefill_utilization)
        request_rate = current.request_rate + load_fraction * load.request_rate
        utilization = max(0.0, current.prefill_utilization + load_fraction * load.prefill_utilization)
        return request_rate * late_fraction(utilization) - late_before

    def relief(self, model: str) -> float:
        """Late requests per second that a further replica saves at the present ones. O(replicas)."""
        instances = self._workers_by_model.get(model, set())
        if not instances or model not in self.expected_loads:
            return 0.0
        replicas = len(instances)
        load_fraction = 1 / (replicas + 1) - 1 / replicas
        return -sum(self._late_rate_change(instance, model, load_fraction) for instance in instances)

    def burden(self, instance: str, model: str) -> float:
        """Late requests per second that a further replica causes at the worker that gets it."""
        replicas = len(self._workers_by_model.get(model, ()))
        return self._late_rate_change(instance, model, 1 / (replicas + 1))

    def loss(self, instance: str, model: str) -> float:
        """Late requests per second that evicting one of several replicas causes; at least 0. O(replicas)."""
        instances = self._workers_by_model.get(model, set())
        replicas = len(instances)
        if replicas < 2 or model not in self.expected_loads:
            return 0.0
        load_fraction = 1 / (replicas - 1) - 1 / replicas
        others = sum(
            self._late_rate_change(other, model, load_fraction) for other in instances if other != instance
        )
        return max(0.0, others + self._late_rate_change(instance, model, -1 / replicas))
