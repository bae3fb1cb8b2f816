"""One connection to a member of the stand-in: requests in turn, and at most one watch, which ends it.

It knows no sockets: what it writes goes to `write`, and `end` closes (or resets) the connection.
"""

import json
from collections import deque
from collections.abc import Callable
from typing import Any

from finchladder.lab.etcd import gateway
from finchladder.lab.etcd.auth import Permission
from finchladder.lab.etcd.cluster import Member, Watch
from finchladder.lab.etcd.gateway import Fields, Json, lean
from finchladder.lab.etcd.store import (
    DENIED,
    EXISTS,
    INVALID,
    NOT_FOUND,
    OUT_OF_RANGE,
    PRECONDITION,
    UNAUTHENTICATED,
    UNAVAILABLE,
    Delete,
    Keys,
    Op,
    Put,
    Range,
    Refused,
)
from finchladder.lab.wire import CHUNKED_HEAD, Message, write_chunk, write_response

VERSION = "3.5.0"
STATUS = {
    INVALID: 400,
    NOT_FOUND: 404,
    EXISTS: 409,
    DENIED: 403,
    PRECONDITION: 400,
    OUT_OF_RANGE: 400,
    UNAVAILABLE: 503,
    UNAUTHENTICATED: 401,
}
WORDS = {DENIED: "PermissionDenied", UNAUTHENTICATED: "Unauthenticated", INVALID: "InvalidArgument"}
MOST_WAITING = 1024  # requests of one connection that wait; beyond it the connection is reset


class Later(Exception):
    """It can't be answered yet: the member is behind, or there is no quorum."""


