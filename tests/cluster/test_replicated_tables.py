"""Tests of merging, version vectors and expiry in the replicated tables."""

from collections.abc import Mapping

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.sessions.stamp_log import COMPACTION_SLACK
from finchladder.cluster.types.workers import (
    PlacementRecord,
    SessionPhase,
    Stamp,
    StampedPlacement,
    StampedWorker,
    WorkerRecord,
)

NODES = ("n1", "n2", "n3", "reader")


def _scan(records: Mapping[str, StampedWorker | StampedPlacement], vector: Mapping[str, int]) -> set[str]:
    """Finds the records above a vector by a scan of all records, to verify the stamp log."""
    return {key for key, r in records.items() if r.stamp.counter > vector.get(r.stamp.origin, 0)}


class Replication(RuleBasedStateMachine):
    """Checks that all tables are equal after writers stamp records and all processes pull from each other."""

    @initialize()
    def begin(self) -> None:
        self.tables = {name: ReplicatedTables(name) for name in NODES}
        self.newest: dict[str, tuple[bool, int, bool]] = {}
        self.ranks: dict[tuple[str, str], tuple[bool, int, bool]] = {}

    @rule(
        node=st.sampled_from(NODES[:3]),
        worker=st.sampled_from("abc"),
        sequence=st.integers(0, 20),
        phase=st.sampled_from(SessionPhase),
    )
    def write(self, node: str, worker: str, sequence: int, phase: SessionPhase) -> None:
        record = WorkerRecord(worker, "s", "a:1", "z", 1, phase, sequence, node)
        if self.tables[node].put_worker(record):
            self.newest[worker] = max(self.newest.get(worker, record.rank()), record.rank())

    @rule(node=st.sampled_from(NODES[:3]), token=st.integers(1, 3), serial=st.integers(1, 9))
    def put_placement(self, node: str, token: int, serial: int) -> None:
        self.tables[node].put_placement(PlacementRecord("a", token, serial, ()))

    @rule(reader=st.sampled_from(NODES), source=st.sampled_from(NODES))
    def pull(self, reader: str, source: str) -> None:
        own, other = self.tables[reader], self.tables[source]
        workers, placements = other.records_after(own.vector)
        assert {w.record.instance for w in workers} == _scan(other.workers, own.vector)
        assert {p.record.instance for p in placements} == _scan(other.placements, own.vector)
        own.merge(workers, placements)
        own.advance_vector(other.vector)
        assert not other.is_ahead(own.vector)

    @invariant()
    def no_rank_decreases(self) -> None:
        for name, tables in getattr(self, "tables", {}).items():
            for worker, stamped in tables.workers.items():
                rank = stamped.record.rank()
                assert rank >= self.ranks.get((name, worker), rank)
                self.ranks[name, worker] = rank

    def teardown(self) -> None:
        for _ in range(2):
            for reader in getattr(self, "tables", {}):
                for source in self.tables:
                    self.pull(reader, source)
        for tables in getattr(self, "tables", {}).values():
            assert {w: s.record.rank() for w, s in tables.workers.items()} == self.newest


TestReplication = Replication.TestCase
TestReplication.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


def test_a_worker_record_survives_encoding() -> None:
    record = WorkerRecord("i", "s", "a:1", "z", 1, SessionPhase.LOST, 3, "o")
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(record), type=WorkerRecord) == record


def test_the_stamp_log_does_not_grow_with_writes_to_the_same_records() -> None:
    tables = ReplicatedTables("n")
    for sequence in range(2000):
        tables.put_worker(WorkerRecord("i", "s", "a:1", "z", 1, SessionPhase.READY, sequence, "n"))
    assert sum(len(entries) for entries in tables._worker_log._entries.values()) <= 2 * COMPACTION_SLACK
    assert [w.record.sequence for w in tables.records_after({"n": 1990})[0]] == [1999]


def exchange(one: ReplicatedTables, other: ReplicatedTables) -> None:
    """Lets both processes pull from each other."""
    for reader, source in ((one, other), (other, one)):
        reader.merge(*source.records_after(reader.vector))
        reader.advance_vector(source.advertised_vector())


def worker(instance: str, origin: str, phase: SessionPhase = SessionPhase.READY) -> WorkerRecord:
    return WorkerRecord(instance, "s", "a:1", "z", 1, phase, 1, origin)


def test_vectors_do_not_grow_with_incarnations_of_control_processes() -> None:
    """Each of 100 incarnations stamps a worker that the next incarnation takes over."""
    long_lived, now = ReplicatedTables("core-2/1"), 0.0
    for incarnation in range(100):
        other = ReplicatedTables(f"core-1/{incarnation}")
        other.put_worker(msgspec.structs.replace(worker("i-1", other.origin), sequence=incarnation))
        for _ in range(4):
            exchange(long_lived, other)
            now += 5.0
            long_lived.expire_origins(now)
            other.expire_origins(now)
        assert not long_lived.is_ahead(other.vector)
        assert not other.is_ahead(long_lived.vector)
    assert len(long_lived.vector) <= 6
    assert long_lived.workers["i-1"].record.sequence == 99


def test_an_origin_remains_advertised_while_a_record_carries_its_stamp() -> None:
    tables = ReplicatedTables("core-2/1")
    tables.merge((StampedWorker(Stamp("core-1/1", 7), worker("i-1", "core-1/1")),), ())
    tables.advance_vector({"core-1/1": 7, "core-3/1": 4})
    for now in range(0, 200, 5):
        tables.expire_origins(float(now))
    assert tables.advertised_vector() == tables.vector == {"core-1/1": 7}


def test_origins_that_expire_at_different_times_are_not_replicated_back_and_forth() -> None:
    one, other = ReplicatedTables("a"), ReplicatedTables("b")
    one.advance_vector({"gone": 5})
    for step in range(60):
        now = 5.0 * step
        exchange(one, other)
        one.expire_origins(now)
        other.expire_origins(now + 17.0)
    assert "gone" not in one.vector
    assert "gone" not in other.vector


def test_a_worker_that_recovered_does_not_expire_because_of_its_earlier_loss() -> None:
    tables = ReplicatedTables("a")
    tables.put_worker(worker("i-1", "a", SessionPhase.LOST))
    assert tables.expire_ended_workers(0.0) == []
    tables.put_worker(msgspec.structs.replace(worker("i-1", "a"), sequence=2))
    assert tables.expire_ended_workers(100.0) == []
    tables.put_worker(msgspec.structs.replace(worker("i-1", "a", SessionPhase.LOST), sequence=3))
    assert tables.expire_ended_workers(101.0) == []
    assert tables.expire_ended_workers(170.0) == ["i-1"]
    assert not tables.workers
