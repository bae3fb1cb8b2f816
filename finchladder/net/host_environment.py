"""The parts of the host that a dispatcher uses: clocks, sockets and files.

Timers, tasks and signals come from the running event loop. A simulator passes its own host environment and
event loop, and runs the program unchanged on them.
"""

import asyncio
import resource
import selectors
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger
from tornado.netutil import bind_sockets

from finchladder.config.options import CaptureOptions
from finchladder.features.capture import Sink
from finchladder.net.capture_files import CaptureFiles
from finchladder.net.http1 import Connect, connect

if TYPE_CHECKING:
    from finchladder.net.membership_actor import ListFile

MIN_BACKLOG, BACKLOG_SHARE = 1024, 1 / 4  # the listen backlog: its minimum, and its share of all sockets


def listen(address: tuple[str, int], sockets: int) -> list[socket.socket]:
    """Opens listening sockets.

    Args:
        address: IP address and port.
        sockets: The maximum number of sockets of the process.

    Raises:
        OSError: The address can't be bound.
    """
    return bind_sockets(address[1], address[0], backlog=max(MIN_BACKLOG, int(BACKLOG_SHARE * sockets)))


def bind_datagrams(address: tuple[str, int]) -> socket.socket:
    """Opens the UDP socket for the exchange with peers.

    Raises:
        OSError: The address can't be bound.
    """
    from finchladder.net.peers.actor import bind  # imported only where peers are configured

    return bind(address)


class Selector(selectors.DefaultSelector):
    """A selector that measures for how long its event loop has waited for events.

    In all other time the loop was running or could not run.
    """

    idle_s = 0.0

    def idle(self) -> float:
        """Time spent waiting for events so far, in seconds."""
        return self.idle_s

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Waits for events as its base class does, and measures for how long."""
        if timeout is not None and timeout <= 0:
            return super().select(timeout)
        began = time.monotonic()
        try:
            return super().select(timeout)
        finally:
            self.idle_s += time.monotonic() - began


def idle_without_selector() -> float:
    """Returns the time without CPU use, in seconds, as an estimate of the time spent waiting for events."""
    return time.monotonic() - time.process_time()


def allow_descriptors(sockets: int) -> None:
    """Raises the soft limit of open files to the configured number, but not above the hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
    if soft != resource.RLIM_INFINITY and soft < allowed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
    if allowed < sockets:
        logger.warning("limits: {} sockets are configured, and the system allows {}", sockets, allowed)


class Disk(Sink, Protocol):
    """A capture sink that must be closed at the end."""

    def close(self) -> None:
        """Writes what is queued, within a time limit, and closes the sink."""


def capture_files(options: CaptureOptions, name: str, start_ms: int) -> Disk | None:
    """Starts the writer of capture files, or returns None if no folder is configured."""
    if options.folder is None:
        return None
    files = CaptureFiles(options.folder, name, start_ms, options.files, 2 * options.file_bytes)
    files.start()
    return files


@dataclass(frozen=True, slots=True)
class HostEnvironment:
    """The real host, except for the parts that are replaced. Times are in seconds."""

    wall: Callable[[], float] = time.time
    monotonic: Callable[[], float] = time.monotonic
    cpu: Callable[[], float] = time.process_time
    idle: Callable[[], float] = idle_without_selector
    listen: Callable[[tuple[str, int], int], list[socket.socket]] = listen
    allow_descriptors: Callable[[int], None] = allow_descriptors
    connect: Connect = connect
    bind_datagrams: Callable[[tuple[str, int]], socket.socket] = bind_datagrams
    open_capture_files: Callable[[CaptureOptions, str, int], Disk | None] = capture_files
    last_good: "Callable[[str], ListFile] | None" = None  # None: a file on the local disk
    # called when long-lived objects have been created, so that the garbage collector can skip them
    freeze_objects: Callable[[], None] = lambda: None
    # runs a blocking call without blocking the event loop
    run_in_thread: Callable[[Callable[[], Any]], Awaitable[Any]] = asyncio.to_thread
