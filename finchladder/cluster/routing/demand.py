"""What this dispatcher was asked for, by model and adapter, since it last told the placer."""

from collections import Counter, deque
from collections.abc import Callable

from attrs import define, field, frozen

from finchladder.cluster.routing.pools import UNIT_COST, PoolKey, RequestCost
from finchladder.cluster.routing.prefill_time import PrefillTimeEstimator
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.types.messages import Demand, ModelUse

DEFAULT_PROMPT_TOKENS = 1000  # of a prompt whose request does not tell its size


@define
class KeyDemand:
    """Of one model or adapter."""

    requests: int = 0
    prompt_tokens: int = 0
    queued: int = 0
    in_flight: int = 0


@frozen
class Place:
    """A model at a worker."""

    instance: str
    model: str


@frozen
class ExpectedClientRetry:
    """A refused request that counts as waiting until its client may have come back. `until`: seconds."""

    key: PoolKey
    expires_at: float


@define
class DemandCounter:
    """Times are passed in. `on_wait` is called when something begins to be waited for that nobody holds."""

    demand_by_key: dict[PoolKey, KeyDemand] = field(factory=dict)
    in_flight: Counter[Place] = field(factory=Counter)
    expected_client_retries: deque[ExpectedClientRetry] = field(factory=deque)
    prefill_estimators: dict[str, PrefillTimeEstimator] = field(factory=dict)  # by service
    on_queued: Callable[[], None] = lambda: None

    def _demand_of(self, key: PoolKey) -> KeyDemand:
        return self.demand_by_key.setdefault(key, KeyDemand())

    def record_request(self, request: ClassifiedRequest) -> None:
        """A request came in."""
        if request.key.model:
            count = self._demand_of(request.key)
            count.requests += 1
            count.prompt_tokens += request.prompt_tokens

    def add_queued(self, key: PoolKey, change: int) -> None:
        """A request begins (1) or ceases (-1) to wait for a holder."""
        if key.model:
            self._demand_of(key).queued += change
            if change > 0:
                self.on_queued()

    def expect_client_retry(self, key: PoolKey, expires_at: float) -> None:
        """A request was refused since nobody holds what it needs; its client was told when to come back."""
        if key.model:
            self.expected_client_retries.append(ExpectedClientRetry(key, expires_at))

    def add_in_flight(self, key: PoolKey, instance: str, change: int) -> None:
        """A request begins (1) or ceases (-1) to run at a worker."""
        if not key.model:
            return
        self._demand_of(key).in_flight += change
        place = Place(instance, key.model)
        self.in_flight[place] += change
        if not self.in_flight[place]:
            del self.in_flight[place]

    def record_time_to_first_token(self, request: ClassifiedRequest, time_to_first_token_s: float) -> None:
        """A request had its first event after so long, at a worker where nothing else was known to run."""
        if request.prompt_tokens:
            self.prefill_estimators.setdefault(request.key.service, PrefillTimeEstimator()).observe(
                request.prompt_tokens, time_to_first_token_s
            )

    def prefill_s_per_token(self) -> dict[str, float]:
        """How long engines read at a prompt token, by service."""
        return {service: pace.s_per_token for service, pace in self.prefill_estimators.items()}

    def request_cost(self, request: ClassifiedRequest) -> RequestCost:
        """What a request adds to a worker's load."""
        if not request.key.model:
            return UNIT_COST
        pace = self.prefill_estimators.get(request.key.service)
        return RequestCost(
            float(request.prompt_tokens or DEFAULT_PROMPT_TOKENS), 0.0 if pace is None else pace.s_per_token
        )

    def model_uses(self) -> tuple[ModelUse, ...]:
        """What runs where now. O(models in use at workers)."""
        return tuple(ModelUse(p.instance, p.model, requests) for p, requests in self.in_flight.items())

    def collect(self, now: float) -> tuple[Demand, ...]:
        """What is to be told; counts begin anew. O(keys in use + refused requests that may come back)."""
        self.expected_client_retries = deque(
            one for one in self.expected_client_retries if one.expires_at > now
        )
        returning = Counter(one.key for one in self.expected_client_retries)
        for key in returning:
            self._demand_of(key)
        told = []
        for key, count in list(self.demand_by_key.items()):
            figures = count.requests, count.queued + returning[key], count.in_flight, count.prompt_tokens
            told.append(Demand(key.service, key.model, key.adapter, *figures))
            count.requests = count.prompt_tokens = 0
            if not count.queued and not count.in_flight:
                del self.demand_by_key[key]
        return tuple(told)
