"""What a dispatcher takes from the machine that it runs on, in one place: clocks, sockets, files.

Timers, tasks and signals are the running loop's. A simulator hands in a machine and a loop of its own, and
the program runs on them as it stands.
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

MIN_BACKLOG, BACKLOG_SHARE = 1024, 1 / 4  # connections not yet accepted: at the least, and of all sockets


def listen(address: tuple[str, int], sockets: int) -> list[socket.socket]:
    """`sockets`: what the configuration allows in all. OSError: the address can't be had."""
    return bind_sockets(address[1], address[0], backlog=max(MIN_BACKLOG, int(BACKLOG_SHARE * sockets)))


def datagrams(address: tuple[str, int]) -> socket.socket:
    """For the other dispatchers. OSError: the address can't be had."""
    from finchladder.net.peers.actor import bind  # what is off need not be loaded

    return bind(address)


class Selector(selectors.DefaultSelector):
    """Knows for how long its loop has waited for events: all other time it was at work, or kept from it."""

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
    """For how long a loop has waited, as far as can be told without its selector: it used no CPU then."""
    return time.monotonic() - time.process_time()


def allow_descriptors(sockets: int) -> None:
    """The system's soft limit is raised to what the configuration says; its hard limit is the operator's."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
    if soft != resource.RLIM_INFINITY and soft < most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    if most < sockets:
        logger.warning("limits: {} sockets are configured, and the system allows {}", sockets, most)


class Disk(Sink, Protocol):
    """A sink that is to be closed at the end."""

    def close(self) -> None:
        """Writes what is queued, within a time limit, and closes the sink."""


def capture_files(options: CaptureOptions, name: str, start_ms: int) -> Disk | None:
    """Where capture files go; None where none are wanted."""
    if options.folder is None:
        return None
    files = CaptureFiles(options.folder, name, start_ms, options.files, 2 * options.file_bytes)
    files.start()
    return files


@dataclass(frozen=True, slots=True)
class HostEnvironment:
    """The real one, unless parts of it are given. Times are seconds."""

    wall: Callable[[], float] = time.time
    monotonic: Callable[[], float] = time.monotonic
    cpu: Callable[[], float] = time.process_time
    idle: Callable[[], float] = idle_without_selector
    listen: Callable[[tuple[str, int], int], list[socket.socket]] = listen
    allow_descriptors: Callable[[int], None] = allow_descriptors
    connect: Connect = connect
    datagrams: Callable[[tuple[str, int]], socket.socket] = datagrams
    open_capture_files: Callable[[CaptureOptions, str, int], Disk | None] = capture_files
    last_good: "Callable[[str], ListFile] | None" = None  # None: a file on the machine's own disk
    freeze_objects: Callable[[], None] = (
        lambda: None
    )  # what has been made will stay: the collector may leave it out
    run_in_thread: Callable[[Callable[[], Any]], Awaitable[Any]] = (
        asyncio.to_thread
    )  # what would hold up the loop
