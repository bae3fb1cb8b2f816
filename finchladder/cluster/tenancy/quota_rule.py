"""Computes limits of token buckets so that the requests they grant satisfy the operators' quota rule.

The rule limits the units that arrive at workers in any window, while a bucket limits the units that are
granted. A grant is spent within `GRANT_VALIDITY_S`, and its request arrives at most `ARRIVAL_DELAY_S` later.
Therefore all units that arrive within a window were granted within a span that is longer by the sum of both
times. A bucket without debt grants at most `capacity + refill_per_s * span` units within it.
"""

from attrs import frozen

GRANT_VALIDITY_S = 0.5  # time after the reservation request within which the dispatcher may use the grant
ARRIVAL_DELAY_S = 0.4  # maximum time from the last check of a grant to the arrival of its request at a worker
SLACK_FRACTION = 0.9  # fraction of the rule's slack that buckets may grant
# A bucket may grant at least the largest of these at once, but without a burst at most half of what the rule
# allows. Otherwise a bucket with a high rate and no burst would grant nothing.
MIN_UNITS_AT_ONCE = 1.0
MIN_SLACK_AT_ONCE_FRACTION = 0.5  # of the slack that buckets may grant
MIN_RATE_AT_ONCE_S = 0.02  # seconds of the rate
DEBT_FRACTION = 0.5  # `max_debt` as a fraction of (units that may be granted at once - burst)


@frozen
class BucketLimits:
    """Limits of a tenant's token bucket.

    Attributes:
        refill_per_s: Units per second.
        capacity: Maximum level in units.
        max_debt: Number of units by which the level may fall below zero.
    """

    refill_per_s: float
    capacity: float
    max_debt: float


@frozen
class QuotaRule:
    """The operators' rule on units of one tenant that arrive at workers in any window of `window_s` seconds.

    At most (`rate_per_s` x `window_s` + `burst`) x (1 + `overage`) + `slack` units may arrive.

    Source: QUOTA in the project's rules; the settings `quota_window_s`, `quota_overage` and `quota_slack`
    provide the values.
    """

    window_s: float
    overage: float
    slack: float

    @property
    def grant_span_s(self) -> float:
        """Length of the span that contains all grants whose requests arrive within one window."""
        return self.window_s + GRANT_VALIDITY_S + ARRIVAL_DELAY_S

    def bucket_limits(self, rate_per_s: float, burst: float) -> BucketLimits:
        """The largest token bucket whose grants satisfy the rule; its capacity is at least the burst.

        The bucket grants at most `capacity + max_debt + refill_per_s * span` units within a span.
        """
        slack = SLACK_FRACTION * self.slack
        allowed = (rate_per_s * self.window_s + burst) * (1 + self.overage) + slack
        preferred_at_once = max(
            MIN_UNITS_AT_ONCE, MIN_SLACK_AT_ONCE_FRACTION * slack, MIN_RATE_AT_ONCE_S * rate_per_s
        )
        min_at_once = max(burst, min(preferred_at_once, allowed / 2))
        refill_per_s = min(rate_per_s, (allowed - min_at_once) / self.grant_span_s)
        allowed_at_once = allowed - refill_per_s * self.grant_span_s
        max_debt = max(0.0, DEBT_FRACTION * (allowed_at_once - burst))
        return BucketLimits(refill_per_s, allowed_at_once - max_debt, max_debt)
