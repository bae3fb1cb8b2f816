"""Expected prefill utilization of each worker and the resulting rate of late requests; without I/O.

An engine prefills prompts sequentially, so requests are late if it spends most of its time on prefill,
regardless of the number of requests that it runs. A model's prefill load is divided evenly between its
replicas. The fraction of late requests grows with the third power of a utilization up to 1. Above 1, where
queues grow, it continues linearly with the slope that it has at 1. The curve was fitted to emulated workloads
(docs/experiments), because no queueing formula applies to bursty arrivals that are routed by outdated load
reports.
"""

from collections.abc import Iterable, Mapping

from attrs import frozen

LATE_FRACTION_AT_FULL_UTILIZATION = 0.4


@frozen
class ExpectedLoad:
    """Expected load of a model or worker.

    Attributes:
        prefill_utilization: Seconds of prefill per second.
        request_rate: Requests per second.
    """

    prefill_utilization: float = 0.0
    request_rate: float = 0.0


NO_LOAD = ExpectedLoad()


def late_fraction(utilization: float) -> float:
    """Fraction of a worker's requests that are late; may exceed 1 if its queue grows."""
    if utilization <= 1:
        return LATE_FRACTION_AT_FULL_UTILIZATION * utilization**3
    return LATE_FRACTION_AT_FULL_UTILIZATION * (1 + 3 * (utilization - 1))


class FleetUtilization:
    """Utilization of all workers of a service, including replicas that are being loaded."""

    def __init__(
        self, models_by_worker: Mapping[str, Iterable[str]], expected_loads: Mapping[str, ExpectedLoad]
    ) -> None:
        """Indexes the replicas.

        Args:
            models_by_worker: Loaded and loading models by worker instance.
            expected_loads: Expected load by model; models without load may be omitted.
        """
        self.expected_loads = expected_loads
        self._models_by_worker = {instance: set(models) for instance, models in models_by_worker.items()}
        self._workers_by_model: dict[str, set[str]] = {}
        for instance, models in self._models_by_worker.items():
            for model in models:
                self._workers_by_model.setdefault(model, set()).add(instance)

    def add_replica(self, instance: str, model: str) -> None:
        """Adds a replica that will be loaded."""
        self._models_by_worker.setdefault(instance, set()).add(model)
        self._workers_by_model.setdefault(model, set()).add(instance)

    def remove_replica(self, instance: str, model: str) -> None:
        """Removes a replica that will be evicted."""
        self._models_by_worker[instance].discard(model)
        self._workers_by_model[model].discard(instance)

    def utilization_of(self, instance: str) -> float:
        """Fraction of time that a worker spends on prefill; above 1 if it cannot keep up."""
        return self._expected_load_of(instance).prefill_utilization

    def min_utilization(self, model: str) -> float:
        """Utilization of the least utilized worker with a replica of the model; 0 without a replica."""
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

    def _late_request_rate_change(self, instance: str, model: str, load_fraction: float) -> float:
        """Change of a worker's late requests per second if it gets `load_fraction` of a model's load more."""
        load = self.expected_loads.get(model, NO_LOAD)
        current = self._expected_load_of(instance)
        late_before = current.request_rate * late_fraction(current.prefill_utilization)
        request_rate = current.request_rate + load_fraction * load.request_rate
        utilization = max(0.0, current.prefill_utilization + load_fraction * load.prefill_utilization)
        return request_rate * late_fraction(utilization) - late_before

    def late_request_rate_saved_by_replica(self, model: str) -> float:
        """Late requests per second that a further replica saves at the existing replicas. O(replicas)."""
        instances = self._workers_by_model.get(model, set())
        if not instances or model not in self.expected_loads:
            return 0.0
        replicas = len(instances)
        load_fraction = 1 / (replicas + 1) - 1 / replicas
        return -sum(self._late_request_rate_change(instance, model, load_fraction) for instance in instances)

    def late_request_rate_added_by_replica(self, instance: str, model: str) -> float:
        """Late requests per second that a further replica causes at the worker that loads it."""
        replicas = len(self._workers_by_model.get(model, ()))
        return self._late_request_rate_change(instance, model, 1 / (replicas + 1))

    def late_request_rate_added_by_eviction(self, instance: str, model: str) -> float:
        """Late requests per second that evicting one of several replicas adds, at least 0. O(replicas)."""
        instances = self._workers_by_model.get(model, set())
        replicas = len(instances)
        if replicas < 2 or model not in self.expected_loads:
            return 0.0
        load_fraction = 1 / (replicas - 1) - 1 / replicas
        others = sum(
            self._late_request_rate_change(other, model, load_fraction)
            for other in instances
            if other != instance
        )
        return max(0.0, others + self._late_request_rate_change(instance, model, -1 / replicas))
