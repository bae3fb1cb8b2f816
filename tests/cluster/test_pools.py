"""Tests of pool members and of pools after changes."""

from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.routing.pools import (
    ExpectedReplica,
    PoolKey,
    PoolMember,
    Pools,
    pool_member,
    usable_models,
)
from finchladder.cluster.types.workers import LoadedModel, PlacementRecord, SessionPhase, WorkerRecord
from tests.cluster.routing_workers import make_worker


def record(name: str, phase: SessionPhase = SessionPhase.READY, *loaded_models: LoadedModel) -> WorkerRecord:
    return WorkerRecord(name, "llm", f"{name}:1", "z", 64, phase, 1, "core", loaded_models)


def test_only_ready_workers_are_members_and_known_workers_keep_their_load() -> None:
    known_members = {"a": PoolMember(make_worker("a", 3))}
    phases = {
        "a": SessionPhase.READY,
        "b": SessionPhase.DRAINING,
        "c": SessionPhase.LOST,
        "d": SessionPhase.DEREGISTERED,
    }
    members = {n: pool_member(record(n, phase), None, known_members.get(n)) for n, phase in phases.items()}
    assert members["a"] is not None
    assert members["a"].worker is known_members["a"].worker
    assert [members[name] for name in "bcd"] == [None] * 3
    assert pool_member(None, None, known_members["a"]) is None


def test_the_placement_record_decides_which_models_are_usable() -> None:
    worker = record("a", SessionPhase.READY, LoadedModel("m0"), LoadedModel("m1"))
    assert usable_models(worker, None) == worker.loaded_models
    placement = PlacementRecord("a", 1, 1, (LoadedModel("m1"),))
    assert usable_models(worker, placement) == (LoadedModel("m1"),)


def test_a_pool_has_the_workers_with_its_model_and_adapter() -> None:
    a, b, c = (make_worker(name) for name in "abc")
    pools = Pools().with_changes(
        {
            "a": PoolMember(a, (LoadedModel("m0", ("a1",)),)),
            "b": PoolMember(b, (LoadedModel("m0"),)),
            "c": PoolMember(c),
        },
        [ExpectedReplica(PoolKey("llm", "m9", ""), 8.0), ExpectedReplica(PoolKey("llm", "m9", ""), 7.0)],
    )
    assert pools.pool(PoolKey("llm", "m0", "")).workers == (a, b)
    assert pools.pool(PoolKey("llm", "m0", "a1")).workers == (a,)
    assert pools.pool(PoolKey("llm", "", "")).workers == (a, b, c)
    assert pools.ready_at(PoolKey("llm", "m9", "a2")) == 7.0


Steps = list[tuple[str, bool, list[tuple[str, bool]]]]


@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.booleans(),
            st.lists(
                st.tuples(st.sampled_from(("m0", "m1")), st.booleans()), max_size=2, unique_by=lambda h: h[0]
            ),
        ),
        max_size=12,
    )
)
def test_pools_after_many_changes_equal_those_built_at_once(steps: Steps) -> None:
    """Compares pools with a search over all members, and checks that earlier pools do not change."""
    pools, members, earlier = Pools(), dict[str, PoolMember](), []
    for name, is_ready, loaded in steps:
        member = PoolMember(
            make_worker(name), tuple(LoadedModel(m, ("a1",) if adapter else ()) for m, adapter in loaded)
        )
        members.pop(name, None)
        if is_ready:
            members[name] = member
        pools = pools.with_changes({name: member if is_ready else None})
        for key in (PoolKey("llm", m, a) for m, a in (("", ""), ("m0", ""), ("m0", "a1"), ("m1", ""))):
            expected = {h.worker for h in members.values() if key in set(h.pool_keys())}
            assert set(pools.pool(key).workers) == expected
            earlier.append((pools, key, expected))
    for earlier_pools, key, expected in earlier:
        assert set(earlier_pools.pool(key).workers) == expected


def test_a_pool_is_reused_if_none_of_its_workers_changed() -> None:
    key = PoolKey("llm", "m0", "")
    pools = Pools().with_changes(
        {"a": PoolMember(make_worker("a"), (LoadedModel("m0"),)), "b": PoolMember(make_worker("b"))}
    )
    pool = pools.pool(key)
    assert (
        pools.with_changes({"b": PoolMember(pools.members["b"].worker, (LoadedModel("m1"),))}).pool(key)
        is pool
    )


def test_load_is_the_sum_of_own_and_peer_load() -> None:
    first, second = make_worker("a"), make_worker("b")
    pools = Pools().with_changes({"a": PoolMember(first), "b": PoolMember(second)})
    first.add_load(1)
    pools.set_peer_loads(0.0, {"b": 5})
    assert (first.load, second.load, pools.own_loads()) == (1, 5, {"a": 1})
    second.add_load(1)
    first.add_load(-1)
    assert (first.load, second.load, pools.own_loads()) == (0, 6, {"b": 1})
    pools.set_peer_loads(0.0, {})
    assert (first.load, second.load) == (0, 1)
