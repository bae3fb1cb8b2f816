"""An incident: a version written as 7.0 was stored by the head, and no other process could decode it."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from finchladder.cluster.configuration.changes import InvalidChange, ValidChange, validate_change
from finchladder.cluster.configuration.schema import MAX_VERSION
from finchladder.cluster.configuration.snapshot_builder import build_snapshot
from finchladder.cluster.process.configuration_changes import ACCEPTED, CONFLICT, INVALID
from finchladder.cluster.process.control_api import parse_base_version
from finchladder.cluster.process.core_sessions import ANY_VERSION
from finchladder.cluster.replication.chain import Replica
from finchladder.cluster.storage.lmdb_store import (
    DiskIdentity,
    LmdbStore,
    StorageCorruptedError,
    decode_record,
    encode_record,
)
from finchladder.cluster.types.messages import Submit, encoder, request_decoder
from finchladder.cluster.types.operations import ControlState, Revision, SetConfiguration, apply
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.world import World
from tests.cluster.test_configuration_changes import RESPONSE_DEADLINE_S, start_confirmed_chain

DISK_BYTES = 32 << 20
FLOAT_STATE = ControlState(
    sequence=3,
    version=7.0,  # type: ignore[arg-type]
    document=b'{"version": 7.0, "routes": [], "services": []}',
    accepted_revisions=(Revision(5, b"a"), Revision(7.0, b"b")),  # type: ignore[arg-type]
)


def put(version: str, current_version: int = 0) -> ValidChange | InvalidChange:
    body = b'{"version": %s, "routes": [], "services": []}' % version.encode()
    return validate_change(b"", current_version, False, body)


def assert_is_version(value: Any, expected: int) -> None:
    assert (type(value), value) == (int, expected)


@pytest.mark.parametrize("text", ["7", "7.0", "0.7e1", "70E-1"])
def test_a_whole_number_is_a_version_however_it_is_written(text: str) -> None:
    outcome = put(text, current_version=6)
    assert isinstance(outcome, ValidChange), outcome
    assert_is_version(outcome.version, 7)
    assert_is_version(json.loads(outcome.document)["version"], 7)
    assert_is_version(build_snapshot(outcome.document).version, 7)


@pytest.mark.parametrize("upsert", [b"{}", b'{"version": 7}', b'{"version": 7.0}'])
def test_a_patch_stores_a_whole_version(upsert: bytes) -> None:
    current = b'{"version": 5.0, "routes": [], "services": []}'
    outcome = validate_change(current, 5, True, b'{"version": 7.0, "upsert": %s}' % upsert)
    assert isinstance(outcome, ValidChange), outcome
    assert_is_version(outcome.version, 7)
    assert_is_version(json.loads(outcome.document)["version"], 7)


@pytest.mark.parametrize("text", ["7.5", "true", '"7"', "null", "0", "-1", "0.0"])
def test_what_is_no_whole_positive_number_is_no_version(text: str) -> None:
    assert isinstance(put(text), InvalidChange)


def test_the_largest_version_can_be_sent_and_a_larger_one_is_invalid() -> None:
    # A version beyond 64 bits can't be encoded, so the operator got no clear answer to the change.
    outcome = put(str(MAX_VERSION))
    assert isinstance(outcome, ValidChange), outcome
    operation = SetConfiguration(0, outcome.version, b"", outcome.document)
    state = apply(ControlState(), operation)
    assert decode_record(encode_record(state), ControlState) == state
    for text in (str(MAX_VERSION + 1), str(1 << 64), "1e30", "9" * 300):
        assert isinstance(put(text), InvalidChange)
    assert MAX_VERSION < ANY_VERSION


@pytest.mark.parametrize(("version", "status"), [("7.0", ACCEPTED), (str(1 << 70), INVALID)])
def test_a_chain_of_three_answers_a_change_and_takes_the_next_one(version: str, status: int) -> None:
    # The successor could not decode the operation, and the chain confirmed nothing any more.
    async def work() -> None:
        head, middle, tail = await start_confirmed_chain(World(1))
        body = b'{"version": %s, "routes": [], "services": []}' % version.encode()
        assert middle.plane is not None and tail.plane is not None
        outcome = await middle.plane.changes.submit(0, False, body, RESPONSE_DEADLINE_S)
        assert outcome.status == status
        base = 7 if status == ACCEPTED else 0
        outcome = await tail.plane.changes.submit(
            base, False, body.replace(b"7.0", b"8"), RESPONSE_DEADLINE_S
        )
        assert outcome.status == status
        state = await tail.plane.chain.read()
        assert_is_version(state.version, 8 if status == ACCEPTED else 0)

    run(work())


# --- a state that an earlier version stored


def test_a_stored_state_with_such_a_version_is_read_and_not_moved_aside(tmp_path: Path) -> None:
    store = LmdbStore(str(tmp_path), DISK_BYTES)
    identity = store.load(lambda: DiskIdentity("disk", True))[0]
    store._write({b"replica": encode_record(Replica(4, FLOAT_STATE))})
    store.close()
    again = LmdbStore(str(tmp_path), DISK_BYTES)
    found, _, replica = again.load(lambda: DiskIdentity("other", False))
    again.close()
    assert found == identity
    assert not again.moved_aside
    assert_is_version(replica.state.version, 7)
    assert [revision.version for revision in replica.state.accepted_revisions] == [5, 7]
    assert decode_record(encode_record(replica), Replica) == replica


def test_a_record_of_another_shape_is_still_corrupted() -> None:
    for record in ("text", [1, 2, 3, 4], [1, [7.5, 2]], [1, ["many"]]):
        with pytest.raises(StorageCorruptedError):
            decode_record(encode_record(record), Replica)


# --- the version that a change is based on


@pytest.mark.parametrize("text", ["5", '"5"', " 5 "])
def test_the_base_version_is_read_from_the_header(text: str) -> None:
    assert parse_base_version(text) == 5


@pytest.mark.parametrize("text", ["", "five", "5.5", "W/5", "9" * 5_000])
def test_a_base_version_that_is_not_a_number_is_malformed(text: str) -> None:
    assert parse_base_version(text) is None


@pytest.mark.parametrize("text", ["9" * 30, "-" + "9" * 30, str(1 << 64)])
def test_a_base_version_beyond_64_bits_can_be_forwarded_and_matches_no_version(text: str) -> None:
    # The process that received the change could not encode the message to the head.
    base = parse_base_version(text)
    assert base is not None
    submit = Submit(base, False, b"{}", 900)
    assert request_decoder.decode(encoder.encode(submit)) == submit
    assert not 0 <= base <= MAX_VERSION

    async def work() -> None:
        _, middle, _ = await start_confirmed_chain(World(1))
        assert middle.plane is not None
        outcome = await middle.plane.changes.submit(base, False, b"{}", RESPONSE_DEADLINE_S)
        assert outcome.status == CONFLICT

    run(work())


def test_the_wire_form_of_a_version_is_unchanged() -> None:
    encoded = msgspec.msgpack.encode(SetConfiguration(5, 7, b"d", b"{}"))
    assert msgspec.msgpack.decode(encoded) == [1, 5, 7, b"d", b"{}"]
