"""Command line that starts a control process or a dispatcher."""

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable

import click

from finchladder.cluster.process import log
from finchladder.cluster.process.seed_list import SeedList
from finchladder.cluster.process.settings import Settings, SettingsFile
from finchladder.cluster.types.errors import InvalidSettingsError

EXIT_INVALID_SETTINGS = 2


async def _run_until_signalled(run: Callable[[asyncio.Event], Awaitable[None]], seeds: SeedList) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, seeds.refresh)  # all other settings are read only at the start
    await run(stop)


def _seed_list(settings: Settings, file: SettingsFile) -> SeedList:
    """Returns the seeds of the settings, which are read again from the file."""

    def read() -> tuple[str, ...] | None:
        changed = file.load_if_changed()
        return None if changed is None else changed.seed_peer_addresses

    return SeedList(settings.seed_peer_addresses, read)


def _serve(settings: Settings, seeds: SeedList) -> None:
    """Runs a control process or a dispatcher, depending on the settings."""
    log.start(settings.node_name)
    gc.freeze()
    if settings.control:
        from finchladder.cluster.process.core_node import CoreNode

        asyncio.run(_run_until_signalled(CoreNode(settings, seeds).run, seeds))
        return
    from finchladder.cluster.process.dispatcher_node import DispatcherNode

    asyncio.run(_run_until_signalled(DispatcherNode(settings, seeds).run, seeds))


@click.group()
def main() -> None:
    """Router and placer for many models."""


@main.command()
def node() -> None:
    """Run one process of the system with the settings file that FINCHLADDER_NODE_FILE names."""
    file = SettingsFile.from_environment()
    try:
        settings = file.load()
    except InvalidSettingsError as error:
        click.echo(f"finchladder: {error}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    _serve(settings, _seed_list(settings, file))
