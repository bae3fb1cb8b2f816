"""Counts of peers break ties, decay and overrule nothing; shared budgets of routes and admission limits."""

from collections import Counter
from random import Random

import pytest

from finchladder import api
from finchladder.config.options import DoorOptions
from finchladder.core.peers.bucket import Bucket
from finchladder.core.peers.exchange import BUDGET_IDLE_TIMEOUT_S, MAX_DYNAMIC_BUDGETS, Peers
from finchladder.core.peers.loads import MAX_COUNTS_AGE_S, attach, own_slots_in_flight, worker_number
from finchladder.core.peers.messages import Demand, Grant, Packet, PacketKind, Row
from finchladder.core.peers.retries import SharedRetryBudget
from finchladder.core.routing.routes import RetryBudget
from finchladder.features.shared_admission_limits import MAX_RETRY_AFTER_S, SharedTokenBuckets
from tests.helpers import Bench, workers


def sent(counts: dict[str, float], age_s: float = 0.0, dispatchers: int = 20, busy: str = "") -> Counter[str]:
    """Counts the workers of 200 consecutive jobs while the peers report `counts`."""
    bench = Bench(workers(2), dispatchers=dispatchers)
    attach(bench.d)
    if busy:
        bench.d.worker_index.add_load(bench.d.workers[busy], 1.0)
    found: Counter[str] = Counter()
    for n in range(200):
        if counts:
            bench.feed(api.PeerLoads({worker_number(w): c for w, c in counts.items()}, age_s))
        [to] = [a.worker for a in bench.feed(api.Request(f"j{n}", "safe", 5.0)) if isinstance(a, api.Send)]
        found[to] += 1
        bench.feed(api.Ended(f"j{n}", 0, api.Ending.OK, True, 0.0))
    return found


ONE, TWO = workers(2)


def test_tie_goes_to_worker_with_fewer_slots_in_flight_in_fleet() -> None:
    assert sent({ONE: 3.0})[TWO] > 190
    assert sent({TWO: 3.0})[ONE] > 190
    assert sent({ONE: 3.0, TWO: 3.0})[ONE] in range(60, 140)


def test_counts_apply_with_few_dispatchers() -> None:
    assert sent({TWO: 3.0}, dispatchers=3)[ONE] > 190


def test_effect_of_counts_decays_with_age() -> None:
    shares = [sent({ONE: 3.0}, age_s)[ONE] for age_s in (0.0, 0.8 * MAX_COUNTS_AGE_S, 2 * MAX_COUNTS_AGE_S)]
    assert shares[0] < 10 < shares[1] < 90
    assert shares[2] in range(70, 130)
    assert sent({ONE: 3.0}, 2 * MAX_COUNTS_AGE_S) == sent({}, 0.0)  # including the random draws


def test_lower_own_load_takes_precedence_over_counts() -> None:
    assert sent({TWO: 50.0}, busy=ONE) == {TWO: 200}


def test_own_slots_in_flight_are_keyed_by_worker_number() -> None:
    bench = Bench(workers(2))
    bench.feed(api.Request("j", "safe", 5.0, key=1))
    [worker] = [w for w in bench.d.workers.values() if w.load]
    assert own_slots_in_flight(bench.d.workers.values()) == {worker_number(worker.address): 1.0}
    assert 0 <= worker_number("any") < 1 << 32


def test_shared_minimum_rate_adds_to_share_of_first_sends() -> None:
    bucket = Bucket(2.0, 0.0)
    budget = SharedRetryBudget(RetryBudget(share=0.1, least_per_s=200.0), bucket)
    assert not budget.try_spend(0.1)
    assert bucket.rejected == 1
    for _ in range(20):
        budget.record_first_send(0.1)
    assert [budget.try_spend(0.1) for _ in range(3)] == [True, True, False]
    assert bucket.spent == 0
    assert budget.may_retry(1.0)
    assert budget.try_spend(1.0)
    assert bucket.spent == 1
    budget.reconfigure(RetryBudget(share=0.2, least_per_s=500.0))
    assert [budget.try_spend(1.0) for _ in range(3)] == [True, True, False]


def peers(now: float = -100.0) -> Peers:
    return Peers("n1", ["n1", "n2", "n3", "n4"], 1, 1000, now)


