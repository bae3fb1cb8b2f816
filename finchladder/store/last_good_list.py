"""The last good list: a file from which a dispatcher can start while no list source is reachable.

The first line is a JSON header (source, version, time, size, checksum), the rest is the list. A new list is
written to a temporary file that then replaces the old one, so that the file is always complete. An unusable
file is renamed and logged.
"""

import hashlib
import os
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Generic, Literal, NamedTuple, TypeVar

import msgspec
from loguru import logger

T = TypeVar("T")

MAX_BYTES = 16 * 1024 * 1024  # about 100,000 entries
MAX_HEADER_BYTES = 1024
CLOSE_TIMEOUT_S = 1.0  # limit on the final write at the end of the process
SET_ASIDE_SUFFIX = ".set-aside"


class Head(msgspec.Struct, forbid_unknown_fields=True):
    """Header of the file, its first line."""

    what: Literal["finchladder last good list"]
    format: Literal[1]
    source: str
    version: int
    time_s: float  # Unix time at which the list was last known to be valid
    size: int
    sha256: str


class LastGood(NamedTuple):
    """A list with its origin; `time_s` is a Unix time."""

    source: str  # the list source that assigned the version
    version: int
    time_s: float
    body: bytes


class UnusableListError(ValueError):
    """The file exists, but can't be used; the message says why."""


def encode(found: LastGood) -> bytes:
    """Encodes a list with its header."""
    head = Head(
        "finchladder last good list",
        1,
        found.source,
        found.version,
        found.time_s,
        len(found.body),
        hashlib.sha256(found.body).hexdigest(),
    )
    return msgspec.json.encode(head) + b"\n" + found.body


def decode(data: bytes) -> LastGood:
    """Decodes a file's content.

    Raises:
        UnusableListError: The content is incomplete, corrupted or of another program.
    """
    line, _, body = data.partition(b"\n")
    try:
        head = msgspec.json.decode(line[:MAX_HEADER_BYTES], type=Head)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        raise UnusableListError("it is not a last good list written by finchladder") from None
    if len(body) != head.size:
        raise UnusableListError(f"it has {len(body)} bytes of a list of {head.size}")
    if hashlib.sha256(body).hexdigest() != head.sha256:
        raise UnusableListError("its checksum is wrong")
    return LastGood(head.source, head.version, head.time_s, body)


def read(path: Path) -> LastGood | None:
    """Reads a file, or returns None if it doesn't exist.

    Raises:
        UnusableListError: The content can't be used.
        OSError: The file can't be read.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_BYTES + MAX_HEADER_BYTES + 1)
    except FileNotFoundError:
        return None
    if len(data) > MAX_BYTES + MAX_HEADER_BYTES:
        raise UnusableListError(f"it is larger than {MAX_BYTES} bytes")
    return decode(data)


def set_aside(path: Path) -> Path:
    """Renames a file so that it isn't read again, and returns its new path.

    A file that was set aside before is overwritten.

    Raises:
        OSError: The file can't be renamed.
    """
    to = path.with_name(path.name + SET_ASIDE_SUFFIX)
    os.replace(path, to)
    return to


def write(path: Path, found: LastGood) -> None:
    """Replaces the file atomically; on an error the old one remains.

    Raises:
        OSError: The file can't be written.
        ValueError: The list is too large.
    """
    if len(found.body) > MAX_BYTES:
        raise ValueError(f"the list has {len(found.body)} bytes, and {MAX_BYTES} is the most")
    path.parent.mkdir(parents=True, exist_ok=True)
    new = path.with_name(path.name + ".new")
    try:
        with new.open("wb") as file:
            file.write(encode(found))
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, path)
    except OSError:
        with suppress(OSError):
            new.unlink()
        raise
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)  # so that the rename survives a power failure
    finally:
        os.close(folder)


class LastGoodFile(threading.Thread, Generic[T]):
    """Thread that reads the file once and then writes the latest list given to it.

    All access to the disk is on this thread, so that nothing else waits for it. At most one list is
    pending: a newer one replaces it.
    """

    def __init__(self, path: str, parse: Callable[[bytes], T]) -> None:
        """Prepares the thread.

        Args:
            path: The file's path.
            parse: Parses the stored list; raises ValueError if it can't be used.
        """
        super().__init__(name="last good list", daemon=True)
        self.path, self.parse = Path(path), parse
        self.found: Callable[[tuple[LastGood, T] | None], None] = lambda found: None
        self.wake, self.lock, self.closing = threading.Event(), threading.Lock(), False
        self.pending: Callable[[], LastGood] | None = None
        self.failure_logged = False  # failures are logged once, until a write succeeds

    def begin(self, found: Callable[[tuple[LastGood, T] | None], None]) -> None:
        """Starts the thread, which calls `found` with the stored list, or None without a usable one."""
        self.found = found
        self.start()

    def put(self, make_list: Callable[[], LastGood]) -> None:
        """Schedules a list for writing.

        Args:
            make_list: Returns the list; called on the thread, must not read data that the event loop changes.
        """
        with self.lock:
            self.pending = make_list
        self.wake.set()

    def close(self) -> None:
        """Stops the thread after a pending write, waiting for `CLOSE_TIMEOUT_S` at most."""
        with self.lock:
            self.closing = True
        self.wake.set()
        if self.is_alive():
            self.join(CLOSE_TIMEOUT_S)

    def run(self) -> None:
        """Reads the file, then writes lists until closed."""
        self.found(self._read())
        while True:
            self.wake.wait()
            with self.lock:
                self.wake.clear()
                made, self.pending = self.pending, None
                closing = self.closing
            if made is not None:
                self._write(made)
            if closing:
                return

    def _read(self) -> tuple[LastGood, T] | None:
        try:
            found = read(self.path)
            return (found, self.parse(found.body)) if found is not None else None
        except OSError as e:
            logger.error("last good list: {} can't be read: {}", self.path, e.strerror)
        except ValueError as e:
            try:
                logger.error("last good list: {}: {}; it is now {}", self.path, e, set_aside(self.path))
            except OSError as error:
                text = "last good list: {}: {}; it can't be set aside: {}"
                logger.error(text, self.path, e, error.strerror)
        return None

    def _write(self, made: Callable[[], LastGood]) -> None:
        try:
            write(self.path, made())
        except (OSError, ValueError) as e:
            if not self.failure_logged:
                self.failure_logged = True
                why = getattr(e, "strerror", None) or e
                logger.error("last good list: {} can't be written: {}", self.path, why)
            return
        if self.failure_logged:
            self.failure_logged = False
            logger.info("last good list: {} can be written again", self.path)
