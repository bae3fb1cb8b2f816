"""The durable store of a control process: recovery, failed writes, corrupted values."""

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


def test_what_was_saved_is_there_at_the_next_start(tmp_path: Path) -> None:
    store = LmdbStore(str(tmp_path), DISK_BYTES)
    assert store.was_empty
    assert store.load(lambda: identity("first")) == (identity("first"), Acceptor(), Replica())
    asyncio.run(store.save(acceptor=ACCEPTOR, replica=REPLICA))
    store.close()
    again = LmdbStore(str(tmp_path), DISK_BYTES)
    assert not again.was_empty
    assert again.load(lambda: identity("second")) == (identity("first"), ACCEPTOR, REPLICA)


def test_a_write_whose_caller_is_cancelled_counts_as_pending_until_it_is_on_the_disk(tmp_path: Path) -> None:
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
    """What LMDB leaves after it could not write the page that names a transaction: it refuses everything."""

    def __init__(self, real: lmdb.Environment) -> None:
        self._real = real

    def begin(self, **_: object) -> None:
        raise lmdb.PanicError("MDB_PANIC")

    def close(self) -> None:
        self._real.close()


def test_a_disk_that_made_lmdb_give_up_is_used_again_once_it_takes_writes(tmp_path: Path) -> None:
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


def test_a_damaged_file_is_moved_aside_and_the_disk_counts_as_another_one(tmp_path: Path) -> None:
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


def test_a_file_that_cannot_be_opened_now_is_left_where_it_is(tmp_path: Path) -> None:
    store = LmdbStore(str(tmp_path), DISK_BYTES)
    store.load(lambda: identity("first"))
    with pytest.raises(lmdb.Error):
        LmdbStore(str(tmp_path), DISK_BYTES)  # LMDB refuses a file that this process has open
    assert not list(tmp_path.glob("state.damaged-*"))


@given(st.integers(0, 200), st.integers(1, 255))
def test_a_changed_byte_is_noticed(place: int, change: int) -> None:
    data = bytearray(encode_record(REPLICA))
    data[place % len(data)] ^= change
    with pytest.raises(StorageCorruptedError):
        decode_record(bytes(data), Replica)
