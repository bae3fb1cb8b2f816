"""Choice of the control processes that a dispatcher long-polls and polls, in virtual time."""

import asyncio
from collections import Counter
from random import Random
from typing import cast

import pytest
from attrs import define, field

from finchladder.cluster.process import update_sources
from finchladder.cluster.process.contact_timeouts import ContactTimeouts
from finchladder.cluster.process.seed_list import SeedList
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.process.update_puller import UpdatePuller
from finchladder.cluster.process.update_sources import UpdateSources
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.members import Member, View
from finchladder.cluster.types.messages import PullUpdates, Reply, Request, Update
from finchladder.lab.cluster.virtual import run

CORES = 5
MEMBERS = tuple(Member(f"core-{n}", f"disk-{n}", f"z{n}", f"core-{n}:1", f"core-{n}:2") for n in range(CORES))
VIEW = View(1, MEMBERS, MEMBERS[:3], 3)


TIMEOUTS = ContactTimeouts(3.0)


@define
class Cores:
    """Control processes; some are unreachable for the dispatcher or cut off from the other ones."""

    unreachable: set[str] = field(factory=set)
    unconfirmed: set[str] = field(factory=set)
    without_quorum: set[str] = field(factory=set)
    calls: Counter[str] = field(factory=Counter)
    long_polls: Counter[str] = field(factory=Counter)

    async def call(self, address: str, request: Request, timeout_s: float) -> Reply:
        assert isinstance(request, PullUpdates)
        self.calls[address] += 1
        self.long_polls[address] += request.wait_ms > 0
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

    def reset_counts(self) -> None:
        self.calls.clear()
        self.long_polls.clear()


def new_puller(cores: Cores, tasks: Tasks) -> UpdatePuller:
    sources = UpdateSources(
        name="edge-1",
        is_dispatcher=True,
        own_address="edge-1:1",
        zone="z2",
        seeds=SeedList(("core-0:1",)),
        timeouts=TIMEOUTS,
    )
    return UpdatePuller(
        tables=ReplicatedTables("edge-1/1"),
        peers=cores,
        tasks=tasks,
        random=Random(1),
        sources=sources,
        configuration_version=lambda: 0,
        on_update=lambda update, changed: None,
    )


async def started_puller(cores: Cores) -> UpdatePuller:
    """Returns the puller of a dispatcher that has run for 10 s."""
    tasks = Tasks()
    puller = new_puller(cores, tasks)
    tasks.repeat(puller.run, "sources")
    await asyncio.sleep(10.0)
    cores.reset_counts()
    return puller


def test_the_log_says_when_no_source_replies_and_when_one_does_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(update_sources, "event", lambda kind, **fields: events.append((kind, fields)))

    async def work() -> None:
        cores = Cores()
        await started_puller(cores)
        cores.unreachable.update(member.peer_address for member in MEMBERS)
        await asyncio.sleep(10.0)
        cores.unreachable.clear()
        await asyncio.sleep(3.0)

    run(work())
    kinds = [kind for kind, _ in events]
    primaries = [fields["primary"] for kind, fields in events if kind == "updates.primary_changed"]
    assert kinds.count("updates.contact_lost") == kinds.count("updates.contact_restored") == 1
    lost, restored = dict(events)["updates.contact_lost"], dict(events)["updates.contact_restored"]
    assert set(cast(list[str], lost["sources"])) == {member.peer_address for member in MEMBERS}
    assert 10.0 < cast(float, restored["silent_s"]) < 13.0
    assert "" in primaries and primaries[-1] == "core-2:1"


def test_a_dispatcher_long_polls_in_its_own_zone_and_polls_the_others_in_turn() -> None:
    async def work() -> None:
        cores = Cores()
        puller = await started_puller(cores)
        await asyncio.sleep(30.0)
        assert puller.sources.primary == "core-2:1"
        assert cores.long_polls.total() == cores.long_polls["core-2:1"] >= 29
        polls = cores.calls.total() - cores.calls["core-2:1"]
        assert 0.85 * 30.0 / TIMEOUTS.poll_interval_s < polls < 1.15 * 30.0 / TIMEOUTS.poll_interval_s, (
            "whatever the number of cores"
        )
        assert min(cores.calls[m.peer_address] for m in MEMBERS) >= 12, "each of them"

    run(work())


