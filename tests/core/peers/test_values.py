"""Merging of state rows, token buckets, and sums over all dispatchers."""

from itertools import permutations
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchladder.core.peers.bucket import BURST_S, TOKEN_TTL_S, Bucket
from finchladder.core.peers.messages import MAX_PAYLOAD_BYTES, Demand, PartialSum, Row
from finchladder.core.peers.state_rows import MAX_DEMANDS_PER_ROW, ROW_TTL_S, RowTable
from finchladder.core.peers.sums import MAX_PARTIAL_SUM_AGE_S, FleetSums


def row(
    owner: str, incarnation: int, order: int, age_s: float = 0.0, spent: float = 0.0, boot: int = 0
) -> Row:
    return Row(owner, boot, incarnation, order, age_s, 5.0, (Demand("b", 1.0, 0.0, spent),))


# rows of one owner with equal incarnation and sequence differ only in their age
ROWS = st.builds(
    lambda owner, incarnation, order, age: row(owner, incarnation, order, age, 100.0 * incarnation + order),
    st.sampled_from(["n2", "n3"]),
    st.integers(1, 3),
    st.integers(1, 3),
    st.floats(0, 2 * ROW_TTL_S),
)


def merged(rows: list[Row]) -> dict[str, Row]:
    held = RowTable("n1", 1, 3)
    for r in rows:
        held.merge(0.0, r)
    return {owner: r for owner, (r, _) in held.by_owner.items()}


@given(st.lists(ROWS, max_size=5), st.data())
def test_merging_commutes_and_is_idempotent(rows: list[Row], data: st.DataObject) -> None:
    whole = merged(rows)
    assert merged(data.draw(st.permutations(rows))) == whole == merged(rows + rows)
    assert merged([*whole.values(), *rows]) == whole  # associative: merged rows may be merged again


def test_row_expires_and_restarted_owner_counts_from_zero_once() -> None:
    held = RowTable("n1", 1, 3)
    assert held.merge(0.0, row("n2", 1, 9, 10.0, 90.0))
    assert not held.merge(1.0, row("n2", 1, 8, 0.0, 80.0))
    assert held.total_spent(0.0, "b") == (90.0, 1)
    assert held.merge(2.0, row("n2", 2, 1, 0.0, 3.0))
    assert held.total_spent(2.0, "b") == (3.0, 1)
    assert not held.merge(3.0, row("n2", 1, 99, 0.0, 990.0))
    assert held.total_spent(3.0, "b") == (3.0, 1)
    assert not held.merge(3.0, row("n3", 1, 1, ROW_TTL_S))
    assert held.stale == 1
    assert [r.age_s for r in held.rows_of_peers(7.0, 60.0)] == [5.0]
    assert held.rows_of_peers(7.0, 4.0) == []
    held.remove_expired(2.0 + ROW_TTL_S, ["n1", "n2"])
    assert held.total_spent(40.0, "b") == (0.0, 0)
    held.merge(40.0, row("n2", 3, 1))
    held.remove_expired(40.0, ["n1"])  # no longer listed
    assert not held.by_owner
    assert not held.repeats_left


def test_own_row_is_ignored_and_row_before_restart_raises_sequence() -> None:
    held = RowTable("n1", 1, 3)
    held.write(0.0, 5, [Demand(f"b{n}", float(n), 0.0, 0.0) for n in range(MAX_DEMANDS_PER_ROW + 3)])
    mine, _ = held.by_owner["n1"]
    assert len(mine.demands) == MAX_DEMANDS_PER_ROW
    assert mine.demands[0].rate == MAX_DEMANDS_PER_ROW + 2
    assert not held.merge(0.0, row("n1", 5, 70, boot=1))
    assert held.sequence == 1
    assert not held.merge(0.0, row("n1", 5, 70, boot=2))
    assert held.by_owner["n1"][0] == mine
    held.write(1.0, 6, [])
    assert held.by_owner["n1"][0].sequence == 71


def test_new_rows_go_first_and_others_in_rotation_within_size_limit() -> None:
    held = RowTable("n1", 1, 2)
    for n in range(2, 30):
        held.merge(0.0, row(f"n{n}", 1, 1, 20.0))
    held.merge(0.0, row("n9", 1, 2, 0.0))
    told = [held.select_rows(0.0, "n2", MAX_PAYLOAD_BYTES) for _ in range(40)]
    assert [t[0].owner for t in told[:2]] == ["n9", "n9"]
    assert not held.repeats_left
    assert {r.owner for t in told for r in t} >= {f"n{n}" for n in range(3, 30)}
    assert not any(r.owner == "n2" for t in told for r in t)
    assert held.select_rows(0.0, "n3", 20) == []


