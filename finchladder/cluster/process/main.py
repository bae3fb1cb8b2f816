"""Command line that starts a control process or a dispatcher."""

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable

import click

from finchladder.cluster.process import log
from finchladder.cluster.process.settings import Settings, load_settings
from finchladder.cluster.types.errors import InvalidSettingsError

EXIT_INVALID_SETTINGS = 2


async def _run_until_signalled(run: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # settings are read only at the start
    await run(stop)


def _serve(settings: Settings) -> None:
    """Runs a control process or a dispatcher, depending on the settings."""
    log.start(settings.node_name)
    gc.freeze()
    if settings.control:
        from finchladder.cluster.process.core_node import CoreNode

        asyncio.run(_run_until_signalled(CoreNode(settings).run))
        return
    from finchladder.cluster.process.dispatcher_node import DispatcherNode

    asyncio.run(_run_until_signalled(DispatcherNode(settings).run))


@click.group()
def main() -> None:
    """Router and placer for many models."""


@main.command()
def node() -> None:
    """Run one process of the system with the settings file that FINCHLADDER_NODE_FILE names."""
    try:
        settings = load_settings()
    except InvalidSettingsError as error:
        click.echo(f"finchladder: {error}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    _serve(settings)
