"""How much of a tenant's quota may be granted, so that what arrives at workers keeps the operators' rule.

The rule bounds what arrives in any window, the account bounds what it grants. A grant that is spent within
`GRANT_VALIDITY_S` arrives at the latest `ARRIVAL_DELAY_S` after that. So what arrives within a window was
granted within a span that is longer by both, and a token bucket grants at most
`capacity + refill_per_s * span` in it.
"""

from attrs import frozen

GRANT_VALIDITY_S = 0.5  # after a dispatcher asked for a grant, until when it may send the request
ARRIVAL_DELAY_S = 0.4  # between the last check of the grant and the arrival at a worker
SLACK_SHARE = 0.9  # of the rule's slack that is used
DEBT_SHARE = 0.5  # of what may be granted beyond the burst, for requests larger than what is left


@frozen
class BucketLimits:
    """Limits of a tenant's token bucket.

    `refill_per_s`: units a second; `capacity`: the highest level, in units; `max_debt`: how far one grant may
    take the level below zero.
    """

    refill_per_s: float
    capacity: float
    max_debt: float


@frozen
class QuotaRule:
    """The operators' rule on what arrives of one tenant at workers in any window of `window_s` seconds.

    It is at most (`rate_per_s` x `window_s` + `burst`) x (1 + `overage`) + `slack` units.

    Source: QUOTA among the project's rules; the figures are `quota_window_s`, `quota_overage` and
    `quota_slack` of the settings.
    """

    window_s: float
    overage: float
    slack: float

    @property
    def grant_span_s(self) -> float:
        """The longest span within which the grants were made whose requests arrive within one window."""
        return self.window_s + GRANT_VALIDITY_S + ARRIVAL_DELAY_S

    def bucket_limits(self, rate_per_s: float, burst: float) -> BucketLimits:
        """The largest token bucket whose grants keep the rule; its capacity is the burst at least.

        A span's grants are at most `capacity + max_debt + refill_per_s * span`.
        """
        allowed = (rate_per_s * self.window_s + burst) * (1 + self.overage) + SLACK_SHARE * self.slack
        refill_per_s = min(rate_per_s, (allowed - burst) / self.grant_span_s)
        in_advance = allowed - refill_per_s * self.grant_span_s
        max_debt = max(0.0, DEBT_SHARE * (in_advance - burst))
        return BucketLimits(refill_per_s, in_advance - max_debt, max_debt)
