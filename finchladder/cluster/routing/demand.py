"""What this dispatcher was asked for, by model and adapter, since it last told the placer."""

from collections import Counter, deque
from collections.abc import Callable

from attrs import define, field, frozen

from finchladder.cluster.routing.pace import ReadingPace
from finchladder.cluster.routing.pools import ONE_REQUEST, PoolKey, Sized
from finchladder.cluster.routing.requests import Need
from finchladder.cluster.types.messages import Demand, ModelUse
from finchladder.cluster.types.replicas import ReplicaKey

USUAL_TOKENS = 1000  # of a prompt whose request does not tell its size


@define
class Count:
    """Of one model or adapter."""

    asked: int = 0
    tokens: int = 0
    waiting: int = 0
    running: int = 0


@frozen
class Returning:
    """A refused request that counts as waiting until its client may have come back. `until`: seconds."""

    key: PoolKey
    until: float


@define
class DemandCounter:
    """Times are passed in. `on_wait` is called when something begins to be waited for that nobody holds."""

    counts: dict[PoolKey, Count] = field(factory=dict)
    in_flight: Counter[ReplicaKey] = field(factory=Counter)
    returning: deque[Returning] = field(factory=deque)
    paces: dict[str, ReadingPace] = field(factory=dict)  # by service
    on_wait: Callable[[], None] = lambda: None

    def _of(self, key: PoolKey) -> Count:
        return self.counts.setdefault(key, Count())

    def asked(self, wanted: Need) -> None:
        """A request came in."""
        if wanted.key.model:
            count = self._of(wanted.key)
            count.asked += 1
            count.tokens += wanted.tokens

    def waits(self, key: PoolKey, step: int) -> None:
        """A request begins (1) or ceases (-1) to wait for a holder."""
        if key.model:
            self._of(key).waiting += step
            if step > 0:
                self.on_wait()

    def comes_back(self, key: PoolKey, until: float) -> None:
        """A request was refused since nobody holds what it needs; its client was told when to come back."""
        if key.model:
            self.returning.append(Returning(key, until))

    def runs(self, key: PoolKey, instance: str, step: int) -> None:
        """A request begins (1) or ceases (-1) to run at a worker."""
        if not key.model:
            return
        self._of(key).running += step
        place = ReplicaKey(instance, key.model)
        self.in_flight[place] += step
        if not self.in_flight[place]:
            del self.in_flight[place]

    def began(self, wanted: Need, first_event_s: float) -> None:
        """A request had its first event after so long, at a worker where nothing else was known to run."""
        if wanted.tokens:
            self.paces.setdefault(wanted.key.service, ReadingPace()).learn(wanted.tokens, first_event_s)

    def seconds_per_token(self) -> dict[str, float]:
        """How long engines read at a prompt token, by service."""
        return {service: pace.s_per_token for service, pace in self.paces.items()}

    def sized(self, wanted: Need) -> Sized:
        """What a request adds to a worker's load."""
        if not wanted.key.model:
            return ONE_REQUEST
        pace = self.paces.get(wanted.key.service)
        return Sized(float(wanted.tokens or USUAL_TOKENS), 0.0 if pace is None else pace.s_per_token)

    def uses(self) -> tuple[ModelUse, ...]:
        """What runs where now. O(models in use at workers)."""
        return tuple(ModelUse(p.instance, p.model, requests) for p, requests in self.in_flight.items())

    def take(self, now: float) -> tuple[Demand, ...]:
        """What is to be told; counts begin anew. O(keys in use + refused requests that may come back)."""
        self.returning = deque(one for one in self.returning if one.until > now)
        returning = Counter(one.key for one in self.returning)
        for key in returning:
            self._of(key)
        told = []
        for key, count in list(self.counts.items()):
            figures = count.asked, count.waiting + returning[key], count.running, count.tokens
            told.append(Demand(key.service, key.model, key.adapter, *figures))
            count.asked = count.tokens = 0
            if not count.waiting and not count.running:
                del self.counts[key]
        return tuple(told)
