"""Refreshes a dispatcher's configuration before the dispatcher rejects an unknown route or API key."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define

from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.transport.peers import steady

PULL_TIMEOUT_S = 0.2  # short, since a client waits for the pull
MIN_PULL_INTERVAL_S = 0.2  # limits the pulls that clients without valid routes or keys cause
NEVER = -1e9


@define
class ConfigurationRefresher:
    """Pulls the configuration at most once per `MIN_PULL_INTERVAL_S`; all waiting callers share one pull.

    `pull_once`: pulls with a timeout in seconds; returns whether the chain has recently confirmed the control
    process that replied.
    """

    pull_once: Callable[[float], Awaitable[bool]]
    tasks: Tasks
    _pull: asyncio.Task[bool] | None = None
    _pulled_at: float = NEVER  # end time of the last pull
    _is_confirmed: bool = False  # result of the last pull

    async def refresh(self) -> bool:
        """Pulls the configuration; returns whether the chain has recently confirmed the replying process."""
        if self._pull is None:
            if steady() - self._pulled_at < MIN_PULL_INTERVAL_S:
                return self._is_confirmed
            self._pull = self.tasks.spawn(self._run_pull(), "configuration refresh")
        # a client that disconnects must not cancel the pull that other callers share
        return await asyncio.shield(self._pull)

    async def _run_pull(self) -> bool:
        self._is_confirmed = False
        try:
            self._is_confirmed = await self.pull_once(PULL_TIMEOUT_S)
        finally:
            self._pulled_at = steady()
            self._pull = None
        return self._is_confirmed
