"""A worker as one dispatcher sees it: its load, and the backoff after failures.

An engine prefills one prompt after the other, so its load is the number of prompt tokens queued there; the
load of a worker without an engine is the number of requests in flight. Both are the sum of this dispatcher's
own load, which is exact, and the load that peers last reported, which is some hundred milliseconds old: what
an engine has prefilled since is subtracted.
"""

from attrs import define, field, frozen

DECODE_LOAD_FRACTION = 0.02  # of a request's load that remains after its prefill; decides between equals
PEER_LOAD_AGE_S = 0.2  # age of the peers' load when a dispatcher receives it
# Share of its prefill rate at which an engine's queue shrinks, since new prompts keep arriving.
PREFILL_PROGRESS_SHARE = 0.7


@frozen
class RequestCost:
    """Load that a request adds to a worker.

    Attributes:
        load: Prompt tokens at an engine, else 1 request.
        prefill_s_per_token: Prefill time of one prompt token; 0 where it is unknown or there is no engine.
    """

    load: float = 1.0
    prefill_s_per_token: float = 0.0


UNIT_COST = RequestCost()


@define(eq=False)
class Worker:
    """One worker incarnation with its load and backoff, which are all that changes.

    Loads are in prompt tokens where a model is asked for, else in requests.

    Attributes:
        load: Estimated load of all dispatchers.
        own_load: Load of this dispatcher's requests.
        peer_load: Load of the other dispatchers' requests at `peer_load_received_at`.
        backoff_until: No request goes there before this time (monotonic seconds).
        key_backoff_until: The same for one model or adapter that the worker rejected, by pool key name.
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
        """Adds the load of an own request, or subtracts it if negative."""
        self.own_load += load
        self.load += load

    def set_peer_load(self, now: float, peer_load: float) -> None:
        """Records the load of the other dispatchers' requests."""
        self.peer_load = peer_load
        self.peer_load_received_at = now
        self.load = self.own_load + peer_load

    def decay_peer_load(self, now: float, prefill_s_per_token: float) -> None:
        """Subtracts what the engine has prefilled of the peers' load since it was received."""
        if prefill_s_per_token and self.peer_load:
            age_s = now - self.peer_load_received_at + PEER_LOAD_AGE_S
            prefilled_tokens = PREFILL_PROGRESS_SHARE * age_s / prefill_s_per_token
            self.load = self.own_load + max(0.0, self.peer_load - prefilled_tokens)

    def is_available(self, now: float, key_name: str) -> bool:
        """Whether requests for that pool key may be sent there."""
        return now >= self.backoff_until and now >= self.key_backoff_until.get(key_name, 0.0)
