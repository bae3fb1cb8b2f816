"""Counts demand by model and adapter at this dispatcher for its reports to the placer."""

from collections import Counter, deque
from collections.abc import Callable

from attrs import define, field, frozen

from finchladder.cluster.routing.pools import PoolKey
from finchladder.cluster.routing.prefill_time import PrefillTimeEstimator
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.routing.workers import UNIT_COST, RequestCost
from finchladder.cluster.types.messages import Demand, ModelUse
from finchladder.cluster.types.replicas import ReplicaKey

DEFAULT_PROMPT_TOKENS = 1000  # prompt tokens that are assumed for a request without a token count


@define
class KeyDemand:
    """Demand for one model or adapter.

    Attributes:
        requests: Number of requests that arrived since the last report.
        prompt_tokens: Prompt tokens of those requests.
        queued: Number of requests that currently wait for a replica.
        in_flight: Number of requests that currently run at workers.
    """

    requests: int = 0
    prompt_tokens: int = 0
    queued: int = 0
    in_flight: int = 0


@frozen
class ExpectedClientRetry:
    """A rejected request that counts as queued until `expires_at`, when its client should have retried."""

    key: PoolKey
    expires_at: float


@define
class DemandCounter:
    """Counts requests by pool key; times are passed in (monotonic seconds).

    Attributes:
        in_flight: Requests in flight by worker and model, including those for adapters of the model.
        prefill_estimators: Estimators of prefill time by service.
        on_queued: Called when a request starts to wait for a model that has no replica.
    """

    demand_by_key: dict[PoolKey, KeyDemand] = field(factory=dict)
    in_flight: Counter[ReplicaKey] = field(factory=Counter)
    expected_client_retries: deque[ExpectedClientRetry] = field(factory=deque)
    prefill_estimators: dict[str, PrefillTimeEstimator] = field(factory=dict)
    on_queued: Callable[[], None] = lambda: None

    def _demand_of(self, key: PoolKey) -> KeyDemand:
        return self.demand_by_key.setdefault(key, KeyDemand())

    def record_request(self, request: ClassifiedRequest) -> None:
        """Counts an arrival."""
        if request.key.model:
            demand = self._demand_of(request.key)
            demand.requests += 1
            demand.prompt_tokens += request.prompt_tokens

    def add_queued(self, key: PoolKey, change: int) -> None:
        """Counts a request that starts (`change` 1) or stops (-1) waiting for a replica."""
        if key.model:
            self._demand_of(key).queued += change
            if change > 0:
                self.on_queued()

    def expect_client_retry(self, key: PoolKey, expires_at: float) -> None:
        """Counts a request that was rejected because no replica exists as queued until `expires_at`."""
        if key.model:
            self.expected_client_retries.append(ExpectedClientRetry(key, expires_at))

    def add_in_flight(self, key: PoolKey, instance: str, change: int) -> None:
        """Counts a request that starts (`change` 1) or stops (-1) running at a worker."""
        if not key.model:
            return
        self._demand_of(key).in_flight += change
        replica = ReplicaKey(instance, key.model)
        self.in_flight[replica] += change
        if not self.in_flight[replica]:
            del self.in_flight[replica]

    def record_time_to_first_token(self, request: ClassifiedRequest, time_to_first_token_s: float) -> None:
        """Records the time to first token of a request at a worker that had no other known requests."""
        if request.prompt_tokens:
            estimator = self.prefill_estimators.setdefault(request.key.service, PrefillTimeEstimator())
            estimator.observe(request.prompt_tokens, time_to_first_token_s)

    def prefill_s_per_token(self) -> dict[str, float]:
        """Estimated prefill time of a prompt token in seconds, by service."""
        return {service: estimator.s_per_token for service, estimator in self.prefill_estimators.items()}

    def request_cost(self, request: ClassifiedRequest) -> RequestCost:
        """Estimates the load that a request adds to a worker."""
        if not request.key.model:
            return UNIT_COST
        estimator = self.prefill_estimators.get(request.key.service)
        prefill_s_per_token = 0.0 if estimator is None else estimator.s_per_token
        return RequestCost(float(request.prompt_tokens or DEFAULT_PROMPT_TOKENS), prefill_s_per_token)

    def model_uses(self) -> tuple[ModelUse, ...]:
        """Lists requests in flight by worker and model. O(models in use at workers)."""
        return tuple(ModelUse(key.instance, key.model, requests) for key, requests in self.in_flight.items())

    def collect(self, now: float) -> tuple[Demand, ...]:
        """Returns the demand since the last call, and resets the counts of arrivals. O(keys + retries)."""
        self.expected_client_retries = deque(
            retry for retry in self.expected_client_retries if retry.expires_at > now
        )
        retries_by_key = Counter(retry.key for retry in self.expected_client_retries)
        for key in retries_by_key:
            self._demand_of(key)
        demands = []
        for key, demand in list(self.demand_by_key.items()):
            demands.append(
                Demand(
                    key.service,
                    key.model,
                    key.adapter,
                    demand.requests,
                    demand.queued + retries_by_key[key],
                    demand.in_flight,
                    demand.prompt_tokens,
                )
            )
            demand.requests = 0
            demand.prompt_tokens = 0
            if not demand.queued and not demand.in_flight:
                del self.demand_by_key[key]
        return tuple(demands)
