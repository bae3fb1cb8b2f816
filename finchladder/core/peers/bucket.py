"""Token bucket for one dispatcher's part of a shared budget, bounded in any window and across restarts.

The bucket gains one token every 1 / rate seconds, up to `depth` tokens; a new bucket has none. With many
dispatchers the rate of each is far below one token per second, so a full token that is unused for
TOKEN_TTL_S is discarded: otherwise all idle dispatchers could spend theirs within the same second. In any
window of W seconds all dispatchers together take at most

    limit x W + sum of depths,    depth = 1 + rate x (TOKEN_TTL_S if rate < 1 / TOKEN_TTL_S else BURST_S)

so the excess is e = (dispatchers + limit x TOKEN_TTL_S) / (limit x W) in the worst case, in which all
dispatchers hold a full token at once. The fraction of idle dispatchers that hold one is
TOKEN_TTL_S / (TOKEN_TTL_S + 1 / rate).
"""

BURST_S = 0.25  # a bucket saves the tokens of this time beyond one full token, as jobs arrive in bursts
TOKEN_TTL_S = 1.0
DEMAND_AVERAGING_S = 1.0  # averaging time of the demand


class Bucket:
    """Token bucket whose rate is set from outside, by the owner of the escrow; it sends no messages."""

    __slots__ = (
        "guaranteed_rate",
        "rate",
        "rate_until",
        "tokens",
        "refilled_at",
        "full_token_since",
        "requested",
        "demand_updated_at",
        "demand",
        "spent",
        "rejected",
        "burst_s",
        "keeps_tokens",
    )

    def __init__(
        self,
        guaranteed_rate: float,
        now: float,
        tokens: float = 0.0,
        burst_s: float = BURST_S,
        keeps_tokens: bool = False,
    ) -> None:
        """Creates a bucket.

        Args:
            guaranteed_rate: Rate in tokens per second that does not depend on messages from peers.
            now: Current time, in seconds.
            tokens: Initial number of tokens. Random negative values prevent dispatchers that start
                simultaneously from gaining their first token simultaneously.
            burst_s: Seconds of the rate that may be saved beyond one full token.
            keeps_tokens: Whether unused full tokens are kept.
        """
        self.burst_s, self.keeps_tokens = burst_s, keeps_tokens
        self.guaranteed_rate = self.rate = guaranteed_rate
        self.rate_until = float("inf")  # afterwards the guaranteed rate applies
        self.tokens = tokens
        self.refilled_at = self.demand_updated_at = now
        self.full_token_since: float | None = None
        self.requested = 0  # number of requests since `demand_updated_at`
        self.demand = 0.0  # requests per second, averaged over DEMAND_AVERAGING_S
        self.spent = self.rejected = 0

    def set_rate(self, now: float, rate: float, until: float) -> None:
        """Sets the rate that applies from now until `until`; afterwards the guaranteed rate applies."""
        self._refill(now)
        self.rate, self.rate_until = rate, until

    def rate_at(self, now: float) -> float:
        """Returns the rate per second that applies at `now` unless it is set again before."""
        return self.rate if now <= self.rate_until else min(self.rate, self.guaranteed_rate)

    def has_token(self, now: float) -> bool:
        self._refill(now)
        return self.tokens >= 1

    def take(self, now: float) -> bool:
        """Takes a token if there is one; the request counts as demand in either case."""
        self.requested += 1
        if not self.has_token(now):
            self.rejected += 1
            return False
        self.tokens -= 1
        self.full_token_since = now if self.tokens >= 1 else None
        self.spent += 1
        return True

    def wait_s(self, now: float) -> float:
        """Returns the seconds until there is a token, at the current rate."""
        if self.has_token(now):
            return 0.0
        return (1 - self.tokens) / self.rate if self.rate > 0 else float("inf")

    def update_demand(self, now: float) -> float:
        """Updates and returns the demand, in requests per second; call it several times per second."""
        span = now - self.demand_updated_at
        if span > 0:
            weight = min(1.0, span / DEMAND_AVERAGING_S)
            self.demand += weight * (self.requested / span - self.demand)
            self.requested, self.demand_updated_at = 0, now
        return self.demand

    def _refill(self, now: float) -> None:
        if now <= self.refilled_at:
            return
        if self.refilled_at < self.rate_until < now:  # the rate expired in between
            self._add_tokens(self.rate_until)
        if now > self.rate_until:
            self.rate, self.rate_until = min(self.rate, self.guaranteed_rate), float("inf")
        self._add_tokens(now)

    @property
    def discards_unused_tokens(self) -> bool:
        """Whether unused full tokens are discarded, so that few of many idle dispatchers hold one."""
        return not self.keeps_tokens and self.rate * TOKEN_TTL_S < 1

    def _add_tokens(self, now: float) -> None:
        rate, remaining_s = self.rate, now - self.refilled_at
        depth = 1.0 + rate * (TOKEN_TTL_S if self.discards_unused_tokens else self.burst_s)
        self.refilled_at = now
        if rate <= 0:
            return
        # if demand exceeds the rate, the next request will soon use the token
        token_ttl_s = max(TOKEN_TTL_S, 3 / self.demand) if self.demand > rate else TOKEN_TTL_S
        while remaining_s > 0:
            if self.tokens < 1:
                step = min(remaining_s, (1 - self.tokens) / rate)
                self.tokens += rate * step
                remaining_s -= step
                if self.tokens >= 1 - 1e-9:
                    self.tokens, self.full_token_since = max(1.0, self.tokens), now - remaining_s
                continue
            since = now - remaining_s if self.full_token_since is None else self.full_token_since
            ttl_remaining_s = since + token_ttl_s - (now - remaining_s)
            if ttl_remaining_s > remaining_s or not self.discards_unused_tokens:
                self.tokens = min(depth, self.tokens + rate * remaining_s)
                return
            remaining_s -= max(0.0, ttl_remaining_s)
            self.tokens, self.full_token_since = 0.0, None
