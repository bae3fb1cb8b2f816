"""The etcd stand-in: its conformance to etcd's API, also with an unmodified public client."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
from etcd3gw.client import Etcd3Client

from finchladder.lab.etcd.cluster import Cluster
from finchladder.lab.etcd.gateway import base64
from finchladder.lab.etcd.server import Etcd
from finchladder.lab.etcd.session import Session
from finchladder.lab.etcd.store import Compare, Delete, Keys, Put, Range, Refused, Store, Txn, TxnDone
from finchladder.lab.wire import Message

ALL = Keys(b"\0", b"\0")


def test_revisions_versions_and_history() -> None:
    s = Store()
    s.txn(Put(b"a", b"1"))
    s.txn(Put(b"a", b"2"))
    s.txn(Delete(Keys(b"a")))
    s.txn(Delete(Keys(b"a")))  # the key does not exist, so there is no new revision
    s.txn(Put(b"a", b"3"))
    assert [(kv.create_revision, kv.mod_revision, kv.version) for kv in s.past[b"a"]] == [
        (2, 2, 1),
        (2, 3, 2),
        (0, 4, 0),
        (5, 5, 1),
    ]
    assert [s.range(Range(Keys(b"a"), rev)).total for rev in (1, 2, 4, 5)] == [0, 1, 0, 1]
    assert [(rev, len(es)) for rev, es in s.since(3, 5, ALL)] == [(3, 1), (4, 1), (5, 1)]
    s.compact(4)
    assert s.range(Range(Keys(b"a"), 4)).total == 0
    assert b"a" in s.past
    for call in (lambda: s.range(Range(ALL, 3)), lambda: s.since(4, 5, ALL), lambda: s.range(Range(ALL, 9))):
        with pytest.raises(Refused, match="required revision"):
            call()


def test_a_transaction_creates_one_revision_or_none() -> None:
    s = Store()
    done = s.txn(Txn((Compare(Keys(b"a"), "CREATE", "EQUAL", 0),), (Put(b"a"), Put(b"b")), (Delete(ALL),)))
    assert isinstance(done, TxnDone)
    assert done.succeeded
    assert s.revision == 2
    assert s.past[b"b"][0].mod_revision == 2
    with pytest.raises(Refused, match="duplicate"):
        s.txn(Txn((), (Put(b"c"), Put(b"c")), ()))
    with pytest.raises(Refused, match="lease not found"):
        s.txn(Txn((), (Put(b"c"), Put(b"d", lease=7)), ()))
    assert s.revision == 2
    assert b"c" not in s.past
    done = s.txn(Txn((Compare(ALL, "VERSION", "GREATER", 1),), (), (Delete(ALL),)))
    assert isinstance(done, TxnDone)
    assert not done.succeeded
    assert s.range(Range(ALL)).total == 0
    assert s.revision == 3


def test_lease_keys_expire_together_and_a_new_leader_renews_leases() -> None:
    s = Store()
    lease = s.grant(10.0, 5)
    for key in (b"a", b"b", b"c"):
        s.txn(Put(key, lease=lease.id))
    s.txn(Put(b"c"))  # the key is no longer attached to the lease
    s.promote(14.0)
    s.expire(18.0)
    assert s.range(Range(ALL)).total == 3
    assert s.renew(18.0, lease.id) == 5
    assert s.next_end() == 23.0
    s.expire(23.0)
    assert [kv.key for kv in s.range(Range(ALL)).kvs] == [b"c"]
    assert s.revision == 6
    assert s.renew(24.0, lease.id) == 0


class Wire:
    """A connection to a member, without sockets."""

    def __init__(self, cluster: Cluster, member: int = 0) -> None:
        self.out: list[bytes] = []
        self.session = Session(cluster.members[member], lambda: 0.0, self.out.append, lambda reset: None)
        cluster.members[member].changed = self.session.go_on

    def ask(self, path: str, **body: Any) -> None:
        self.session.message(
            Message({}, json.dumps(body).encode(), True, method="POST", target=f"/v3/{path}")
        )

    def told(self) -> list[dict[str, Any]]:
        """Returns the JSON objects received since the last call."""
        found = [
            json.loads(line) for data in self.out for line in data.split(b"\r\n") if line.startswith(b"{")
        ]
        self.out.clear()
        return found


def key(name: str, **more: Any) -> dict[str, Any]:
    return {"key": base64(name.encode())} | more


def test_a_lagging_or_stalled_member_responds_late_or_with_old_data() -> None:
    c = Cluster(2)
    wire, other = Wire(c, 0), Wire(c, 1)
    wire.ask("kv/put", **key("a"))
    c.lag(1)
    wire.ask("kv/put", **key("a"))
    wire.told()
    other.ask("kv/range", **key("a", serializable=True))
    assert other.told()[0]["header"]["revision"] == "2"
    other.ask("kv/range", **key("a"))
    assert other.told() == []  # a linearizable read waits until the member has caught up
    c.lag(1, on=False)
    assert other.told()[0]["kvs"][0]["version"] == "2"
    c.lag(1, lies=True)
    wire.ask("kv/put", **key("a"))
    other.ask("kv/range", **key("a"))
    assert other.told()[0]["header"]["revision"] == "3"
    c.stall(0)
    wire.told()
    wire.ask("kv/range", **key("a"))
    assert wire.told() == []
    c.stall(0, on=False)
    assert wire.told()[0]["header"]["revision"] == "4"


@pytest.mark.parametrize(
    ("asked", "events"),
    [
        ({"start_revision": 3}, [["a", "b"], ["DELETE a"]]),
        ({"start_revision": "4", "filters": ["NODELETE"]}, []),
        ({"start_revision": 3, "fragment": True}, [["a"], ["b"], ["DELETE a"]]),
    ],
)
def test_a_watch_starts_at_its_revision(asked: dict[str, Any], events: list[list[str]]) -> None:
    c = Cluster()
    c.fragment = 10
    wire = Wire(c)
    c.store.txn(Put(b"a"))
    c.store.txn(Txn((), (Put(b"a", b"2"), Put(b"b")), ()))
    wire.ask("watch", create_request=key("a", range_end=base64(b"c"), **asked))
    c.store.txn(Delete(Keys(b"a")))
    c.written()
    created, *rest = (told["result"] for told in wire.told())
    assert created["created"]
    assert created["header"]["revision"] == "3"
    names = {base64(b"a"): "a", base64(b"b"): "b"}
    assert events == [
        [" ".join(filter(None, (e.get("type"), names[e["kv"]["key"]]))) for e in told["events"]]
        for told in rest
    ]
    fragments = [bool(told.get("fragment")) for told in rest]
    assert fragments == ([True, False, False] if "fragment" in asked else [False] * len(rest))


def test_a_compacted_watch_is_canceled_and_a_restored_backup_is_older() -> None:
    c = Cluster()
    wire = Wire(c)
    for _ in range(4):
        c.store.txn(Put(b"a"))
    backup = c.backup()
    c.store.txn(Put(b"a"))
    c.store.compact(4)
    wire.ask("watch", create_request=key("a", start_revision=3))
    _, ended = wire.told()
    assert ended["result"]["canceled"]
    assert ended["result"]["compact_revision"] == "4"
    c.restore(backup, 0.0, cluster_id=7)
    assert c.members[0].revision == 5
    assert Wire(c).session.header()["cluster_id"] == "7"


def client(etcd: Etcd) -> Etcd3Client:
    return Etcd3Client(host="127.0.0.1", port=etcd.servers[0].port, timeout=5)


def by_public_client(c: Etcd3Client) -> None:
    """Uses keys, leases and watches as the documentation of etcd3gw shows."""
    assert c.put("k1", "v1")
    assert c.get("k1") == [b"v1"]
    assert c.create("k2", "v")
    assert not c.create("k2", "v")
    assert c.replace("k2", "v", "w")
    assert not c.replace("k2", "v", "x")
    found = c.get_prefix("k", sort_order="descend", sort_target="key")
    told = [(value, kv["key"], kv["version"]) for value, kv in found]
    assert told == [(b"w", b"k2", "2"), (b"v1", b"k1", "1")]
    assert c.delete("k1")
    assert not c.delete("k1")
    assert c.get("k1") == []
    lease = c.lease(ttl=30)
    assert c.put("k3", "v", lease=lease)
    assert lease.keys() == [b"k3"]
    assert lease.refresh() == 30
    assert 28 <= lease.ttl() <= 30
    events, cancel = c.watch_prefix("k", start_revision=2)
    assert [next(events)["kv"]["key"] for _ in range(5)] == [b"k1", b"k2", b"k2", b"k1", b"k3"]
    assert lease.revoke()
    assert next(events)["type"] == "DELETE"
    assert c.get("k3") == []
    cancel()
    with c.lock("l", ttl=5) as lock:
        assert lock.is_acquired()
        assert not c.lock("l", ttl=5).acquire()
    assert c.status()["version"]
    assert len(c.members()) == 1


def test_an_unmodified_public_client_works() -> None:
    async def serve_while(calls: Callable[[Etcd3Client], None]) -> None:
        etcd = Etcd()
        await etcd.open()
        try:
            await asyncio.to_thread(calls, client(etcd))
        finally:
            etcd.close()

    asyncio.run(asyncio.wait_for(serve_while(by_public_client), 20))
