"""Tests of the durable store of a control process: recovery, failed writes and corrupted values."""

import asyncio
import threading
from pathlib import Path

import lmdb
import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.replication.chain import Replica
from finchladder.cluster.storage.lmdb_store import (
    DiskIdentity,
    LmdbStore,
    StorageCorruptedError,
    decode_record,
    encode_record,
)
from finchladder.cluster.types.errors import StorageError
from finchladder.cluster.types.members import Ballot
from finchladder.cluster.types.operations import ControlState

DISK_BYTES = 32 << 20
REPLICA = Replica(4, ControlState(sequence=9, version=3, document=b"{}"))
ACCEPTOR = Acceptor(promised=Ballot(3, "a"))


def identity(name: str) -> DiskIdentity:
    return DiskIdentity(name, True)


def test_saved_values_are_loaded_after_a_restart(tmp_path: Path) -> None:
    store = LmdbStore(str(tmp_path), DISK_BYTES)
    assert store.was_empty
    assert store.load(lambda: identity("first")) == (identity("first"), Acceptor(), Replica())
    asyncio.run(store.save(acceptor=ACCEPTOR, replica=REPLICA))
    store.close()
    again = LmdbStore(str(tmp_path), DISK_BYTES)
    assert not again.was_empty
    assert again.load(lambda: identity("second")) == (identity("first"), ACCEPTOR, REPLICA)


def test_a_write_whose_caller_is_cancelled_is_pending_until_it_is_durable(tmp_path: Path) -> None:
    async def work() -> None:
        store = LmdbStore(str(tmp_path), DISK_BYTES)
        store.load(lambda: identity("first"))
        may_write = threading.Event()
        write = store._write
        store._write = lambda values: (may_write.wait(5.0), write(values))[1]  # type: ignore[method-assign]
        saving = asyncio.create_task(store.save(acceptor=ACCEPTOR))
        await asyncio.sleep(0.05)
        saving.cancel()
        await asyncio.sleep(0.05)
        assert store.pending_write_age_s() > 0.05
        may_write.set()
        await store.probe()
        assert store.pending_write_age_s() == 0.0
        assert store.load(lambda: identity("second"))[1] == ACCEPTOR
        store.close()

    asyncio.run(work())


class PanickedEnvironment:
    """An LMDB environment after a failed write of a meta page, which rejects all transactions."""

    def __init__(self, environment: lmdb.Environment) -> None:
        self._environment = environment

    def begin(self, **_: object) -> None:
        raise lmdb.PanicError("MDB_PANIC")

    def close(self) -> None:
        self._environment.close()


def test_the_environment_is_reopened_after_an_lmdb_panic(tmp_path: Path) -> None:
    store = LmdbStore(str(tmp_path), DISK_BYTES)
    store.load(lambda: identity("first"))
    asyncio.run(store.save(acceptor=ACCEPTOR))
    store._environment = PanickedEnvironment(store._environment)
    with pytest.raises(StorageError):
        asyncio.run(store.save(replica=REPLICA))
    assert store.last_write_failed
    asyncio.run(store.probe())
    assert not store.last_write_failed
    asyncio.run(store.save(replica=REPLICA))
    assert store.load(lambda: identity("second")) == (identity("first"), ACCEPTOR, REPLICA)


def test_a_corrupted_state_is_renamed_and_the_disk_gets_a_new_identity(tmp_path: Path) -> None:
    store = LmdbStore(str(tmp_path), DISK_BYTES)
    store.load(lambda: identity("first"))
    asyncio.run(store.save(replica=REPLICA))
    store.close()
    (tmp_path / "state" / "data.mdb").write_bytes(b"\x13" * 70_000)
    again = LmdbStore(str(tmp_path), DISK_BYTES)
    assert again.moved_aside
    assert not again.was_empty
    assert again.load(lambda: identity("second")) == (identity("second"), Acceptor(), Replica())
    assert list(tmp_path.glob("state.damaged-*"))


def test_a_state_that_cannot_be_opened_but_is_not_corrupted_is_not_renamed(tmp_path: Path) -> None:
    store = LmdbStore(str(tmp_path), DISK_BYTES)
    store.load(lambda: identity("first"))
    with pytest.raises(lmdb.Error):
        LmdbStore(str(tmp_path), DISK_BYTES)  # LMDB rejects a file that the process has already opened
    assert not list(tmp_path.glob("state.damaged-*"))


@given(st.integers(0, 200), st.integers(1, 255))
def test_a_changed_byte_is_detected(position: int, change: int) -> None:
    data = bytearray(encode_record(REPLICA))
    data[position % len(data)] ^= change
    with pytest.raises(StorageCorruptedError):
        decode_record(bytes(data), Replica)