def hears(
    p: Peers, now: float, *wants: Demand, sender: str = "n2", order: int = 1
) -> list[tuple[str, Packet]]:
    row = Row(sender, 9, 1000, order, 0.0, now, wants)
    p.receive(now, Packet(PacketKind.GOSSIP, sender, 9, 1000, rows=(row,)))
    return p.tick(max(now, p.next_due(), p.next_gossip_at))


def door(p: Peers, rate: float = 20.0, keys: int = 10) -> SharedTokenBuckets:
    return SharedTokenBuckets(p, "door", DoorOptions(rate, 2 * rate, keys), 1)


def test_address_uses_own_rate_at_once_and_demands_the_rest() -> None:
    p = peers()
    d = door(p)
    waits = [d.take(n / 100, "a") for n in range(1000)]
    assert waits.count(0.0) == pytest.approx(10 * 20 / 4 + 1, abs=2)
    assert max(waits) <= MAX_RETRY_AFTER_S
    assert d.take(10.0, "b") == 0.0  # each address has its own bucket
    assert list(p.escrow.budgets) == ["door:a"]
    p.tick(11.0)
    [row] = [r for r, _ in p.rows.by_owner.values()]
    assert row.demands[0].budget == "door:a"
    assert row.demands[0].rate > 5.0
    grant = Grant(1, "door:a", 5.0, p.rows.by_owner["n1"][0].requested_at, p.boot)
    p.receive(11.0, Packet(PacketKind.GOSSIP, "n2", 9, 1000, grants=(grant,)))
    assert sum(d.take(11.0 + n / 100, "a") == 0.0 for n in range(400)) == pytest.approx(4 * 10, abs=8)


def test_rate_demanded_by_peers_is_lent_and_idle_budget_removed() -> None:
    p = peers()
    d = door(p)
    assert d.take(1.0, "a") == 0.0
    told = hears(p, 2.0, Demand("door:a", 15.0, 0.0, 0.0), Demand("other:a", 9.0, 0.0, 0.0))
    [grant] = [g for to, packet in told if to == "n2" for g in packet.grants]
    assert grant.budget == "door:a"
    assert grant.rate == pytest.approx(4.0)
    assert p.buckets["door:a"] is d.buckets["door:a"]  # the same bucket, whose rate is reduced by the loan
    assert p.buckets["door:a"].rate_at(2.2) == pytest.approx(1.0)
    assert list(p.escrow.budgets) == ["door:a"]  # no budget is created for an unknown limit
    for n in range(200):
        p.tick(3.0 + n / 5)
    assert not p.escrow.budgets
    assert d.take(43.0 + BUDGET_IDLE_TIMEOUT_S, "a") == 0.0
    assert d.buckets["door:a"].rate_at(60.0) == pytest.approx(5.0)


def test_tables_are_bounded() -> None:
    p = peers()
    d = door(p, keys=5)
    for n in range(3 * MAX_DYNAMIC_BUDGETS):
        for _ in range(30):
            d.take(1.0, f"a{n}")
    assert len(d.buckets) == 5
    assert len(p.escrow.budgets) == MAX_DYNAMIC_BUDGETS == len(p.last_used_at)
    before = p.buckets["door:a0"]
    assert "door:a0" not in d.buckets
    assert d.take(1.0, "a0") > 0.0
    assert d.buckets["door:a0"] is before
    draw = Random(1)
    for n in range(40):
        wants = [Demand(f"door:b{draw.random()}", 1.0, 0.0, 0.0) for _ in range(8)]
        hears(p, 2.0 + n / 5, *wants, order=n + 1)
    assert len(p.escrow.budgets) <= MAX_DYNAMIC_BUDGETS


def test_start_uses_unlendable_share_and_more_dispatchers_reduce_shares() -> None:
    p = peers(now=0.0)
    assert p.register_budget("b", 40.0, 0.0).rate_at(0.0) == pytest.approx(1.0)
    p.tick(20.0)
    assert p.buckets["b"].rate_at(20.0) == pytest.approx(10.0)
    assert p.register_budget("c", 40.0, 20.0, least=200).rate_at(20.0) == pytest.approx(0.2)
    p.register_budget("b", 80.0, 20.0)  # the limit changed
    assert p.buckets["b"].rate_at(20.0) == pytest.approx(20.0)
    p.set_dispatchers(20.0, [f"n{n}" for n in range(1, 9)])
    assert p.buckets["b"].rate_at(20.0) == pytest.approx(10.0)
