"""Models that are requested here, but that no worker has and no announced load brings; without I/O."""

from attrs import define, field

from finchladder.cluster.routing.pools import PoolKey

# Time from the report that a request waits for a model to the announcement of its load: the report, the next
# planning pass and the update of the pools. Without an announcement by then, none is on its way.
PLACEMENT_DECISION_S = 1.0
# The placer knows of a request for this long after the request was rejected, as its client may come back.
REPORTED_DEMAND_S = 1.5
MAX_UNPLACED_MODELS = 1024  # clients may name any model


@define
class UnplacedModel:
    """The requests for one model, in monotonic seconds.

    Attributes:
        reported_at: When the first of them was reported to the placer.
        known_until: Until when the placer knows that the model is requested.
    """

    reported_at: float
    known_until: float


@define
class UnplacedModels:
    """Tells how long the placer may still take to announce a load of a model."""

    _by_key: dict[PoolKey, UnplacedModel] = field(factory=dict)

    def decision_due_at(self, key: PoolKey, now: float) -> float:
        """Records a request for the model; returns the time by which its load should be announced, if at all.

        Requests share the decision on the first one, as long as the placer still knows of them.
        """
        model = self._by_key.get(key)
        if model is None or now > model.known_until:
            self._make_room(now)
            model = self._by_key[key] = UnplacedModel(now, now)
        decision_due_at = model.reported_at + PLACEMENT_DECISION_S
        model.known_until = max(now, decision_due_at) + REPORTED_DEMAND_S
        return decision_due_at

    def forget(self, key: PoolKey) -> None:
        """Forgets a model that a worker has or loads."""
        self._by_key.pop(key, None)

    def _make_room(self, now: float) -> None:
        if len(self._by_key) < MAX_UNPLACED_MODELS:
            return
        self._by_key = {key: model for key, model in self._by_key.items() if model.known_until >= now}
        if len(self._by_key) >= MAX_UNPLACED_MODELS:
            self._by_key.pop(next(iter(self._by_key)))
