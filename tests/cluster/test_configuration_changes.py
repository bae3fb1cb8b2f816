"""Configuration changes during view changes, with three machines in virtual time."""

import asyncio
import json
from typing import Any

import pytest

from finchladder.cluster.process import configuration_changes
from finchladder.cluster.process.configuration_changes import ACCEPTED, CONFLICT, INVALID, OUTCOME_UNKNOWN
from finchladder.cluster.types.errors import ClusterError
from finchladder.lab.cluster.machine import Machine
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.world import World

RESPONSE_DEADLINE_S = 0.9
KEY = "secret-1"


def body(version: int) -> bytes:
    return json.dumps({"version": version, "routes": [], "services": [], "number": version}).encode()


async def submit_change(machine: Machine, base: int, version: int) -> int:
    assert machine.plane is not None
    outcome = await machine.plane.changes.submit(base, False, body(version), RESPONSE_DEADLINE_S)
    return outcome.status


async def start_confirmed_chain(world: World) -> list[Machine]:
    """Returns three machines with a confirmed chain, in the order of the chain."""
    for _ in range(3):
        world.start(world.add(True))
    await asyncio.sleep(4.0)
    machines = world.running()
    assert machines[0].plane is not None
    chain = machines[0].plane.agreement.view.chain
    return [world.machines[member.name] for member in chain]


def test_any_machine_accepts_a_change_and_a_repeat_is_accepted_by_any_other_after_later_ones() -> None:
    async def work() -> None:
        head, middle, tail = await start_confirmed_chain(World(1))
        assert await submit_change(tail, 0, 3) == ACCEPTED
        assert await submit_change(head, 3, 5) == ACCEPTED
        assert await submit_change(middle, 0, 3) == ACCEPTED
        assert await submit_change(middle, 0, 4) == CONFLICT
        assert await submit_change(tail, 5, 5) == INVALID

    run(work())


def test_a_replaced_head_rejects_no_change_because_of_its_outdated_state() -> None:
    """The head's disk rejects writes, so it does not learn the view that excludes it."""

    async def work() -> None:
        head, middle, _ = await start_confirmed_chain(World(2))
        assert await submit_change(middle, 0, 1) == ACCEPTED
        assert head.disk is not None
        assert head.plane is not None
        head.disk.refuses = True
        head.disk.last_write_failed = True
        await asyncio.sleep(3.0)
        assert head.plane.chain.is_head
        assert await submit_change(middle, 1, 2) == ACCEPTED
        for base, version in ((2, 3), (1, 2), (1, 1)):
            assert await submit_change(head, base, version) == OUTCOME_UNKNOWN

    run(work())


def test_a_tail_that_is_cut_off_serves_no_read() -> None:
    async def work() -> None:
        world = World(3)
        head, middle, tail = await start_confirmed_chain(world)
        assert await submit_change(head, 0, 1) == ACCEPTED
        for other in (head, middle):
            world.network.cut |= {(tail.address, other.address), (other.address, tail.address)}
        assert tail.plane is not None
        assert head.plane is not None
        with pytest.raises(ClusterError):
            await tail.plane.chain.read()
        await asyncio.sleep(3.0)
        assert await submit_change(head, 1, 2) == ACCEPTED
        assert (await head.plane.chain.read()).version == 2
        with pytest.raises(ClusterError):
            await tail.plane.chain.read()

    run(work())


def test_a_rejected_change_is_logged_once_at_the_head_without_a_key_and_a_retry_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(configuration_changes, "event", lambda kind, **fields: events.append((kind, fields)))
    shared = {
        **json.loads(body(4)),
        "tenants": [{"name": name, "api_keys": [KEY]} for name in ("north", "south")],
    }

    async def work() -> None:
        _, middle, tail = await start_confirmed_chain(World(4))
        assert middle.plane is not None
        assert await submit_change(middle, 0, 3) == ACCEPTED
        assert await submit_change(tail, 0, 3) == ACCEPTED
        assert await submit_change(tail, 0, 4) == CONFLICT
        invalid = await middle.plane.changes.submit(
            3, False, json.dumps(shared).encode(), RESPONSE_DEADLINE_S
        )
        assert invalid.status == INVALID

    run(work())
    assert [kind for kind, _ in events] == ["configuration.committed", *2 * ["configuration.rejected"]]
    assert [fields for kind, fields in events if kind == "configuration.rejected"] == [
        {
            "base": 0,
            "version": 3,
            "status": CONFLICT,
            "problem": "version 3 is in force, and the change is based on another one",
        },
        {"base": 3, "version": 3, "status": INVALID, "problem": "tenants north and south share an API key"},
    ]


def test_the_problem_of_a_rejected_change_is_logged_up_to_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    problems: list[str] = []
    monkeypatch.setattr(
        configuration_changes, "event", lambda kind, **fields: problems.append(fields["problem"])
    )
    route = {"name": "r" * 10_000, "host": "a", "path_prefix": "/", "service": "unknown"}
    change = {**json.loads(body(1)), "routes": [route]}

    async def work() -> None:
        head, _, _ = await start_confirmed_chain(World(5))
        assert head.plane is not None
        outcome = await head.plane.changes.submit(0, False, json.dumps(change).encode(), RESPONSE_DEADLINE_S)
        assert outcome.status == INVALID

    run(work())
    assert [len(problem) for problem in problems] == [configuration_changes.MAX_LOGGED_PROBLEM_CHARS]
