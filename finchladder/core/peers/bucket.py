"""Tokens of one dispatcher's part of a shared budget: no more than its right, in any window, over a restart.

A token comes each 1 / right seconds, up to `depth` of them; a start begins with none. Of one among many the
right is far less than a token a second, so a token that is whole and not used for HOLD_S is given up: else
all that were idle would use theirs in one second. In any window of W seconds all together take at most

    limit x W + sum of depths,    depth = 1 + right x (HOLD_S if right < 1 / HOLD_S else BURST_S)

so e = (dispatchers + limit x HOLD_S) / (limit x W) in the worst case, that all have a whole token at once;
of those that are idle HOLD_S / (HOLD_S + 1 / right) have one.
"""

BURST_S = 0.25  # of its right that one may save up beyond a whole token: jobs come unevenly
TOKEN_HOLD_S = 1.0
DEMAND_AVERAGING_S = 1.0  # over which the need is averaged


class Bucket:
    """`right` and when it ends are told by whoever keeps the escrow; nothing here asks anyone."""

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
        """`fixed`: tokens a second that are this one's whatever is heard. `holds`: whole ones stay, unused.

        `level` to begin with, below 0 if it is drawn: all that start at one moment must not come to their
        first token at one moment.
        """
        self.burst_s, self.keeps_tokens = burst_s, keeps_tokens
        self.guaranteed_rate = self.rate = guaranteed_rate
        self.rate_until = float("inf")  # after that the right is what is fixed
        self.tokens = tokens
        self.refilled_at = self.demand_updated_at = now
        self.full_token_since: float | None = None
        self.requested = 0  # since `asked_at`
        self.demand = 0.0  # a second, averaged
        self.spent = self.rejected = 0

    def set_rate(self, now: float, right: float, until: float) -> None:
        """Another right holds from now, to `until`; after that what is `fixed`."""
        self._refill(now)
        self.rate, self.rate_until = right, until

    def rate_at(self, now: float) -> float:
        """What may be used at that time, a second, if nothing else is told until then."""
        return self.rate if now <= self.rate_until else min(self.rate, self.guaranteed_rate)

    def has_token(self, now: float) -> bool:
        self._refill(now)
        return self.tokens >= 1

    def take(self, now: float) -> bool:
        """Counts as needed, whether or not there is one."""
        self.requested += 1
        if not self.has_token(now):
            self.rejected += 1
            return False
        self.tokens -= 1
        self.full_token_since = now if self.tokens >= 1 else None
        self.spent += 1
        return True

    def wait_s(self, now: float) -> float:
        """Until there is a token, if nothing changes."""
        if self.has_token(now):
            return 0.0
        return (1 - self.tokens) / self.rate if self.rate > 0 else float("inf")

    def update_demand(self, now: float) -> float:
        """What is asked of it, a second; to be looked at some times a second."""
        span = now - self.demand_updated_at
        if span > 0:
            part = min(1.0, span / DEMAND_AVERAGING_S)
            self.demand += part * (self.requested / span - self.demand)
            self.requested, self.demand_updated_at = 0, now
        return self.demand

    def _refill(self, now: float) -> None:
        if now <= self.refilled_at:
            return
        if self.refilled_at < self.rate_until < now:  # the right became smaller in between
            self._add_tokens(self.rate_until)
        if now > self.rate_until:
            self.rate, self.rate_until = min(self.rate, self.guaranteed_rate), float("inf")
        self._add_tokens(now)

    @property
    def is_slow(self) -> bool:
        """Of many that are idle few must have a whole token."""
        return not self.keeps_tokens and self.rate * TOKEN_HOLD_S < 1

    def _add_tokens(self, now: float) -> None:
        rate, left = self.rate, now - self.refilled_at
        depth = 1.0 + rate * (TOKEN_HOLD_S if self.is_slow else self.burst_s)
        self.refilled_at = now
        if rate <= 0:
            return
        # where more is asked for than there is, the next one will come for it soon
        hold_s = max(TOKEN_HOLD_S, 3 / self.demand) if self.demand > rate else TOKEN_HOLD_S
        while left > 0:
            if self.tokens < 1:
                step = min(left, (1 - self.tokens) / rate)
                self.tokens += rate * step
                left -= step
                if self.tokens >= 1 - 1e-9:
                    self.tokens, self.full_token_since = max(1.0, self.tokens), now - left
                continue
            since = now - left if self.full_token_since is None else self.full_token_since
            held = since + hold_s - (now - left)
            if held > left or not self.is_slow:
                self.tokens = min(depth, self.tokens + rate * left)
                return
            left -= max(0.0, held)
            self.tokens, self.full_token_since = 0.0, None
