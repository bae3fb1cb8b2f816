"""The operator's file is read again while the dispatcher runs: all of it holds, or none."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from finchladder.core.routing.routes import Routes

if TYPE_CHECKING:  # at run time only who has a file in TOML needs its reader
    from finchladder.config.operator_file import Loaded

MAX_LOGGED_FINDINGS = 20  # findings of an unusable file in the log


class ConfigReloader:
    """`read` gives the file as it is now, or raises ValueError with a line for each finding.

    It is read and checked aside, on a thread, as a large file takes long; one at a time, and once more if it
    was asked for meanwhile. `hold` is called on the loop, in one step with nothing else.
    """

    def __init__(
        self,
        loaded: "Loaded",
        read: Callable[[], "Loaded"],
        aside: Callable[[Callable[[], Any]], Awaitable[Any]],
        hold: Callable[[Routes], None],
    ) -> None:
        self.loaded, self.read, self.run_in_thread, self.apply = loaded, read, aside, hold
        self.task: asyncio.Task[None] | None = None
        self.is_requested = False

    def request_reload(self) -> None:
        """Requests a reload; one that is asked for during another runs after it."""
        self.is_requested = True
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        while self.is_requested:
            self.is_requested = False
            try:
                self._apply_routes(await self.run_in_thread(self.read))
            except ValueError as e:
                lines = str(e).splitlines()
                for line in lines[:MAX_LOGGED_FINDINGS]:
                    logger.error("SIGHUP: {}", line)
                more = (
                    f" ({len(lines) - MAX_LOGGED_FINDINGS} more)" if len(lines) > MAX_LOGGED_FINDINGS else ""
                )
                logger.error("SIGHUP: routes: version {} stays in force{}", self.loaded.version, more)

    def _apply_routes(self, new: "Loaded") -> None:
        old = self.loaded
        others = [
            f
            for f in msgspec.structs.fields(new.options)
            if getattr(new.options, f.name) != getattr(old.options, f.name)
        ]
        if others:
            names = ", ".join(f"[{f.name.removesuffix('_of')}]" for f in others)
            raise ValueError(f"{names} would change, and that needs a restart: nothing of the file is taken")
        if new.version == old.version:
            logger.info("SIGHUP: routes: version {} holds already", old.version)
            return
        self.apply(new.routes)
        self.loaded = new
        told = f"in place of {old.version}"
        logger.info("SIGHUP: routes: version {} holds, {}, {}", new.version, told, count_routes(new.routes))


def count_routes(routes: Routes) -> str:
    """Returns the number of distinct route names as text for the log."""
    names = len({route.name for route in routes.all})
    return "1 route" if names == 1 else f"{names} routes"
