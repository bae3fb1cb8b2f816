"""The replicated tables, and sessions of workers."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from finchladder.cluster.process.sessions_service import SessionsService
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.sessions.stamp_log import COMPACTION_SLACK
from finchladder.cluster.types.members import View
from finchladder.cluster.types.messages import PullUpdates, Update
from finchladder.cluster.types.operations import ControlState, WorkerRetirement
from finchladder.cluster.types.worker_api import Heartbeat
from finchladder.cluster.types.workers import (
    PlacementRecord,
    SessionPhase,
    Stamp,
    StampedPlacement,
    StampedWorker,
    WorkerRecord,
)
from finchladder.lab.cluster.virtual import run
from tests.cluster.test_agreement import member

NODES = ("n1", "n2", "n3", "reader")


def _unknown(records: Mapping[str, StampedWorker | StampedPlacement], vector: Mapping[str, int]) -> set[str]:
    """What a look at all records finds above a vector: the oracle for the log of stamps."""
    return {key for key, r in records.items() if r.stamp.counter > vector.get(r.stamp.origin, 0)}


class Replication(RuleBasedStateMachine):
    """Writers stamp records, everybody pulls from anybody; after enough pulls all know the same."""

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
    def place(self, node: str, token: int, serial: int) -> None:
        self.tables[node].put_placement(PlacementRecord("a", token, serial, ()))

    @rule(reader=st.sampled_from(NODES), source=st.sampled_from(NODES))
    def pull(self, reader: str, source: str) -> None:
        own, other = self.tables[reader], self.tables[source]
        workers, placements = other.records_after(own.vector)
        assert {w.record.instance for w in workers} == _unknown(other.workers, own.vector)
        assert {p.record.instance for p in placements} == _unknown(other.placements, own.vector)
        own.merge(workers, placements)
        own.advance_vector(other.vector)
        assert not other.is_ahead(own.vector)

    @invariant()
    def no_record_goes_back(self) -> None:
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


# --- sessions at virtual time


def service(
    name: str = "core-1",
    *,
    confirmed: bool = True,
    answering: tuple[str, ...] = (),
    voters: tuple[str, ...] = ("core-1",),
    stores: bool = True,
) -> SessionsService:
    """`answering`: instances that say that they are there; `voters`: names of the core's voters; `stores`:
    the chain stores what ends.
    """
    members = tuple(member(voter) for voter in voters)
    view = View(1, members, members, len(members))

    async def is_there(address: str, instance: str) -> bool:
        return instance in answering

    async def record_end(end: WorkerRetirement) -> bool:
        return stores

    return SessionsService(
        name,
        ReplicatedTables(f"{name}/1"),
        1.2,
        ControlState,
        lambda: view,
        lambda: "",
        lambda: confirmed,
        is_there,
        record_end,
        lambda: False,
    )


def heartbeat(sequence: int, state: str = "ready") -> Heartbeat:
    return Heartbeat(service="llm", address="10.0.0.9:80", sequence=sequence, state=state)


def pull(vector: dict[str, int], wait_ms: int = 0) -> PullUpdates:
    return PullUpdates("edge-1", vector, 0, 1, wait_ms, True)


def phase_of(sessions: SessionsService, instance: str = "i-1") -> SessionPhase:
    return sessions.tables.workers[instance].record.phase


def played(work: Callable[[], Awaitable[Any]]) -> Any:
    async def main() -> Any:
        return await work()

    return run(main())


def test_a_heartbeat_that_tells_nothing_new_is_not_passed_on() -> None:
    async def work() -> tuple[int, int]:
        sessions = service()
        await sessions.on_heartbeat("i-1", heartbeat(1))
        first = sessions.tables.counter
        await sessions.on_heartbeat("i-1", heartbeat(2))
        return first, sessions.tables.counter

    assert played(work) == (1, 1)


def test_a_late_heartbeat_does_not_undo_a_drain() -> None:
    async def work() -> SessionPhase:
        sessions = service()
        await sessions.on_heartbeat("i-1", heartbeat(5, "draining"))
        assert await sessions.on_heartbeat("i-1", heartbeat(4))
        return phase_of(sessions)

    assert played(work) is SessionPhase.DRAINING


def test_a_drain_is_acknowledged_once_a_reader_has_it_and_not_without() -> None:
    async def work() -> tuple[bool, bool]:
        alone = service()
        unheard = await alone.on_heartbeat("i-1", heartbeat(1, "draining"))
        sessions = service()
        await sessions.on_heartbeat("i-1", heartbeat(1))

        async def reader() -> None:
            vector: dict[str, int] = {}
            while True:
                delta: Update = await sessions.on_pull(pull(vector, 1000))
                vector = dict(delta.vector)

        task = asyncio.create_task(reader())
        await asyncio.sleep(0.01)
        heard = await sessions.on_heartbeat("i-1", heartbeat(2, "draining"))
        task.cancel()
        return unheard, heard

    assert played(work) == (False, True)


async def follow(sessions: SessionsService, name: str, is_edge: bool) -> None:
    """A reader that waits for changes again and again."""
    vector: dict[str, int] = {}
    while True:
        delta = await sessions.on_pull(PullUpdates(name, vector, 0, 1, 1000, is_edge))
        vector = dict(delta.vector)


def acknowledged(
    readers: dict[str, bool],
    calls: Callable[[SessionsService], Awaitable[list[bool]]],
    *,
    stores: bool = True,
) -> list[bool]:
    """Answers to calls at one of three voters, with those readers; by name, whether it is a dispatcher.
    `stores`: the chain stores what ends.
    """

    async def work() -> list[bool]:
        sessions = service(voters=("core-1", "core-2", "core-3"), stores=stores)
        tasks = [asyncio.create_task(follow(sessions, name, edge)) for name, edge in readers.items()]
        await asyncio.sleep(0.01)
        answers = await calls(sessions)
        for task in tasks:
            task.cancel()
        return answers

    answers: list[bool] = played(work)
    return answers


async def drain_again_and_again(sessions: SessionsService) -> list[bool]:
    return [await sessions.on_heartbeat("i-1", heartbeat(number, "draining")) for number in (1, 2, 3)]


async def leave_again_and_again(sessions: SessionsService) -> list[bool]:
    return [await sessions.on_leave("i-1") for _ in range(3)]


@pytest.mark.parametrize("calls", [drain_again_and_again, leave_again_and_again])
@pytest.mark.parametrize(
    ("readers", "answer"),
    [
        ({}, False),
        ({"edge-1": True, "edge-2": True}, False),
        ({"edge-1": True, "core-9": False}, False),
        ({"core-2": False}, True),
        ({"edge-1": True, "core-3": False}, True),
    ],
)
def test_an_end_is_acknowledged_only_by_one_from_whom_most_voters_have_it(
    calls: Callable[[SessionsService], Awaitable[list[bool]]], readers: dict[str, bool], answer: bool
) -> None:
    """A control process that is cut off with some dispatchers must not: the others would go on sending."""
    assert acknowledged(readers, calls) == [answer] * 3


@pytest.mark.parametrize("calls", [drain_again_and_again, leave_again_and_again])
def test_an_end_that_the_chain_does_not_store_is_not_acknowledged(
    calls: Callable[[SessionsService], Awaitable[list[bool]]],
) -> None:
    """All core machines may lose power in the next moment, and their tables with it."""
    readers = {"core-2": False, "core-3": False, "edge-1": True}
    assert acknowledged(readers, calls, stores=False) == [False] * 3


@pytest.mark.parametrize(
    ("known", "end", "expected"),
    [
        (None, WorkerRetirement("i-1", 7, False), SessionPhase.DEREGISTERED),
        (None, WorkerRetirement("i-1", 7, True), SessionPhase.DEREGISTERED),
        (SessionPhase.READY, WorkerRetirement("i-1", 7, False), SessionPhase.DRAINING),
        (SessionPhase.READY, WorkerRetirement("i-1", 4, False), SessionPhase.READY),
        (SessionPhase.READY, WorkerRetirement("i-1", 4, True), SessionPhase.DEREGISTERED),
        (SessionPhase.DRAINING, WorkerRetirement("i-1", 7, True), SessionPhase.DEREGISTERED),
        (SessionPhase.LOST, WorkerRetirement("i-1", 7, False), SessionPhase.LOST),
        (SessionPhase.DEREGISTERED, WorkerRetirement("i-1", 7, False), SessionPhase.DEREGISTERED),
    ],
)
def test_what_the_chain_has_stored_takes_a_worker_out_of_use(
    known: SessionPhase | None, end: WorkerRetirement, expected: SessionPhase
) -> None:
    sessions = service()
    if known is not None:
        sessions.tables.put_worker(WorkerRecord("i-1", "s", "a:1", "z", 1, known, 5, "other"))
    sessions.take_ended((end,))
    assert phase_of(sessions) is expected


def test_what_the_chain_has_stored_is_told_once() -> None:
    sessions = service()
    sessions.take_ended((WorkerRetirement("i-1", 7, True),))
    sessions.tables.remove("i-1")
    sessions.take_ended((WorkerRetirement("i-1", 7, True), WorkerRetirement("i-2", 1, False)))
    assert set(sessions.tables.workers) == {"i-2"}


def test_a_late_call_of_a_drain_that_nobody_was_told_of_is_not_acknowledged() -> None:
    async def calls(sessions: SessionsService) -> list[bool]:
        return [
            await sessions.on_heartbeat("i-1", heartbeat(5, "draining")),
            await sessions.on_heartbeat("i-1", heartbeat(4, "draining")),
        ]

    assert acknowledged({}, calls) == [False, False]


def test_the_end_of_a_worker_that_is_unknown_here_is_told_to_those_who_may_know_it() -> None:
    async def work() -> SessionPhase:
        cut_off, other = service("core-1"), service("core-2")
        await other.on_heartbeat("i-1", heartbeat(7))
        await cut_off.on_leave("i-1")
        other.tables.merge(*cut_off.tables.records_after({}))
        return phase_of(other)

    assert played(work) is SessionPhase.DEREGISTERED


def test_a_silent_worker_is_lost_and_comes_back_with_its_next_call() -> None:
    async def work() -> list[SessionPhase]:
        sessions = service()
        await sessions.on_heartbeat("i-1", heartbeat(1))
        seen = []
        await asyncio.sleep(3.0)
        sessions.expire()
        seen.append(phase_of(sessions))
        await asyncio.sleep(1.0)
        sessions.expire()
        seen.append(phase_of(sessions))
        await sessions.on_heartbeat("i-1", heartbeat(2))
        seen.append(phase_of(sessions))
        return seen

    assert played(work) == [SessionPhase.READY, SessionPhase.LOST, SessionPhase.READY]


def test_what_is_gone_stays_gone() -> None:
    async def work() -> SessionPhase:
        sessions = service()
        await sessions.on_heartbeat("i-1", heartbeat(1))
        await sessions.on_leave("i-1")
        await sessions.on_heartbeat("i-1", heartbeat(2))
        return phase_of(sessions)

    assert played(work) is SessionPhase.DEREGISTERED


def judged(after_s: tuple[float, ...], **of_the_judge: Any) -> list[SessionPhase]:
    """How a core holds a worker of another one from which it hears nothing."""

    async def work() -> list[SessionPhase]:
        owner, other = service("core-1"), service("core-2", **of_the_judge)
        await owner.on_heartbeat("i-1", heartbeat(1))
        other.tables.merge(*owner.tables.records_after({}))
        await other.judge_orphans()
        seen = []
        for pause in after_s:
            await asyncio.sleep(pause)
            other.expire()
            await other.judge_orphans()
            seen.append(phase_of(other))
        return seen

    found: list[SessionPhase] = played(work)
    return found


def test_a_worker_of_an_owner_that_is_silent_is_judged_by_the_others_only_after_a_while() -> None:
    assert judged((6.0, 2.0)) == [SessionPhase.READY, SessionPhase.LOST]


def test_a_worker_that_answers_itself_is_kept_while_its_owner_is_cut_off() -> None:
    assert judged((8.0,) * 5, answering=("i-1",)) == [SessionPhase.READY] * 5
    assert judged((8.0,) * 2, answering=("i-2",)) == [SessionPhase.LOST] * 2


def test_a_core_that_is_cut_off_from_the_chain_judges_nobody() -> None:
    assert judged((8.0, 8.0), confirmed=False) == [SessionPhase.READY] * 2


def test_records_survive_the_wire() -> None:
    record = WorkerRecord("i", "s", "a:1", "z", 1, SessionPhase.LOST, 3, "o")
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(record), type=WorkerRecord) == record


def test_the_log_of_stamps_does_not_grow_with_writes_to_the_same_records() -> None:
    tables = ReplicatedTables("n")
    for sequence in range(2000):
        tables.put_worker(WorkerRecord("i", "s", "a:1", "z", 1, SessionPhase.READY, sequence, "n"))
    assert sum(len(entries) for entries in tables._worker_log._entries.values()) <= 2 * COMPACTION_SLACK
    assert [w.record.sequence for w in tables.records_after({"n": 1990})[0]] == [1999]


# --- what is forgotten


def exchange(one: ReplicatedTables, other: ReplicatedTables) -> None:
    """Each pulls from the other, as core processes do."""
    for reader, source in ((one, other), (other, one)):
        reader.merge(*source.records_after(reader.vector))
        reader.advance_vector(source.advertised_vector())


def worker(instance: str, origin: str, phase: SessionPhase = SessionPhase.READY) -> WorkerRecord:
    return WorkerRecord(instance, "s", "a:1", "z", 1, phase, 1, origin)


def test_vectors_do_not_grow_with_lives_of_core_processes() -> None:
    """100 lives, each of which stamps a worker that the next one takes over."""
    steady_one, now = ReplicatedTables("core-2/1"), 0.0
    for life in range(100):
        other = ReplicatedTables(f"core-1/{life}")
        other.put_worker(msgspec.structs.replace(worker("i-1", other.origin), sequence=life))
        for _ in range(4):
            exchange(steady_one, other)
            now += 5.0
            steady_one.expire_origins(now)
            other.expire_origins(now)
        assert not steady_one.is_ahead(other.vector) and not other.is_ahead(steady_one.vector)
    assert len(steady_one.vector) <= 6
    assert steady_one.workers["i-1"].record.sequence == 99


def test_an_origin_whose_stamp_a_record_carries_is_told_however_quiet_it_is() -> None:
    tables = ReplicatedTables("core-2/1")
    tables.merge((StampedWorker(Stamp("core-1/1", 7), worker("i-1", "core-1/1")),), ())
    tables.advance_vector({"core-1/1": 7, "core-3/1": 4})
    for now in range(0, 200, 5):
        tables.expire_origins(float(now))
    assert tables.advertised_vector() == tables.vector == {"core-1/1": 7}


def test_two_that_forget_at_different_times_do_not_teach_each_other_for_ever() -> None:
    one, other = ReplicatedTables("a"), ReplicatedTables("b")
    one.advance_vector({"gone": 5})
    for step in range(60):
        now = 5.0 * step
        exchange(one, other)
        one.expire_origins(now)
        other.expire_origins(now + 17.0)
    assert "gone" not in one.vector and "gone" not in other.vector


def test_a_worker_that_came_back_is_not_forgotten_for_its_earlier_end() -> None:
    tables = ReplicatedTables("a")
    tables.put_worker(worker("i-1", "a", SessionPhase.LOST))
    assert tables.expire_ended_workers(0.0) == []
    tables.put_worker(msgspec.structs.replace(worker("i-1", "a"), sequence=2))
    assert tables.expire_ended_workers(100.0) == []
    tables.put_worker(msgspec.structs.replace(worker("i-1", "a", SessionPhase.LOST), sequence=3))
    assert tables.expire_ended_workers(101.0) == []
    assert tables.expire_ended_workers(170.0) == ["i-1"] and not tables.workers


def test_a_core_process_forgets_ends_readers_and_what_it_heard_of_workers() -> None:
    async def work() -> SessionsService:
        sessions = service()
        await sessions.on_heartbeat("i-1", heartbeat(1))
        await sessions.on_pull(pull({}))
        await sessions.on_leave("i-1")
        await sessions.on_pull(pull(dict(sessions.tables.vector), 1))
        assert await sessions.on_leave("i-1") and sessions.told
        for _ in range(30):
            await asyncio.sleep(5.0)
            sessions.expire()
        return sessions

    sessions = played(work)
    left = sessions.tables.workers, sessions.last_heartbeats, sessions.told, sessions.readers
    assert left == ({}, {}, set(), {})


def test_a_voter_that_was_not_heard_lately_does_not_count_as_having_an_end() -> None:
    """It may have ended since, and its tables with it."""

    async def work() -> bool:
        sessions = service(voters=("core-1", "core-2", "core-3"))
        await sessions.on_leave("i-1")
        vector = dict(sessions.tables.vector)
        await sessions.on_pull(PullUpdates("core-2", vector, 0, 1, 0, False))
        await asyncio.sleep(5.0)
        await sessions.on_pull(PullUpdates("edge-1", vector, 0, 1, 1, True))
        return await sessions.on_leave("i-1")

    assert not played(work)


# --- how often dispatchers are told


async def told_times(
    sessions: SessionsService, dispatchers: int, write: Callable[[int], Awaitable[Any]]
) -> int:
    """How many answers with news one dispatcher gets while something changes 100 times in 2 s."""
    for number in range(dispatchers - 1):
        await sessions.on_pull(msgspec.structs.replace(pull({}), sender=f"other-{number}"))
    answers = 0

    async def reader() -> None:
        nonlocal answers
        vector: dict[str, int] = {}
        while True:
            delta: Update = await sessions.on_pull(pull(vector, 1000))
            answers += bool(delta.workers)
            vector = dict(delta.vector)

    task = asyncio.create_task(reader())
    for number in range(100):
        await write(number)
        await asyncio.sleep(0.02)
    task.cancel()
    return answers


def test_changes_travel_together_to_many_dispatchers_and_at_once_to_few() -> None:
    async def times(dispatchers: int) -> int:
        sessions = service()
        return await told_times(
            sessions, dispatchers, lambda n: sessions.on_heartbeat(f"i-{n}", heartbeat(1))
        )

    few, many = played(lambda: times(6)), played(lambda: times(200))
    assert few == 100
    assert 2.0 / 0.2 <= many <= 2.0 / 0.2 + 2


def test_a_drain_is_told_at_once_to_many_dispatchers() -> None:
    async def ends(sessions: SessionsService, number: int) -> None:
        sessions.tables.put_worker(
            WorkerRecord(f"i-{number}", "s", "a:1", "z", 1, SessionPhase.DRAINING, 1, "core-1/1")
        )
        sessions.changed.fire()

    async def work() -> int:
        sessions = service()
        return await told_times(sessions, 200, lambda n: ends(sessions, n))

    assert played(work) == 100
