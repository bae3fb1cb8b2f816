"""What a dispatcher takes from the machine that it runs on, in one place: clocks, sockets, files.

Timers, tasks and signals are the running loop's. A simulator hands in a machine and a loop of its own, and
the program runs on them as it stands.
"""

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tornado.netutil import bind_sockets

from finchladder.config.options import CaptureOptions
from finchladder.features.capture import Sink
from finchladder.net.disk import CaptureFiles
from finchladder.net.http1 import Connect, connect

BACKLOG = 1024


def listen(address: tuple[str, int]) -> list[socket.socket]:
    """OSError: the address can't be had."""
    return bind_sockets(address[1], address[0], backlog=BACKLOG)


class Disk(Sink, Protocol):
    """A sink that is to be closed at the end."""

    def close(self) -> None: ...


def capture_files(options: CaptureOptions, name: str, start_ms: int) -> Disk | None:
    """Where capture files go; None where none are wanted."""
    if options.folder is None:
        return None
    files = CaptureFiles(options.folder, name, start_ms, options.files, 2 * options.file_bytes)
    files.start()
    return files


@dataclass(frozen=True, slots=True)
class Machine:
    """The real one, unless parts of it are given. Times are seconds."""

    wall: Callable[[], float] = time.time
    monotonic: Callable[[], float] = time.monotonic
    listen: Callable[[tuple[str, int]], list[socket.socket]] = listen
    connect: Connect = connect
    files: Callable[[CaptureOptions, str, int], Disk | None] = capture_files
