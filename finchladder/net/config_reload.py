"""Reloads the operator's file while the dispatcher runs: either all of it takes effect, or none."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from finchladder.core.routing.routes import Routes

if TYPE_CHECKING:  # the reader is needed at run time only where there is a TOML file
    from finchladder.config.operator_file import Loaded

MAX_LOGGED_FINDINGS = 20  # maximum log lines about an invalid file


class ConfigReloader:
    """Reads and validates the file in a thread, as a large one takes long, and applies its routes.

    `read` returns the current file, or raises ValueError with one line per finding. Only one reload runs at a
    time; requests during a reload cause one more. `apply` is called on the event loop, in a single step.
    """

    def __init__(
        self,
        loaded: "Loaded",
        read: Callable[[], "Loaded"],
        run_in_thread: Callable[[Callable[[], Any]], Awaitable[Any]],
        apply: Callable[[Routes], None],
    ) -> None:
        self.loaded, self.read, self.run_in_thread, self.apply = loaded, read, run_in_thread, apply
        self.task: asyncio.Task[None] | None = None
        self.is_requested = False

    def request_reload(self) -> None:
        """Requests a reload; during another reload, it runs afterwards."""
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
                logger.error("SIGHUP: routes: version {} stays in use{}", self.loaded.version, more)

    def _apply_routes(self, new: "Loaded") -> None:
        old = self.loaded
        changed = [
            f
            for f in msgspec.structs.fields(new.options)
            if getattr(new.options, f.name) != getattr(old.options, f.name)
        ]
        if changed:
            names = ", ".join(f"[{f.name.removesuffix('_of')}]" for f in changed)
            raise ValueError(f"{names} would change, which needs a restart: no part of the file is applied")
        if new.version == old.version:
            logger.info("SIGHUP: routes: version {} is already in use", old.version)
            return
        self.apply(new.routes)
        self.loaded = new
        replaced = f"in place of {old.version}"
        logger.info(
            "SIGHUP: routes: version {} is now in use, {}, {}",
            new.version,
            replaced,
            count_routes(new.routes),
        )


def count_routes(routes: Routes) -> str:
    """Returns the number of distinct route names as text for the log."""
    names = len({route.name for route in routes.all})
    return "1 route" if names == 1 else f"{names} routes"
