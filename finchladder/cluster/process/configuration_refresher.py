"""Refreshes a dispatcher's configuration before it claims that an API key is in no configuration in force."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define

from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.transport.peers import steady

PULL_TIMEOUT_S = 0.2  # a client waits for it
MIN_PULL_INTERVAL_S = 0.2  # bounds what clients without valid keys can cost the control processes
NEVER = -1e9


@define
class ConfigurationRefresher:
    """Pulls at most once in `MIN_PULL_INTERVAL_S`; one pull serves all that wait.

    `pull_once`: pulls with that timeout in seconds; whether the chain has confirmed the source lately.
    """

    pull_once: Callable[[float], Awaitable[bool]]
    tasks: Tasks
    _pull: asyncio.Task[bool] | None = None
    _pulled_at: float = NEVER  # when the last pull ended
    _is_confirmed: bool = False  # by the last pull

    async def refresh(self) -> bool:
        """Brings the configuration up to date; whether the chain has confirmed its source lately."""
        if self._pull is None:
            if steady() - self._pulled_at < MIN_PULL_INTERVAL_S:
                return self._is_confirmed
            self._pull = self.tasks.spawn(self._run_pull(), "configuration refresh")
        # a client that disconnects must not cancel the pull of the others
        return await asyncio.shield(self._pull)

    async def _run_pull(self) -> bool:
        self._is_confirmed = False
        try:
            self._is_confirmed = await self.pull_once(PULL_TIMEOUT_S)
        finally:
            self._pulled_at = steady()
            self._pull = None
        return self._is_confirmed
