"""What a play of quotas tells: requests below the limit, units missing, gaps around takeovers."""

import pytest

from finchladder.lab.cluster.quota_figures import IdealBucket, QuotaFigures, Refusal, Takeover


def test_the_ideal_bucket_lets_the_rate_and_the_burst_through() -> None:
    bucket = IdealBucket(100, 200, 200, 0.0)
    assert [bucket.admits(100, at) for at in (0.0, 0.0, 0.0, 1.0, 1.0)] == [True, True, False, True, False]


def test_a_request_above_the_burst_needs_a_full_ideal_bucket_and_is_paid_for() -> None:
    bucket = IdealBucket(100, 200, 200, 0.0)
    assert [bucket.admits(300, at) for at in (0.0, 2.9, 3.0)] == [True, False, True]


def test_what_was_owed_and_not_run_is_counted_by_reason() -> None:
    figures = QuotaFigures()
    figures.add_tenant("a", 100, 200, 0.0)
    served, refused, above = [figures.begin("a", 100, 0.0) for _ in range(3)]
    served.is_served = True
    refused.refusal = above.refusal = Refusal.NO_ACCOUNT
    assert figures.owed("a") == 2
    assert figures.refused_below_limit("a") == {Refusal.NO_ACCOUNT: 1}
    assert figures.shortfall("a") == pytest.approx(0.5)
    above.is_served = True
    assert figures.shortfall("a") == 0.0


def test_a_gap_runs_from_the_last_grant_of_a_term_to_the_first_of_the_next() -> None:
    figures = QuotaFigures()
    for holder, term, at in (("x", 1, 1.0), ("x", 1, 2.0), ("y", 2, 3.5), ("y", 2, 3.6)):
        figures.granted(holder, term, at)
    assert figures.takeovers == [Takeover("x", "y", 1.5)]
