"""etcd's key space as its API describes it: revisions, history, compaction, transactions, leases.

Pure: times are handed in, in seconds on any clock. Source: the comments of etcd's published `rpc.proto` and
`kv.proto`, and the pages "API" and "data model" of its documentation (v3.5).
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import groupby
from typing import Literal, NamedTuple

INVALID, NOT_FOUND, EXISTS, DENIED, PRECONDITION, OUT_OF_RANGE = 3, 5, 6, 7, 9, 11  # gRPC's codes
UNAVAILABLE, UNAUTHENTICATED = 14, 16
MOST_OPS = 128  # of a transaction, as etcd's --max-txn-ops
LEAST_TTL_S = 1


class Refused(Exception):
    """A request that etcd answers with an error: a gRPC code and etcd's own words."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


class Kv(NamedTuple):
    """A key at one revision; `version` 0: it was deleted in it."""

    key: bytes
    create_revision: int
    mod_revision: int
    version: int
    value: bytes = b""
    lease: int = 0


class Event(NamedTuple):
    kv: Kv
    before: Kv | None

    @property
    def deletes(self) -> bool:
        return not self.kv.version


class Keys(NamedTuple):
    """[key, end): an empty end is the key alone, b"\\0" all from the key on."""

    key: bytes
    end: bytes = b""

    def __contains__(self, key: object) -> bool:
        assert isinstance(key, bytes)
        if not self.end:
            return key == self.key
        return key >= self.key and (self.end == b"\0" or key < self.end)


class Compare(NamedTuple):
    keys: Keys
    target: Literal["VERSION", "CREATE", "MOD", "VALUE", "LEASE"]
    result: Literal["EQUAL", "GREATER", "LESS", "NOT_EQUAL"]
    value: int | bytes


class Range(NamedTuple):
    keys: Keys
    revision: int = 0  # 0: the newest
    limit: int = 0  # 0: none
    order: Literal["NONE", "ASCEND", "DESCEND"] = "NONE"
    target: Literal["KEY", "VERSION", "CREATE", "MOD", "VALUE"] = "KEY"
    count_only: bool = False
    min_mod: int = 0  # 0: any
    max_mod: int = 0
    min_create: int = 0
    max_create: int = 0


class Put(NamedTuple):
    key: bytes
    value: bytes = b""
    lease: int = 0
    ignore_value: bool = False
    ignore_lease: bool = False


class Delete(NamedTuple):
    keys: Keys


class Txn(NamedTuple):
    compare: tuple[Compare, ...]
    success: "tuple[Op, ...]"
    failure: "tuple[Op, ...]"


Op = Range | Put | Delete | Txn


class Ranged(NamedTuple):
    kvs: list[Kv]
    total: int  # of all that lie in the keys, whatever the limit
    more: bool


class PutDone(NamedTuple):
    before: Kv | None


class Deleted(NamedTuple):
    before: list[Kv]


class TxnDone(NamedTuple):
    succeeded: bool
    results: "list[Done]"


Done = Ranged | PutDone | Deleted | TxnDone


@dataclass
class Lease:
    id: int
    ttl_s: int
    ends: float
    keys: set[bytes] = field(default_factory=set)


_TARGETS: dict[str, Callable[[Kv], int | bytes]] = {
    "VERSION": lambda kv: kv.version,
    "CREATE": lambda kv: kv.create_revision,
    "LEASE": lambda kv: kv.lease,
    "MOD": lambda kv: kv.mod_revision,
    "VALUE": lambda kv: kv.value,
    "KEY": lambda kv: kv.key,
}


