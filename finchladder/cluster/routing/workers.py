"""State of a worker at one dispatcher: its load and its backoff after failures.

An engine prefills prompts sequentially, so its load is the number of prompt tokens queued at it. The load of
a worker without an engine is the number of requests in flight. Both are the sum of this dispatcher's own
load, which is exact, and the load of the other dispatchers, which is a few hundred milliseconds old. The
tokens that an engine has probably prefilled since then are subtracted from the load of the others.
"""

from attrs import define, field, frozen

DECODE_LOAD_FRACTION = 0.02  # fraction of a request's load that remains after its prefill, to break ties
PEER_LOAD_AGE_S = 0.2  # assumed age of the other dispatchers' load when it is received
# An engine's queue shrinks at this fraction of its prefill rate, because new prompts keep arriving.
PREFILL_PROGRESS_FRACTION = 0.7


@frozen
class RequestCost:
    """Load that a request adds to a worker.

    Attributes:
        load: Number of prompt tokens at an engine, otherwise 1 request.
        prefill_s_per_token: Prefill time of one prompt token; 0 if it is unknown or there is no engine.
    """

    load: float = 1.0
    prefill_s_per_token: float = 0.0


UNIT_COST = RequestCost()


@define(eq=False)
class Worker:
    """One worker incarnation; only its load and backoff change.

    Loads are prompt tokens if requests name a model, and numbers of requests otherwise.

    Attributes:
        load: Estimated load of all dispatchers' requests.
        own_load: Load of this dispatcher's requests.
        peer_load: Load of the other dispatchers' requests at `peer_load_received_at`.
        backoff_until: No request is sent to the worker before this time (monotonic seconds).
        key_backoff_until: Backoff for a model or adapter that the worker rejected, by pool key name.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    load: float = 0.0
    own_load: float = 0.0
    peer_load: float = 0.0
    peer_load_received_at: float = 0.0
    backoff_until: float = 0.0
    consecutive_failures: int = 0
    key_backoff_until: dict[str, float] = field(factory=dict)

    def add_load(self, load: float) -> None:
        """Adds the load of a request of this dispatcher; a negative load subtracts it."""
        self.own_load += load
        self.load += load

    def set_peer_load(self, now: float, peer_load: float) -> None:
        """Records the load of the other dispatchers' requests, received at `now`."""
        self.peer_load = peer_load
        self.peer_load_received_at = now
        self.load = self.own_load + peer_load

    def decay_peer_load(self, now: float, prefill_s_per_token: float) -> None:
        """Subtracts the tokens that the engine has probably prefilled since the peer load was measured."""
        if prefill_s_per_token and self.peer_load:
            age_s = now - self.peer_load_received_at + PEER_LOAD_AGE_S
            prefilled_tokens = PREFILL_PROGRESS_FRACTION * age_s / prefill_s_per_token
            self.load = self.own_load + max(0.0, self.peer_load - prefilled_tokens)

    def available_at(self, key_name: str) -> float:
        """Time from which requests for a pool key may be sent to this worker (monotonic seconds)."""
        return max(self.backoff_until, self.key_backoff_until.get(key_name, 0.0))

    def is_available(self, now: float, key_name: str) -> bool:
        """Whether requests for a pool key may be sent to this worker."""
        return now >= self.available_at(key_name)
