"""What this dispatcher was asked for, by model and adapter, since it last told the placer."""

from collections.abc import Callable

from attrs import define, field

from finchladder.cluster.routing.pools import PoolKey
from finchladder.cluster.routing.requests import Need
from finchladder.cluster.types.messages import Demand


@define
class Count:
    """Of one model or adapter."""

    asked: int = 0
    tokens: int = 0
    waiting: int = 0
    running: int = 0


@define
class DemandCounter:
    """`on_wait` is called when something begins to be waited for that nobody holds."""

    counts: dict[PoolKey, Count] = field(factory=dict)
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

    def runs(self, key: PoolKey, step: int) -> None:
        """A request begins (1) or ceases (-1) to run at a worker."""
        if key.model:
            self._of(key).running += step

    def take(self) -> tuple[Demand, ...]:
        """What is to be told; counts begin anew. O(keys in use)."""
        told = []
        for key, count in list(self.counts.items()):
            figures = count.asked, count.waiting, count.running, count.tokens
            told.append(Demand(key.service, key.model, key.adapter, *figures))
            count.asked = count.tokens = 0
            if not count.waiting and not count.running:
                del self.counts[key]
        return tuple(told)
