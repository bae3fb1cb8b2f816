"""Tests of the quota account: grants in any window, takeovers, lowered limits and returned units."""

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchladder.cluster.tenancy.quota_account import MAX_RETRY_AFTER_MS, QuotaAccount
from finchladder.cluster.tenancy.quota_rule import ARRIVAL_DELAY_S, GRANT_VALIDITY_S, QuotaRule
from finchladder.cluster.tenancy.tenants import QuotaUnit, Tenant

RULE = QuotaRule(window_s=8.0, overage=0.1, slack=17_000)
SMALL = Tenant("small", unit=QuotaUnit.TOKENS, rate_per_s=4_200, burst=4_200)
LARGE = Tenant("large", unit=QuotaUnit.TOKENS, rate_per_s=155_000, burst=155_000)


@dataclass
class Arrivals:
    """Arrivals at workers with their times and units."""

    times: list[tuple[float, int]] = field(default_factory=list)

    def max_units(self, window_s: float) -> int:
        """Maximum number of units in any closed window of the given length."""
        times = sorted(self.times)
        return max(
            (sum(u for t, u in times if start <= t <= start + window_s) for start, _ in times), default=0
        )


def allowed_units(tenant: Tenant, rule: QuotaRule = RULE) -> float:
    return (tenant.rate_per_s * rule.window_s + tenant.burst) * (1 + rule.overage) + rule.slack


def full_account(tenant: Tenant) -> QuotaAccount:
    account = QuotaAccount(RULE)
    account.begin_term(1, -100.0)
    account.reserve(tenant, (), 0.0)
    return account


@pytest.mark.parametrize("tenant", [SMALL, LARGE])
def test_the_capacity_is_at_least_the_burst_and_the_refill_is_the_rate(tenant: Tenant) -> None:
    limits = RULE.bucket_limits(tenant.rate_per_s, tenant.burst)
    assert limits.capacity >= tenant.burst
    assert limits.refill_per_s == tenant.rate_per_s


def test_without_overage_and_slack_the_refill_is_reduced_and_the_burst_is_kept() -> None:
    limits = QuotaRule(8.0, 0.0, 0.0).bucket_limits(100.0, 50.0)
    assert limits.capacity == pytest.approx(50.0)
    assert limits.refill_per_s < 100.0


@settings(deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.floats(0.0, 2.0),  # seconds since the previous step
            st.integers(1, 9_000),  # cost of each request
            st.floats(0.0, GRANT_VALIDITY_S + ARRIVAL_DELAY_S),  # seconds until the request arrives
            st.sampled_from(["reserve", "reserve", "reserve", "take over", "return"]),
        ),
        max_size=80,
    ),
    tenant=st.sampled_from([SMALL, LARGE]),
    requests_per_step=st.integers(1, 60),
)
def test_arrivals_in_any_window_satisfy_the_rule(
    steps: list[tuple[float, int, float, str]], tenant: Tenant, requests_per_step: int
) -> None:
    account = full_account(tenant)
    arrivals = Arrivals()
    now = 0.0
    returnable: list[tuple[int, int, float]] = []
    for gap_s, cost, delay_s, step in steps:
        now += gap_s
        if step == "take over":
            account = QuotaAccount(RULE)
            account.begin_term(int(now * 1000) + 2, now)
        elif step == "return":
            for units, term, granted_at in returnable:
                if now < granted_at + GRANT_VALIDITY_S:
                    account.return_units(tenant, units, term, now)
            returnable.clear()
        else:
            granted = account.reserve(tenant, (cost,) * requests_per_step, now)
            arrivals.times += [(now + delay_s, cost) for is_granted in granted if is_granted]
            unspent = account.reserve(tenant, (cost,) * requests_per_step, now)
            returnable += [(cost, account.term, now) for is_granted in unspent if is_granted]
    assert arrivals.max_units(RULE.window_s) <= allowed_units(tenant)


def test_a_new_term_begins_empty_and_refills() -> None:
    account = full_account(SMALL)
    account.begin_term(2, 10.0)
    assert account.reserve(SMALL, (1,), 10.0) == (False,)
    assert account.reserve(SMALL, (4_200, 1), 11.0) == (True, False)


def test_repeating_the_current_term_does_not_refill_the_buckets() -> None:
    account = full_account(SMALL)
    account.reserve(SMALL, (4_200,) * 10, 0.0)
    account.begin_term(1, 0.0)
    assert account.reserve(SMALL, (4_200,), 0.0) == (False,)


def test_returned_units_of_a_former_term_are_ignored() -> None:
    account = full_account(SMALL)
    account.begin_term(2, 10.0)
    account.return_units(SMALL, 4_000, 1, 10.0)
    assert account.reserve(SMALL, (4_000,), 10.0) == (False,)
    account.return_units(SMALL, 4_000, 2, 10.0)
    assert account.reserve(SMALL, (4_000,), 10.0) == (True,)


def test_a_lowered_limit_reduces_the_level() -> None:
    account = full_account(LARGE)
    lowered = Tenant("large", unit=QuotaUnit.TOKENS, rate_per_s=1_000, burst=1_000)
    limits = RULE.bucket_limits(1_000, 1_000)
    granted = account.reserve(lowered, (1_000,) * 200, 0.0)
    assert sum(granted) * 1_000 <= limits.capacity + limits.max_debt