@settings(deadline=None)
@given(
    st.floats(0.05, 50),
    st.lists(st.tuples(st.floats(0.0, 3.0), st.floats(0.05, 50)), max_size=30),
    st.booleans(),
)
def test_tokens_in_any_window_are_bounded_by_rate_and_depth(
    fixed: float, steps: list[tuple[float, float]], holds: bool
) -> None:
    """The bound of bucket.py holds for rates that change at any time."""
    b, now, flows = Bucket(fixed, 0.0, keeps_tokens=holds), 0.0, [(0.0, fixed)]
    taken: list[float] = []
    for wait, right in steps:
        for part in range(8):
            at = now + wait * part / 8
            while b.take(at):
                taken.append(at)
        now += wait
        b.set_rate(now, right, now + 1.0)
        b.guaranteed_rate = min(fixed, right)
        flows += [(now, right), (now + 1.0, min(fixed, right))]
    most = max(r for _, r in flows)
    for n, first in enumerate(taken):
        for m in range(n, len(taken)):
            window = taken[m] - first
            assert m - n + 1 <= most * window + 1 + max(TOKEN_TTL_S * min(1.0, most), most * BURST_S) + 1e-6


def test_rate_ends_with_lease_and_slow_bucket_discards_full_token() -> None:
    b = Bucket(1.0, 0.0)
    b.set_rate(0.0, 100.0, 0.5)
    assert b.rate_at(0.5) == 100.0
    assert b.rate_at(0.51) == 1.0
    assert sum(b.take(10.0) for _ in range(100)) <= 1 + 25  # only the tokens that were saved up to 0.5 s
    slow, kept = Bucket(0.1, 0.0), Bucket(0.1, 0.0, keeps_tokens=True)
    for at, there in ((9.9, False), (10.1, True), (10.0 + TOKEN_TTL_S + 0.1, False), (21.1, True)):
        assert slow.has_token(at) is there
    assert kept.has_token(13.0)
    assert kept.has_token(1000.0)
    assert kept.wait_s(1000.0) == 0.0
    assert kept.take(1000.0)
    assert kept.wait_s(1000.0) == pytest.approx(9.75, 0.05)


def test_demand_counts_granted_and_rejected_requests() -> None:
    b = Bucket(0.001, 0.0)
    for n in range(400):
        b.take(n / 20)
        if n % 10 == 9:
            b.update_demand((n + 1) / 20)
    assert b.update_demand(20.0) == pytest.approx(20.0, 0.05)
    assert b.rejected >= 399
    assert b.update_demand(30.0) < 0.1


def ring(n: int, lose: object = None, waves: int = 3) -> list[FleetSums]:
    """Returns n members, each with its own counts, after some waves; `lose`: whose datagrams are lost."""
    all_of = {f"n{i:03}": FleetSums(f"n{i:03}") for i in range(n)}
    names = sorted(all_of)
    draw = Random(n)
    for wave in range(waves):
        queue: list[tuple[str, str, PartialSum]] = []
        for i, name in enumerate(draw.sample(names, n)):
            now = wave * 0.1 + i * 0.0001
            queue += [
                (name, to, p)
                for to, p in all_of[name].begin_wave(now, names, {1: 1.0, 100 + int(name[1:]): 2.0})
            ]
        while queue:
            sender, to, part = queue.pop(draw.randrange(len(queue)))
            if sender != lose:
                told = all_of[to].receive(wave * 0.1 + 0.05, sender, part)
                queue += [(to, other, p) for other, p in told]
    return [all_of[name] for name in names]


@pytest.mark.parametrize("n", [2, 3, 4, 5, 7, 8, 9, 13, 16, 31, 40])
def test_all_members_compute_total_for_any_fleet_size(n: int) -> None:
    for one in ring(n):
        total = one.total(0.3)
        assert total is not None
        assert total.members == n
        assert total.age_s < 0.3
        assert total.counts == {1: float(n)} | {100 + i: 2.0 for i in range(n)}


def test_silent_member_is_missing_and_old_parts_expire() -> None:
    sums = ring(13, lose="n004")
    totals = [one.total(0.3) for one in sums]
    assert all(t is None or t.members <= 13 for t in totals)
    assert any(t is None or t.members < 13 for t in totals)
    assert ring(13)[0].total(0.3 + MAX_PARTIAL_SUM_AGE_S) is None


def test_part_of_earlier_wave_or_invalid_level_is_dropped() -> None:
    one = ring(8)[0]
    held = dict(one.partial_sums)
    level, (part, _) = next(iter(held.items()))
    sender = next(s for s, at in one.last_received_wave if at == level)
    for p in (part._replace(wave=0), part._replace(level=31), part._replace(level=40), part):
        assert one.receive(0.3, sender, p) == []
        assert one.partial_sums == held


def test_ring_is_independent_of_order_of_names() -> None:
    for names in permutations(["a", "b", "c"]):
        one = FleetSums("b")
        assert [to for to, _ in one.begin_wave(0.0, names, {})] == ["c", "a"]
        assert one.ring == ["a", "b", "c"]
