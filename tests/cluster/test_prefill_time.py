"""Tests of the prefill time estimate."""

from random import Random

import pytest

from finchladder.cluster.routing.prefill_time import PrefillTimeEstimator


def test_the_estimate_is_a_low_quantile_and_follows_a_change() -> None:
    random, estimator = Random(1), PrefillTimeEstimator()
    estimator.observe(0, 1.0)
    assert not estimator.s_per_token, "a prompt of unknown size must be ignored"
    for _ in range(400):
        estimator.observe(1000, 0.040 if random.random() < 0.5 else 0.5)
    assert estimator.s_per_token == pytest.approx(0.00004, rel=0.2)
    for _ in range(400):
        estimator.observe(1000, 0.010 if random.random() < 0.5 else 0.5)
    assert estimator.s_per_token == pytest.approx(0.00001, rel=0.2)
