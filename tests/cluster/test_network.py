"""The simulated network: what a caller gets when its callee or it itself ends."""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

import pytest

from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.members import Ballot
from finchladder.cluster.types.messages import Prepare, Reply, Request
from finchladder.lab.cluster.network import Host, Network
from finchladder.lab.cluster.virtual import run


class Call:
    """A call of a process that never answers."""

    def __init__(self) -> None:
        self.callee: list[asyncio.Task[Reply]] = []
        network = Network(Random(1))
        network.hosts["b:1"] = Host(self._silent, self._spawn)
        self.caller = asyncio.create_task(network.deliver("a:1", "b:1", Prepare(2, Ballot(1, "a"))))

    async def _silent(self, request: Request) -> Reply:
        await asyncio.Event().wait()
        raise AssertionError

    def _spawn(self, work: Coroutine[Any, Any, Reply]) -> asyncio.Task[Reply]:
        self.callee.append(asyncio.create_task(work))
        return self.callee[-1]


def test_a_caller_hears_that_its_callee_has_ended() -> None:
    async def work() -> None:
        call = Call()
        await asyncio.sleep(1.0)
        call.callee[0].cancel()
        with pytest.raises(PeerUnreachableError, match="connection reset"):
            await call.caller

    run(work())


def test_a_caller_that_ends_together_with_its_callee_is_cancelled() -> None:
    async def work() -> None:
        call = Call()
        await asyncio.sleep(1.0)
        call.callee[0].cancel()
        call.caller.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call.caller

    run(work())