def test_a_dispatcher_replaces_a_primary_that_the_chain_does_not_confirm() -> None:
    async def work() -> None:
        cores = Cores()
        puller = await started_puller(cores)
        cores.unconfirmed.add("core-2:1")
        await asyncio.sleep(1000 * TIMEOUTS.long_poll_s / 1000 + 0.5)
        assert puller.sources.primary not in ("", "core-2:1")
        assert puller.sources.primary in {m.peer_address for m in MEMBERS}

    run(work())


def test_a_dispatcher_stays_in_its_zone_while_no_core_is_confirmed() -> None:
    async def work() -> None:
        cores = Cores()
        cores.unconfirmed.update(m.peer_address for m in MEMBERS)
        puller = await started_puller(cores)
        assert puller.sources.primary == "core-2:1"

    run(work())


def test_a_dispatcher_chooses_another_primary_when_its_own_fails() -> None:
    async def work() -> None:
        cores = Cores()
        puller = await started_puller(cores)
        cores.unreachable.add("core-2:1")
        await asyncio.sleep(1000 * TIMEOUTS.long_poll_s / 1000 + 2.5)
        assert puller.sources.primary not in ("", "core-2:1")
        cores.reset_counts()
        await asyncio.sleep(10.0)
        assert cores.long_polls[puller.sources.primary] >= 9, "the new primary is long-polled"

    run(work())


ALL = {m.peer_address for m in MEMBERS}


@pytest.mark.parametrize(
    ("unconfirmed", "without_quorum", "unreachable", "is_lost"),
    [
        (set(), set(), set(), False),
        (ALL, set(), set(), False),
        (ALL, {"core-2:1"}, set(), True),
        (ALL, {"core-4:1"}, {"core-2:1"}, True),
        (ALL - {"core-3:1"}, {"core-2:1"}, set(), False),
        (ALL, {"core-2:1"}, ALL, False),
    ],
    ids=["healthy", "none confirmed", "lost", "lost, primary unreachable", "one confirmed", "none reachable"],
)
def test_a_dispatcher_detects_that_most_of_the_core_runs_without_a_quorum(
    unconfirmed: set[str], without_quorum: set[str], unreachable: set[str], is_lost: bool
) -> None:
    async def work() -> None:
        cores = Cores()
        puller = await started_puller(cores)
        assert not puller.sources.has_core_lost_quorum()
        cores.unconfirmed, cores.without_quorum, cores.unreachable = unconfirmed, without_quorum, unreachable
        await asyncio.sleep(6.0)
        assert puller.sources.has_core_lost_quorum() is is_lost
        cores.unconfirmed, cores.without_quorum, cores.unreachable = set(), set(), set()
        await asyncio.sleep(3.0)
        assert not puller.sources.has_core_lost_quorum()

    run(work())


def test_a_quorum_counts_as_lost_only_after_a_timeout() -> None:
    async def work() -> None:
        cores = Cores(unconfirmed=set(ALL))
        puller = await started_puller(cores)
        cores.without_quorum = set(ALL)
        await asyncio.sleep(0.9)
        assert not puller.sources.has_core_lost_quorum()
        await asyncio.sleep(2.0)
        assert puller.sources.has_core_lost_quorum()

    run(work())


@pytest.mark.parametrize(
    ("unconfirmed", "unreachable", "is_confirmed"),
    [(set(), set(), True), ({"core-2:1"}, set(), False), (set(), {"core-2:1"}, False)],
    ids=["confirmed", "unconfirmed", "unreachable"],
)
def test_a_single_pull_returns_whether_the_primary_is_confirmed(
    unconfirmed: set[str], unreachable: set[str], is_confirmed: bool
) -> None:
    async def work() -> None:
        cores = Cores()
        puller = await started_puller(cores)
        cores.unconfirmed, cores.unreachable = unconfirmed, unreachable
        began_at = asyncio.get_running_loop().time()
        assert await puller.pull_once(0.2) is is_confirmed
        assert asyncio.get_running_loop().time() - began_at <= 0.2
        assert puller.sources.primary == "core-2:1"

    run(work())


def test_a_single_pull_without_a_primary_returns_false() -> None:
    async def work() -> None:
        cores = Cores()
        assert not await new_puller(cores, Tasks()).pull_once(0.2)
        assert not cores.calls

    run(work())
