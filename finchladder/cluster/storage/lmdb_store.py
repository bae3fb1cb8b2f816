"""Durable state of a control process in LMDB, written by a dedicated thread.

Each value consists of a format version, a checksum and MessagePack. A write returns only after the file was
synced twice: by the commit of LMDB, and by a forced sync that also makes the meta page of the transaction
durable, which LMDB itself only writes with O_DSYNC. A corrupted state directory is renamed, and the process
starts with an empty one.
"""

import asyncio
import os
import shutil
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from hashlib import blake2b
from typing import Any, TypeVar

import lmdb
import msgspec

from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.replication.chain import Replica
from finchladder.cluster.types.errors import DECODE_ERRORS, StorageError, error_kind

FORMAT_VERSION = 1
CHECKSUM_BYTES = 8
# Size of the memory map as a fraction of the disk space; pages of old transactions need space in addition to
# the data.
MAP_FRACTION = 0.4
MIN_MAP_BYTES = 8 << 20

T = TypeVar("T")


class StorageCorruptedError(Exception):
    """A value does not match its checksum or format."""


# Errors that prove that the state is corrupted. Errors of a full or unreadable disk are excluded, because a
# valid state must not be replaced by an empty one.
CORRUPTION_ERRORS = (StorageCorruptedError, lmdb.InvalidError, lmdb.CorruptedError, lmdb.VersionMismatchError)


class DiskIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a disk; `founder`: whether it was empty when the system was bootstrapped."""

    disk_id: str
    founder: bool


def encode_record(value: object) -> bytes:
    """Encodes a value with its format version and checksum."""
    payload = msgspec.msgpack.encode(value)
    return bytes([FORMAT_VERSION]) + blake2b(payload, digest_size=CHECKSUM_BYTES).digest() + payload


def decode_record(data: bytes, kind: type[T]) -> T:
    """Decodes the output of `encode_record`; raises StorageCorruptedError for any other data.

    Earlier versions of the program stored the version of a configuration as a float if the operator wrote it
    as 7.0. Such numbers are converted.
    """
    payload = data[1 + CHECKSUM_BYTES :]
    checksum = blake2b(payload, digest_size=CHECKSUM_BYTES).digest()
    if data[:1] != bytes([FORMAT_VERSION]) or data[1 : 1 + CHECKSUM_BYTES] != checksum:
        raise StorageCorruptedError("format version or checksum does not match")
    with suppress(*DECODE_ERRORS):
        return msgspec.msgpack.decode(payload, type=kind)
    try:
        return msgspec.msgpack.decode(payload, type=kind, strict=False)
    except DECODE_ERRORS as error:
        raise StorageCorruptedError(error_kind(error)) from None


class LmdbStore:
    """Storage of one control process; implements `DurableStore`.

    Attributes:
        was_empty: Whether the disk contained no state when it was opened.
        moved_aside: Path to which a corrupted state was moved, and the reason; empty if the state was valid.
    """

    def __init__(self, folder: str, disk_bytes: int, clock: Callable[[], float] = time.monotonic) -> None:
        """Opens or creates the state in `folder`.

        Args:
            folder: Data directory of the process.
            disk_bytes: Disk space that the process may use.
            clock: Returns the seconds of a monotonic clock.
        """
        self._folder = os.path.join(folder, "state")
        self._map_bytes = max(MIN_MAP_BYTES, int(disk_bytes * MAP_FRACTION))
        self._clock = clock
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")
        self._pending: dict[int, float] = {}  # start times of pending writes by serial number
        self._serial = 0
        self._last_write_failed = False
        self.was_empty = not os.path.exists(self._folder)
        self.moved_aside = ""
        self._environment = self._open()

    def _open(self) -> Any:
        os.makedirs(self._folder, exist_ok=True)
        _sync_folder(os.path.dirname(self._folder))
        try:
            return self._open_verified()
        except CORRUPTION_ERRORS as error:
            self.moved_aside = f"{self._folder}.damaged-{int(time.time())}: {error}"
            shutil.move(self._folder, f"{self._folder}.damaged-{int(time.time())}")
            os.makedirs(self._folder)
            return self._open_environment()

    def _open_environment(self) -> Any:
        return lmdb.open(self._folder, map_size=self._map_bytes, lock=False, max_readers=4)

    def _open_verified(self) -> Any:
        environment = self._open_environment()
        with environment.begin() as transaction:
            for key, kind in ((b"identity", DiskIdentity), (b"acceptor", Acceptor), (b"replica", Replica)):
                data = transaction.get(key)
                if data is not None:
                    decode_record(bytes(data), kind)
        return environment

    def _get(self, key: bytes, kind: type[T]) -> T | None:
        with self._environment.begin() as transaction:
            data = transaction.get(key)
        return None if data is None else decode_record(bytes(data), kind)

    def load(self, new: Callable[[], DiskIdentity]) -> tuple[DiskIdentity, Acceptor, Replica]:
        """Loads identity, acceptor and replica; an empty disk gets the identity that `new` returns."""
        identity = self._get(b"identity", DiskIdentity)
        if identity is None:
            identity = new()
            self._write({b"identity": encode_record(identity)})
        return (
            identity,
            self._get(b"acceptor", Acceptor) or Acceptor(),
            self._get(b"replica", Replica) or Replica(),
        )

    def _write(self, values: dict[bytes, bytes]) -> None:
        try:
            with self._environment.begin(write=True) as transaction:
                for key, value in values.items():
                    transaction.put(key, value)
            self._environment.sync(True)
        except lmdb.PanicError:
            # After a failed write of a meta page LMDB rejects all writes until the environment is reopened.
            self._environment.close()
            self._environment = self._open_environment()
            raise

    async def save(self, *, acceptor: Acceptor | None = None, replica: Replica | None = None) -> None:
        """Makes the values durable; raises StorageError if the disk rejects the write."""
        values: dict[bytes, bytes] = {}
        if acceptor is not None:
            values[b"acceptor"] = encode_record(acceptor)
        if replica is not None:
            values[b"replica"] = encode_record(replica)
        await self._write_in_thread(values)

    async def probe(self) -> None:
        """Writes a few bytes to test whether a failed disk has recovered."""
        await self._write_in_thread({b"probe": b"\x00"})

    async def _write_in_thread(self, values: dict[bytes, bytes]) -> None:
        """Writes values in the order of the calls; a write continues even if its caller is cancelled."""
        self._serial += 1
        serial = self._serial
        self._pending[serial] = self._clock()
        write = asyncio.get_running_loop().run_in_executor(self._executor, self._write, values)
        write.add_done_callback(lambda future: self._on_written(serial, future))
        try:
            await asyncio.shield(write)
        except (lmdb.Error, OSError) as error:
            raise StorageError("store", "disk", str(error)) from error

    def _on_written(self, serial: int, write: "asyncio.Future[None]") -> None:
        del self._pending[serial]
        self._last_write_failed = write.cancelled() or write.exception() is not None

    def close(self) -> None:
        """Stops the writer thread and closes the LMDB environment."""
        self._executor.shutdown()
        self._environment.close()

    @property
    def last_write_failed(self) -> bool:
        """Whether the last write failed."""
        return self._last_write_failed

    def pending_write_age_s(self) -> float:
        """Age of the oldest pending write in seconds; 0 if no write is pending."""
        return self._clock() - min(self._pending.values()) if self._pending else 0.0


def _sync_folder(path: str) -> None:
    """Makes new entries of a directory durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
