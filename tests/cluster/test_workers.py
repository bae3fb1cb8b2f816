"""Tests of a worker's load."""

import pytest

from finchladder.cluster.routing.workers import PEER_LOAD_AGE_S, PREFILL_PROGRESS_FRACTION
from tests.cluster.routing_workers import make_worker

PREFILL_S_PER_TOKEN = 0.00004


def test_peer_load_decays_by_prefill_and_own_load_does_not() -> None:
    one = make_worker("a")
    one.add_load(1000.0)
    one.set_peer_load(5.0, 40_000)
    one.decay_peer_load(5.0, PREFILL_S_PER_TOKEN)
    assert one.load == pytest.approx(
        1000 + 40_000 - PREFILL_PROGRESS_FRACTION * PEER_LOAD_AGE_S / PREFILL_S_PER_TOKEN
    )
    one.decay_peer_load(5.4, PREFILL_S_PER_TOKEN)
    assert one.load == pytest.approx(
        1000 + 40_000 - PREFILL_PROGRESS_FRACTION * (PEER_LOAD_AGE_S + 0.4) / PREFILL_S_PER_TOKEN
    )
    one.decay_peer_load(60.0, PREFILL_S_PER_TOKEN)
    assert one.load == 1000.0
    one.set_peer_load(60.0, 40_000)
    one.decay_peer_load(99.0, 0.0)
    assert one.load == 41_000.0, "load must not decay while the prefill time is unknown"
