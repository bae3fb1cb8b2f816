"""A network at virtual time: delay, loss of requests and of replies, cuts of one or both directions."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from attrs import define, field

from finchladder.cluster.types.errors import ClusterError, PeerRefusedError, PeerUnreachableError
from finchladder.cluster.types.messages import (
    Failure,
    Reply,
    Request,
    encoder,
    reply_decoder,
    request_decoder,
)

DELAY_S = (0.0003, 0.004)
Handler = Callable[[Request], Awaitable[Reply]]
Spawner = Callable[[Coroutine[Any, Any, Reply]], "asyncio.Task[Reply]"]


@define
class Host:
    """A process that listens; its handlers run in tasks that end with it."""

    handler: Handler
    spawn: Spawner


@define
class Network:
    """All links. `cut` holds (from, to) pairs whose bytes do not arrive."""

    random: Random
    hosts: dict[str, Host] = field(factory=dict)
    cut: set[tuple[str, str]] = field(factory=set)
    loss: float = 0.0
    silent: set[str] = field(factory=set)  # without power: they refuse nothing, they say nothing

    async def _travel(self, source: str, target: str) -> bool:
        """False if the bytes do not arrive."""
        await asyncio.sleep(self.random.uniform(*DELAY_S))
        return (source, target) not in self.cut and self.random.random() >= self.loss

    async def deliver(self, source: str, target: str, request: Request) -> Reply | None:
        """The reply as it arrives at the caller; None: it hears nothing."""
        if not await self._travel(source, target) or target in self.silent:
            return None
        host = self.hosts.get(target)
        if host is None:
            raise PeerUnreachableError(type(request).__name__, target, "connection refused")
        message = request_decoder.decode(encoder.encode(request))
        task = host.spawn(self._handle(host, message))
        try:
            reply = await asyncio.shield(task)
        except asyncio.CancelledError:
            caller = asyncio.current_task()
            if task.cancelled() and not (caller and caller.cancelling()):
                raise PeerUnreachableError(type(request).__name__, target, "connection reset") from None
            raise
        if not await self._travel(target, source):
            return None
        return reply_decoder.decode(encoder.encode(reply))

    async def _handle(self, host: Host, message: Request) -> Reply:
        try:
            return await host.handler(message)
        except ClusterError as error:
            return Failure(error.step, str(error))


@define
class SimulatedPeers:
    """One process's view of the network; implements `Peers`."""

    network: Network
    own: str

    async def call(self, address: str, request: Request, timeout_s: float) -> Reply:
        """Sends one request and waits at most `timeout_s`."""
        step = type(request).__name__
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.network.deliver(self.own, address, request)
                if reply is None:
                    await asyncio.Event().wait()
        except TimeoutError:
            raise PeerUnreachableError(step, address, "no answer in time") from None
        assert reply is not None
        if isinstance(reply, Failure):
            raise PeerRefusedError(reply.step, address, reply.problem)
        return reply
