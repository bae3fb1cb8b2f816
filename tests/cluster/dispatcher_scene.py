"""A dispatcher without sockets that pulls from a stand-in for its primary."""

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import cast

from attrs import define

from finchladder.cluster.process.contact_timeouts import ContactTimeouts
from finchladder.cluster.process.dispatcher_node import DispatcherNode
from finchladder.cluster.process.settings import Settings
from finchladder.cluster.types.messages import PullUpdates, Reply, Request, Update

PRIMARY = "core-1:1"


@define
class Primary:
    """A control process that replies to each pull with the same update."""

    reply: Update
    last_pull: PullUpdates | None = None

    async def call(self, address: str, request: Request, timeout_s: float) -> Reply:
        assert address == PRIMARY
        assert isinstance(request, PullUpdates)
        self.last_pull = request
        return self.reply


def run_with_dispatcher(scenario: Callable[[DispatcherNode], Awaitable[None]]) -> None:
    """Runs a scenario with a dispatcher that has not pulled yet."""

    async def work() -> None:
        bounds = SimpleNamespace(
            contact_timeouts=ContactTimeouts(3.0), retry_ratio=0.2, retry_slack=50, retry_window_s=10
        )
        settings = SimpleNamespace(
            node_name="edge-1", zone="z", peer_address="edge-1:1", seed_peer_addresses=(), bounds=bounds
        )
        node = DispatcherNode(cast(Settings, settings))
        node._build_components()
        await scenario(node)
        await node.router.session.close()
        await node.peers.close()

    asyncio.run(work())


async def refresh(node: DispatcherNode, primary: Primary) -> bool:
    """Refreshes the configuration from a primary; returns whether it is confirmed."""
    node.puller.peers, node.puller.sources.primary = primary, PRIMARY
    return await node.router.refresh_configuration()
