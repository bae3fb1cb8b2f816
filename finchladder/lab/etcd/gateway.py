"""The JSON forms of etcd's v3 API: requests into operations, what came of them into JSON.

As its gateway does it: bytes are base64, 64-bit numbers are text, what is zero or empty is left out. Field
names are taken as in `rpc.proto` or in camel case, enumerations by name or number.
"""

import json
from base64 import b64decode, b64encode
from binascii import Error as NoBase64
from typing import Any

from finchladder.lab.etcd.store import (
    INVALID,
    Compare,
    Delete,
    Deleted,
    Done,
    Event,
    Keys,
    Kv,
    Op,
    Put,
    PutDone,
    Range,
    Ranged,
    Refused,
    Txn,
    TxnDone,
)

Json = dict[str, Any]
ORDERS = ("NONE", "ASCEND", "DESCEND")
SORTED_BY = ("KEY", "VERSION", "CREATE", "MOD", "VALUE")
RESULTS = ("EQUAL", "GREATER", "LESS", "NOT_EQUAL")
TARGETS = ("VERSION", "CREATE", "MOD", "VALUE", "LEASE")
COMPARED = {"VERSION": "version", "CREATE": "create_revision", "MOD": "mod_revision", "LEASE": "lease"}


class Fields:
    """A request's message. Refused: a field has another type."""

    def __init__(self, data: object) -> None:
        if not isinstance(data, dict):
            raise Refused(INVALID, "json: a message must be an object")
        self.data: Json = data

    @classmethod
    def read(cls, body: bytes) -> "Fields":
        try:
            return cls(json.loads(body or b"{}"))
        except ValueError as e:
            raise Refused(INVALID, f"json: {e}") from None

    def get(self, name: str, absent: Any = None) -> Any:
        first, *rest = name.split("_")
        return self.data.get(name, self.data.get(first + "".join(r.title() for r in rest), absent))

    def part(self, name: str) -> "Fields | None":
        return None if (found := self.get(name)) is None else Fields(found)

    def parts(self, name: str) -> "list[Fields]":
        return [Fields(one) for one in self.get(name) or []]

    def bytes(self, name: str) -> bytes:
        try:
            return b64decode(self.get(name, ""), validate=True)
        except (NoBase64, ValueError, TypeError):
            raise Refused(INVALID, f"json: {name} is no base64") from None

    def int(self, name: str) -> int:
        try:
            return int(self.get(name, 0))
        except (ValueError, TypeError):
            raise Refused(INVALID, f"json: {name} is no number") from None

    def bool(self, name: str) -> bool:
        return bool(self.get(name, False))

    def text(self, name: str) -> str:
        return str(self.get(name, ""))

    def one_of(self, name: str, names: tuple[str, ...]) -> Any:
        found = self.get(name, 0)
        if isinstance(found, int) and 0 <= found < len(names):
            return names[found]
        if isinstance(found, str) and found.upper() in names:
            return found.upper()
        raise Refused(INVALID, f"json: {name} is none of {', '.join(names)}")

    def keys(self) -> Keys:
        if not (key := self.bytes("key")):
            raise Refused(INVALID, "etcdserver: key is not provided")
        return Keys(key, self.bytes("range_end"))


def range_of(f: Fields) -> Range:
    if f.int("revision") < 0 or f.int("limit") < 0:
        raise Refused(INVALID, "etcdserver: a revision and a limit are never below 0")
    order, target = f.one_of("sort_order", ORDERS), f.one_of("sort_target", SORTED_BY)
    return Range(
        f.keys(),
        f.int("revision"),
        f.int("limit"),
        order,
        target,
        f.bool("count_only"),
        f.int("min_mod_revision"),
        f.int("max_mod_revision"),
        f.int("min_create_revision"),
        f.int("max_create_revision"),
    )


def put_of(f: Fields) -> Put:
    return Put(
        f.bytes("key"), f.bytes("value"), f.int("lease"), f.bool("ignore_value"), f.bool("ignore_lease")
    )


def compare_of(f: Fields) -> Compare:
    target = f.one_of("target", TARGETS)
    value: int | bytes = f.bytes("value") if target == "VALUE" else f.int(COMPARED[target])
    return Compare(f.keys(), target, f.one_of("result", RESULTS), value)


def op_of(f: Fields) -> Op:
    if (part := f.part("request_range")) is not None:
        return range_of(part)
    if (part := f.part("request_put")) is not None:
        return put_of(part)
    if (part := f.part("request_delete_range")) is not None:
        return Delete(part.keys())
    if (part := f.part("request_txn")) is not None:
        return txn_of(part)
    raise Refused(INVALID, "etcdserver: an operation of a transaction is missing")


def txn_of(f: Fields) -> Txn:
    return Txn(
        tuple(map(compare_of, f.parts("compare"))),
        tuple(map(op_of, f.parts("success"))),
        tuple(map(op_of, f.parts("failure"))),
    )


# --- answers


def lean(**fields: Any) -> Json:
    """Without what is zero or empty; numbers as text."""
    return {
        name.rstrip("_"): str(value) if type(value) is int else value
        for name, value in fields.items()
        if value
    }


def base64(data: bytes) -> str:
    return b64encode(data).decode()


def kv_json(kv: Kv, keys_only: bool = False) -> Json:
    return lean(
        key=base64(kv.key),
        create_revision=kv.create_revision,
        mod_revision=kv.mod_revision,
        version=kv.version,
        value="" if keys_only else base64(kv.value),
        lease=kv.lease,
    )


def event_json(event: Event, prev_kv: bool) -> Json:
    if event.deletes:
        kv = lean(key=base64(event.kv.key), mod_revision=event.kv.mod_revision)
    else:
        kv = kv_json(event.kv)
    before = event.before if prev_kv else None
    return lean(type="DELETE" if event.deletes else "", kv=kv, prev_kv=before and kv_json(before))


def done_json(op: Op, done: Done, f: Fields) -> Json:
    """`f`: the operation as it was asked for."""
    if isinstance(done, Ranged):
        kvs = [kv_json(kv, f.bool("keys_only")) for kv in done.kvs]
        return lean(kvs=kvs, more=done.more, count=done.total)
    if isinstance(done, PutDone):
        return lean(prev_kv=done.before and f.bool("prev_kv") and kv_json(done.before))
    if isinstance(done, Deleted):
        kvs = [kv_json(kv) for kv in done.before] if f.bool("prev_kv") else []
        return lean(deleted=len(done.before), prev_kvs=kvs)
    assert isinstance(done, TxnDone) and isinstance(op, Txn)
    ops, asked = (op.success, "success") if done.succeeded else (op.failure, "failure")
    responses = []
    for one, result, part in zip(ops, done.results, f.parts(asked), strict=True):
        name = next(name for name in part.data if name.startswith("request"))
        inner = Fields(part.data[name])
        kind = {"request_range": "range", "request_put": "put", "request_delete_range": "delete_range"}
        responses.append({f"response_{kind.get(name, 'txn')}": done_json(one, result, inner)})
    return lean(succeeded=done.succeeded, responses=responses)