class Store:
    """One cluster's content with its history. An empty one has revision 1."""

    def __init__(self) -> None:
        self.revision = 1
        self.compacted = 0  # of it and all below nothing but what is still there is known
        self.names: list[bytes] = []  # in order, of all keys with history
        self.past: dict[bytes, list[Kv]] = {}  # by key, oldest first
        self.log: list[Event] = []  # in order of revisions, those compacted gone
        self.leases: dict[int, Lease] = {}
        self.ends: list[tuple[float, int]] = []  # a heap; a lease that was kept alive stands in it again
        self.lease_count = 0
        self.open: list[Event] = []  # of the transaction at work

    # --- reading

    def at(self, key: bytes, revision: int = 0) -> Kv | None:
        past = self.past.get(key, [])
        n = bisect_right(past, revision, key=lambda kv: kv.mod_revision) if revision else len(past)
        return past[n - 1] if n and past[n - 1].version else None

    def range(self, r: Range) -> Ranged:
        """Refused: the revision is compacted, or yet to come."""
        self._readable(r.revision)
        kvs = [kv for key in self._keys(r.keys) if (kv := self.at(key, r.revision)) is not None]
        count = len(kvs)
        if r.count_only:
            return Ranged([], count, False)
        kvs = [
            kv
            for kv in kvs
            if r.min_mod <= kv.mod_revision <= (r.max_mod or kv.mod_revision)
            and r.min_create <= kv.create_revision <= (r.max_create or kv.create_revision)
        ]
        if r.order != "NONE" or r.target != "KEY":
            kvs.sort(key=lambda kv: (_TARGETS[r.target](kv), kv.key), reverse=r.order == "DESCEND")
        more = bool(r.limit) and len(kvs) > r.limit
        return Ranged(kvs[: r.limit] if more else kvs, count, more)

    def _readable(self, revision: int) -> None:
        if revision > self.revision:
            raise Refused(OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision")
        if revision and revision < self.compacted:
            raise Refused(OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted")

    def _keys(self, keys: Keys) -> Sequence[bytes]:
        if not keys.end:
            return [keys.key] if keys.key in self.past else []
        first = bisect_left(self.names, keys.key)
        return self.names[first : None if keys.end == b"\0" else bisect_left(self.names, keys.end)]

    def since(self, revision: int, upto: int, keys: Keys) -> Iterator[tuple[int, list[Event]]]:
        """The events of `revision` to `upto`, both included, by revision. Refused: it is compacted."""
        if revision <= self.compacted:
            raise Refused(OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted")
        first = bisect_left(self.log, revision, key=lambda e: e.kv.mod_revision)
        last = bisect_right(self.log, upto, key=lambda e: e.kv.mod_revision)
        found = [e for e in self.log[first:last] if e.kv.key in keys]
        return ((rev, list(es)) for rev, es in groupby(found, lambda e: e.kv.mod_revision))

    # --- writing: each call is one transaction, and one revision if it writes anything

    def txn(self, op: Op) -> Done:
        """Refused: nothing of it is done."""
        self._check(op, set())
        self.open = []
        done = self._do(op)
        if self.open:
            self.revision += 1
            self.log += self.open
        return done

    def _check(self, op: Op, put: set[bytes]) -> None:
        """All that could be refused half way is refused before."""
        if isinstance(op, Range):
            self._readable(op.revision)
        elif isinstance(op, Put):
            if not op.key:
                raise Refused(INVALID, "etcdserver: key is not provided")
            if op.key in put:
                raise Refused(INVALID, "etcdserver: duplicate key given in txn request")
            put.add(op.key)
            if op.lease and op.lease not in self.leases:
                raise Refused(NOT_FOUND, "etcdserver: requested lease not found")
            if (op.ignore_value or op.ignore_lease) and self.at(op.key) is None:
                raise Refused(INVALID, "etcdserver: key not found")
        elif isinstance(op, Txn):
            for part in (op.success, op.failure):
                own = set(put)
                for one in part:
                    self._check(one, own)
                if len(part) > MOST_OPS:
                    raise Refused(INVALID, "etcdserver: too many operations in txn request")

    def _do(self, op: Op) -> Done:
        if isinstance(op, Range):
            return self.range(op)
        if isinstance(op, Put):
            return PutDone(self._put(op))
        if isinstance(op, Delete):
            kvs = [kv for key in list(self._keys(op.keys)) if (kv := self.at(key)) is not None]
            for kv in kvs:
                self._write(kv, Kv(kv.key, 0, self.revision + 1, 0))
            return Deleted(kvs)
        holds = all(self._holds(c) for c in op.compare)
        return TxnDone(holds, [self._do(one) for one in (op.success if holds else op.failure)])

    def _holds(self, c: Compare) -> bool:
        found = [kv for key in self._keys(c.keys) if (kv := self.at(key)) is not None]
        if not c.keys.end and not found:
            if c.target == "VALUE":  # what is not there has no value to compare
                return False
            found = [Kv(c.keys.key, 0, 0, 0)]
        for kv in found:
            have, want = _TARGETS[c.target](kv), c.value
            less, equal = have < want, have == want  # type: ignore[operator]
            if not {"EQUAL": equal, "NOT_EQUAL": not equal, "LESS": less, "GREATER": not less and not equal}[
                c.result
            ]:
                return False
        return True

    def _put(self, p: Put) -> Kv | None:
        before = self.at(p.key)
        value = before.value if p.ignore_value and before else p.value
        lease = before.lease if p.ignore_lease and before else p.lease
        at = self.revision + 1
        created = before.create_revision if before else at
        self._write(before, Kv(p.key, created, at, before.version + 1 if before else 1, value, lease))
        return before

    def _write(self, before: Kv | None, kv: Kv) -> None:
        if before is not None and before.lease in self.leases:
            self.leases[before.lease].keys.discard(kv.key)
        if kv.lease:
            self.leases[kv.lease].keys.add(kv.key)
        if kv.key not in self.past:
            insort(self.names, kv.key)
        self.past.setdefault(kv.key, []).append(kv)
        self.open.append(Event(kv, before))

    def compact(self, revision: int) -> None:
        if revision <= self.compacted:
            raise Refused(OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted")
        if revision > self.revision:
            raise Refused(OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision")
        self.compacted = revision
        self.log = self.log[bisect_right(self.log, revision, key=lambda e: e.kv.mod_revision) :]
        for key, past in list(self.past.items()):
            n = bisect_right(past, revision, key=lambda kv: kv.mod_revision)
            keep = past[max(0, n - 1) :]
            if keep and not keep[0].version and keep[0].mod_revision <= revision:
                keep = keep[1:]
            if keep:
                self.past[key] = keep
            else:
                del self.past[key]
        self.names = sorted(self.past)

    # --- leases

    def grant(self, now: float, ttl_s: int, id: int = 0) -> Lease:
        if ttl_s <= 0:
            raise Refused(INVALID, "etcdserver: TTL of a lease must be above 0")
        if id in self.leases:
            raise Refused(PRECONDITION, "etcdserver: lease already exists")
        self.lease_count += 1
        lease = Lease(id or 0x694D_0000_0000_0000 + self.lease_count, max(ttl_s, LEAST_TTL_S), 0.0)
        self.leases[lease.id] = lease
        self.renew(now, lease.id)
        return lease

    def renew(self, now: float, id: int) -> int:
        """Seconds that it lives from now on; 0: there is no such lease."""
        if (lease := self.leases.get(id)) is None:
            return 0
        lease.ends = now + lease.ttl_s
        heappush(self.ends, (lease.ends, id))
        return lease.ttl_s

    def revoke(self, id: int) -> None:
        if (lease := self.leases.get(id)) is None:
            raise Refused(NOT_FOUND, "etcdserver: requested lease not found")
        self.open = []
        for key in sorted(lease.keys):
            if (kv := self.at(key)) is not None:
                self._write(kv, Kv(key, 0, self.revision + 1, 0))
        del self.leases[id]
        if self.open:
            self.revision += 1
            self.log += self.open

    def next_end(self) -> float | None:
        """When the next lease ends."""
        while self.ends:
            ends, id = self.ends[0]
            if (lease := self.leases.get(id)) is not None and lease.ends == ends:
                return ends
            heappop(self.ends)
        return None

    def expire(self, now: float) -> None:
        while (ends := self.next_end()) is not None and ends <= now:
            self.revoke(heappop(self.ends)[1])

    def promote(self, now: float) -> None:
        """A new leader: it can't know who was kept alive meanwhile, and begins every lease anew."""
        for id in sorted(self.leases):
            self.renew(now, id)