def test_a_tenant_that_is_removed_and_added_again_cannot_spend_twice() -> None:
    account = full_account(SMALL)
    account.reserve(SMALL, (4_000,) * 10, 0.0)
    account.reserve(LARGE, (1,), 0.01)  # a configuration without the small tenant is active for a while
    assert account.reserve(SMALL, (1,), 0.02) == (False,)


def test_another_unit_begins_with_another_bucket() -> None:
    account = full_account(SMALL)
    account.reserve(SMALL, (4_000,) * 10, 0.0)
    requests = Tenant("small", unit=QuotaUnit.REQUESTS, rate_per_s=10, burst=10)
    assert account.reserve(requests, (1,), 0.0) == (True,)


def test_any_positive_level_is_enough_for_costs_up_to_the_debt() -> None:
    account = full_account(SMALL)
    limits = RULE.bucket_limits(SMALL.rate_per_s, SMALL.burst)
    account.reserve(SMALL, (int(limits.capacity) - 1,), 0.0)
    assert account.reserve(SMALL, (int(limits.max_debt), 1), 0.0) == (True, False)
    assert account.is_exhausted(SMALL, 0.0)


def test_a_cost_beyond_the_debt_waits_until_the_level_is_high_enough() -> None:
    account = full_account(SMALL)
    limits = RULE.bucket_limits(SMALL.rate_per_s, SMALL.burst)
    account.reserve(SMALL, (int(limits.capacity) - 1_000,), 0.0)
    cost = int(limits.max_debt) + 3_000
    assert account.reserve(SMALL, (cost,), 0.0) == (False,)
    assert not account.is_exhausted(SMALL, 0.0)
    wait_s = account.retry_after_ms(SMALL, cost, 0.0) / 1000
    assert wait_s == pytest.approx(2_000 / 4_200, abs=0.01)
    assert account.reserve(SMALL, (cost,), wait_s) == (True,)


def test_a_cost_above_the_limits_is_never_granted_and_withdraws_nothing() -> None:
    account = full_account(SMALL)
    limits = RULE.bucket_limits(SMALL.rate_per_s, SMALL.burst)
    cost = int(limits.capacity + limits.max_debt) + 1
    assert account.reserve(SMALL, (cost, 4_000), 0.0) == (False, True)
    assert account.retry_after_ms(SMALL, cost, 0.0) == MAX_RETRY_AFTER_MS


def test_a_cost_is_granted_after_its_retry_time() -> None:
    account = full_account(SMALL)
    while account.reserve(SMALL, (2_400,), 0.0) == (True,):
        pass
    wait_s = account.retry_after_ms(SMALL, 2_400, 0.0) / 1000
    assert account.reserve(SMALL, (2_400,), wait_s - 0.01) == (False,)
    assert account.reserve(SMALL, (2_400,), wait_s + 0.001) == (True,)


def test_a_tenant_without_a_limit_gets_every_grant() -> None:
    account = full_account(SMALL)
    unlimited = Tenant("free")
    assert account.reserve(unlimited, (10**9,) * 3, 0.0) == (True, True, True)
    assert account.retry_after_ms(unlimited, 10**9, 0.0) == 0


def test_the_cost_depends_on_the_unit() -> None:
    assert Tenant("a", unit=QuotaUnit.REQUESTS).cost(5_000) == 1
    assert Tenant("a", unit=QuotaUnit.TOKENS, raw_tokens=200).cost(None) == 200
    assert Tenant("a", unit=QuotaUnit.TOKENS, raw_tokens=200).cost(2_400) == 2_400


@pytest.mark.parametrize("rate_per_s", [0.01, 1, 100, 4_200, 130_000, 153_000, 155_000, 1e6, 1e9, 1e12])
@pytest.mark.parametrize("burst", [0, 1, 500])
@pytest.mark.parametrize("slack", [17_000, 0])
def test_a_tenant_with_a_high_rate_and_hardly_any_burst_gets_nearly_its_rate(
    rate_per_s: float, burst: float, slack: float
) -> None:
    # From about 130,000 units per second on, the bucket was too small for any request, and all got 429.
    rule = QuotaRule(8.0, 0.1, slack)
    tenant = Tenant("a", unit=QuotaUnit.TOKENS, rate_per_s=rate_per_s, burst=burst)
    limits = rule.bucket_limits(rate_per_s, burst)
    assert (0.98 if rate_per_s >= 100 else 0.4) * rate_per_s <= limits.refill_per_s <= rate_per_s
    at_once = limits.capacity + limits.max_debt
    assert at_once + limits.refill_per_s * rule.grant_span_s <= allowed_units(tenant, rule)
    preferred = max(burst, min(allowed_units(tenant, rule) / 2, max(1.0, 0.02 * rate_per_s, 0.45 * slack)))
    assert at_once >= 0.999 * min(preferred, 0.9 * slack + burst + rate_per_s)
    account = QuotaAccount(rule)
    account.begin_term(1, -1e6)
    cost = int(0.99 * at_once)
    assert account.reserve(tenant, [cost], 0.0) == (True,)
