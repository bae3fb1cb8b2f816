"""Where a dispatcher pulls from: one primary, the others in turn, at virtual time."""

import asyncio
from collections import Counter
from random import Random

import pytest
from attrs import define, field

from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.process.update_puller import LONG_POLL_MS, POLL_INTERVAL_S, UpdatePuller
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.members import Member, View
from finchladder.cluster.types.messages import PullUpdates, Reply, Request, Update
from finchladder.lab.cluster.virtual import run

CORES = 5
MEMBERS = tuple(Member(f"core-{n}", f"disk-{n}", f"z{n}", f"core-{n}:1", f"core-{n}:2") for n in range(CORES))
VIEW = View(1, MEMBERS, MEMBERS[:3], 3)


@define
class Cores:
    """Control processes that answer pulls; some are cut off from the dispatcher or from the other cores."""

    unreachable: set[str] = field(factory=set)
    unconfirmed: set[str] = field(factory=set)
    without_quorum: set[str] = field(factory=set)
    calls: Counter[str] = field(factory=Counter)
    waits: Counter[str] = field(factory=Counter)

    async def call(self, address: str, request: Request, timeout_s: float) -> Reply:
        assert isinstance(request, PullUpdates)
        self.calls[address] += 1
        self.waits[address] += request.wait_ms > 0
        if address in self.unreachable:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachableError("PullUpdates", address, "no answer")
        await asyncio.sleep(request.wait_ms / 1000)
        view = VIEW if request.view < VIEW.number else None
        return Update(
            origin=address,
            vector={},
            view=view,
            workers=(),
            placements=(),
            version=0,
            document=b"",
            knows_all_workers=False,
            is_full=False,
            placer="",
            dispatchers=1,
            chain_confirmed=address not in self.unconfirmed,
            quorum_lost=address in self.without_quorum,
        )

    def forget(self) -> None:
        self.calls.clear()
        self.waits.clear()


def puller(cores: Cores, tasks: Tasks) -> UpdatePuller:
    return UpdatePuller(
        name="edge-1",
        tables=ReplicatedTables("edge-1/1"),
        peers=cores,
        tasks=tasks,
        random=Random(1),
        is_dispatcher=True,
        own_address="edge-1:1",
        zone="z2",
        seeds=("core-0:1",),
        configuration_version=lambda: 0,
        on_update=lambda delta, changed: None,
    )


async def started(cores: Cores) -> UpdatePuller:
    """A dispatcher that has pulled for a while."""
    tasks = Tasks()
    it = puller(cores, tasks)
    tasks.repeat(it.run, "sources")
    await asyncio.sleep(10.0)
    cores.forget()
    return it


def test_a_dispatcher_waits_in_its_own_zone_and_looks_at_the_others_in_turn() -> None:
    async def work() -> None:
        cores = Cores()
        it = await started(cores)
        await asyncio.sleep(30.0)
        assert it.primary == "core-2:1"
        assert cores.waits.total() == cores.waits["core-2:1"] >= 29
        looks = cores.calls.total() - cores.calls["core-2:1"]
        assert 0.85 * 30.0 / POLL_INTERVAL_S < looks < 1.15 * 30.0 / POLL_INTERVAL_S, (
            "whatever the number of cores"
        )
        assert min(cores.calls[m.peer_address] for m in MEMBERS) >= 12, "each of them"

    run(work())


def test_a_dispatcher_leaves_a_primary_that_the_chain_does_not_confirm() -> None:
    async def work() -> None:
        cores = Cores()
        it = await started(cores)
        cores.unconfirmed.add("core-2:1")
        await asyncio.sleep(LONG_POLL_MS / 1000 + 0.5)
        assert it.primary not in ("", "core-2:1")
        assert it.primary in {m.peer_address for m in MEMBERS}

    run(work())


def test_a_dispatcher_stays_in_its_zone_while_no_core_is_confirmed() -> None:
    async def work() -> None:
        cores = Cores()
        cores.unconfirmed.update(m.peer_address for m in MEMBERS)
        it = await started(cores)
        assert it.primary == "core-2:1"

    run(work())


def test_a_dispatcher_looks_at_all_others_at_once_when_its_primary_fails() -> None:
    async def work() -> None:
        cores = Cores()
        it = await started(cores)
        cores.unreachable.add("core-2:1")
        await asyncio.sleep(LONG_POLL_MS / 1000 + 2.5)
        assert it.primary not in ("", "core-2:1")
        cores.forget()
        await asyncio.sleep(10.0)
        assert cores.waits[it.primary] >= 9, "the one that it chose is waited at"

    run(work())


ALL = {m.peer_address for m in MEMBERS}


@pytest.mark.parametrize(
    ("unconfirmed", "without_quorum", "unreachable", "is_doubtful"),
    [
        (set(), set(), set(), False),
        (ALL, set(), set(), False),
        (ALL, {"core-2:1"}, set(), True),
        (ALL, {"core-4:1"}, {"core-2:1"}, True),
        (ALL - {"core-3:1"}, {"core-2:1"}, set(), False),
        (ALL, {"core-2:1"}, ALL, False),
    ],
    ids=["calm", "nobody confirms", "lost", "lost, its primary silent", "one confirms", "nobody answers"],
)
def test_a_dispatcher_is_in_doubt_while_most_of_the_core_runs_without_a_quorum(
    unconfirmed: set[str], without_quorum: set[str], unreachable: set[str], is_doubtful: bool
) -> None:
    async def work() -> None:
        cores = Cores()
        it = await started(cores)
        assert not it.has_core_lost_quorum()
        cores.unconfirmed, cores.without_quorum, cores.unreachable = unconfirmed, without_quorum, unreachable
        await asyncio.sleep(6.0)
        assert it.has_core_lost_quorum() is is_doubtful
        cores.unconfirmed, cores.without_quorum, cores.unreachable = set(), set(), set()
        await asyncio.sleep(3.0)
        assert not it.has_core_lost_quorum()

    run(work())


def test_a_quorum_that_is_missing_for_a_moment_puts_nobody_in_doubt() -> None:
    async def work() -> None:
        cores = Cores(unconfirmed=set(ALL))
        it = await started(cores)
        cores.without_quorum = set(ALL)
        await asyncio.sleep(0.9)
        assert not it.has_core_lost_quorum()
        await asyncio.sleep(2.0)
        assert it.has_core_lost_quorum()

    run(work())