class Session:
    def __init__(
        self,
        member: Member,
        clock: Callable[[], float],
        write: Callable[[bytes], None],
        end: Callable[[bool], None],
    ) -> None:
        self.member, self.cluster, self.clock = member, member.cluster, clock
        self.write, self.end = write, end
        self.waiting: deque[Message] = deque()
        self.watch: Watch | None = None
        self.fields = Fields({})  # of the watch, as it was asked for
        self.told: Callable[[Watch, list[Any]], None] = lambda watch, events: None
        calls: dict[str, Callable[[Fields, str], Json]] = {
            "kv/range": self._range,
            "kv/put": self._write,
            "kv/deleterange": self._write,
            "kv/txn": self._write,
            "kv/compaction": self._compact,
            "lease/grant": self._grant,
            "lease/revoke": self._revoke,
            "kv/lease/revoke": self._revoke,
            "lease/keepalive": self._keep_alive,
            "lease/timetolive": self._time_to_live,
            "kv/lease/timetolive": self._time_to_live,
            "lease/leases": self._leases,
            "kv/lease/leases": self._leases,
            "auth/authenticate": self._authenticate,
            "auth/enable": self._auth,
            "auth/disable": self._auth,
            "auth/user/add": self._auth,
            "auth/user/grant": self._auth,
            "auth/role/add": self._auth,
            "auth/role/grant": self._auth,
            "maintenance/status": self._status,
            "cluster/member/list": self._members,
        }
        self.calls, self.path, self.busy = calls, "", False

    def message(self, m: Message) -> None:
        if len(self.waiting) >= MOST_WAITING:
            self.end(True)
            return
        self.waiting.append(m)
        self.go_on()

    def go_on(self) -> None:
        """Whatever can be answered or told now; to be called after each change of the member."""
        if self.busy:  # by a write of its own
            return
        self.busy = True
        while self.waiting and not self.member.stalled and self.watch is None:
            try:
                self._answer(self.waiting[0])
            except Later:
                break
            self.waiting.popleft()
        self.busy = False
        self._tell()

    # --- plain calls

    def _answer(self, m: Message) -> None:
        path, _, _ = m.target.partition("?")
        if m.method == "GET" and path == "/version":
            return self._say(200, {"etcdserver": VERSION, "etcdcluster": "3.5.0"})
        if m.method == "GET" and path == "/health":
            return self._say(200, {"health": "true" if self.cluster.writable else "false"})
        name = path.removeprefix("/v3/")
        if m.method != "POST" or name == path or (name != "watch" and name not in self.calls):
            return self._say(404, {"code": NOT_FOUND, "message": "Not Found", "error": "Not Found"})
        token = m.headers.get("authorization", "")
        try:
            fields = Fields.read(m.body)
            if name == "watch":
                return self._begin(fields, token)
            self.path = name
            answer = self.calls[name](fields, token)
        except Refused as e:
            return self._say(STATUS[e.code], {"error": str(e), "code": e.code, "message": str(e)})
        self._say(200, answer)

    def _say(self, status: int, answer: Json) -> None:
        body = json.dumps(answer, separators=(",", ":")).encode()
        self.write(write_response(status, body, {"Content-Type": "application/json"}))

    def header(self, revision: int | None = None) -> Json:
        revision = self.member.revision if revision is None else revision
        cluster = self.cluster
        return lean(
            cluster_id=cluster.id, member_id=self.member.id, revision=revision, raft_term=cluster.term
        )

    def _allowed(self, token: str, op: Op) -> None:
        now, auth = self.clock(), self.cluster.auth
        if isinstance(op, Range):
            auth.check(now, token, op.keys)
        elif isinstance(op, Put):
            auth.check(now, token, Keys(op.key), writes=True)
        elif isinstance(op, Delete):
            auth.check(now, token, op.keys, writes=True)
        else:
            for c in op.compare:
                auth.check(now, token, c.keys)
            for one in (*op.success, *op.failure):
                self._allowed(token, one)

    def _range(self, f: Fields, token: str) -> Json:
        asked = gateway.range_of(f)
        self._allowed(token, asked)
        member = self.member
        if not f.bool("serializable") and not (member.readable and self.cluster.writable):
            raise Later
        if asked.revision > member.revision:
            raise Refused(OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision")
        read = asked._replace(revision=asked.revision or member.revision)
        return {"header": self.header()} | gateway.done_json(asked, self.cluster.store.range(read), f)

    def _writable(self) -> None:
        if not (self.cluster.writable and self.member.readable):
            raise Later

    def _write(self, f: Fields, token: str) -> Json:
        op: Op
        if self.path == "kv/put":
            op = gateway.put_of(f)
        elif self.path == "kv/deleterange":
            op = Delete(f.keys())
        else:
            op = gateway.txn_of(f)
        self._allowed(token, op)
        self._writable()
        done = self.cluster.store.txn(op)
        answer = {"header": self.header()} | gateway.done_json(op, done, f)
        self.cluster.written()
        return answer

    def _compact(self, f: Fields, token: str) -> Json:
        self.cluster.auth.check(self.clock(), token, None)
        self._writable()
        self.cluster.store.compact(f.int("revision"))
        return {"header": self.header()}

    # --- leases

    def _grant(self, f: Fields, token: str) -> Json:
        self.cluster.auth.check(self.clock(), token, None)
        self._writable()
        lease = self.cluster.store.grant(self.clock(), f.int("TTL"), f.int("ID"))
        self.cluster.written()  # somebody has to see to its end
        return {"header": self.header()} | lean(ID=lease.id, TTL=lease.ttl_s)

    def _revoke(self, f: Fields, token: str) -> Json:
        self.cluster.auth.check(self.clock(), token, None)
        self._writable()
        self.cluster.store.revoke(f.int("ID"))
        self.cluster.written()
        return {"header": self.header()}

    def _keep_alive(self, f: Fields, token: str) -> Json:
        self.cluster.auth.check(self.clock(), token, None)
        self._writable()
        left = self.cluster.store.renew(self.clock(), f.int("ID"))
        self.cluster.written()
        return {"result": {"header": self.header()} | lean(ID=f.int("ID"), TTL=left)}

    def _time_to_live(self, f: Fields, token: str) -> Json:
        self.cluster.auth.check(self.clock(), token, None)
        if (lease := self.cluster.store.leases.get(f.int("ID"))) is None:
            return {"header": self.header()} | lean(ID=f.int("ID"), TTL=-1)
        keys = [gateway.base64(key) for key in sorted(lease.keys)] if f.bool("keys") else []
        left = int(max(0.0, lease.ends - self.clock()))
        return {"header": self.header()} | lean(ID=lease.id, TTL=left, grantedTTL=lease.ttl_s, keys=keys)

    def _leases(self, f: Fields, token: str) -> Json:
        self.cluster.auth.check(self.clock(), token, None)
        return {"header": self.header()} | lean(leases=[lean(ID=id) for id in self.cluster.store.leases])

    # --- users, and the cluster itself

    def _authenticate(self, f: Fields, token: str) -> Json:
        given = self.cluster.auth.authenticate(self.clock(), f.text("name"), f.text("password"))
        return {"header": self.header(), "token": given}

    def _auth(self, f: Fields, token: str) -> Json:
        """Once it is on, root's alone."""
        auth = self.cluster.auth
        auth.check(self.clock(), token, Keys(b"\0", b"\0"), writes=True)
        match self.path:
            case "auth/enable":
                auth.enable()
            case "auth/disable":
                auth.on = False
            case "auth/user/add":
                auth.add_user(f.text("name"), f.text("password"))
            case "auth/user/grant":
                auth.roles_of[f.text("user")].append(f.text("role"))
            case "auth/role/add":
                auth.add_role(f.text("name"))
            case _:
                if (perm := f.part("perm")) is None:
                    raise Refused(INVALID, "etcdserver: permission not given")
                kind = perm.one_of("permType", ("READ", "WRITE", "READWRITE"))
                auth.add_role(f.text("name"), Permission(kind, perm.keys()))
        return {"header": self.header()}

    def _status(self, f: Fields, token: str) -> Json:
        cluster = self.cluster
        size = sum(len(kv.value) for past in cluster.store.past.values() for kv in past)
        return {"header": self.header()} | lean(
            version=VERSION,
            dbSize=size,
            leader=cluster.members[0].id,
            raftIndex=cluster.store.revision,
            raftTerm=cluster.term,
        )

    def _members(self, f: Fields, token: str) -> Json:
        return {
            "header": self.header(),
            "members": [lean(ID=m.id, name=m.name) for m in self.cluster.members],
        }

    # --- the watch

    def _begin(self, f: Fields, token: str) -> None:
        if (asked := f.part("create_request")) is None:
            raise Refused(INVALID, "etcdserver: a watch must begin with a create_request")
        keys, start = asked.keys(), asked.int("start_revision")
        self.fields = asked
        self.write(CHUNKED_HEAD)
        try:
            self.cluster.auth.check(self.clock(), token, keys)
        except Refused as e:
            return self.cancel(e, created=True)
        self.watch = Watch(
            self.member,
            asked.int("watch_id"),
            keys,
            start or self.member.revision + 1,
            asked.bool("progress_notify"),
        )
        self.watch.quiet_since = self.clock()
        self._result(self.header(), created=True)

    def _result(self, header: Json, **more: Any) -> int:
        id = self.watch.id if self.watch is not None else 0
        result = {"result": {"header": header} | lean(watch_id=id, **more)}
        data = json.dumps(result, separators=(",", ":")).encode() + b"\n"
        self.write(write_chunk(data))
        return len(data)

    def _tell(self) -> None:
        if (watch := self.watch) is None or self.member.stalled:
            return
        try:
            while (response := watch.catch_up()) is not None:
                kinds = [f.upper() if isinstance(f, str) else f for f in self.fields.get("filters") or []]
                events = [
                    e
                    for e in response.events
                    if not ({"NODELETE", 1} if e.deletes else {"NOPUT", 0}) & set(kinds)
                ]
                if events:
                    self._tell_events(watch, response.revision, events)
        except Refused as e:
            self.cancel(e, compact_revision=self.cluster.store.compacted)

    def _tell_events(self, watch: Watch, revision: int, events: list[Any]) -> None:
        header, prev = self.header(revision), self.fields.bool("prev_kv")
        told = [gateway.event_json(e, prev) for e in events]
        parts: list[list[Json]] = [[]]
        size = 0
        for one in told:
            length = len(json.dumps(one, separators=(",", ":")))
            if parts[-1] and size + length > self.cluster.fragment and self.fields.bool("fragment"):
                parts.append([])
                size = 0
            parts[-1].append(one)
            size += length
        for n, part in enumerate(parts, 1):
            self._result(header, fragment=n < len(parts), events=part)
        watch.quiet_since = self.clock()
        self.told(watch, events)

    def progress(self) -> None:
        """An empty response: nothing up to the header's revision is still to come."""
        if self.watch is not None and not self.member.stalled:
            self.watch.quiet_since = self.clock()
            self._result(self.header())

    def cancel(self, why: Refused, **more: Any) -> None:
        text = str(why)
        if why.code in WORDS:
            text = f"rpc error: code = {WORDS[why.code]} desc = {text}"
        if why.code == OUT_OF_RANGE:
            text = "mvcc: required revision has been compacted"
        self._result(self.header(), canceled=True, cancel_reason=text, **more)
        self.watch = None
        self.write(b"0\r\n\r\n")
