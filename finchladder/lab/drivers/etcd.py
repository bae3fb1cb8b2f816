"""The etcd stand-in as a party of a run: it is told of the real servers as discovery is, and at once.

Each dispatcher has members of its own, views of one store, so that it is known whom it told what, and when.
"""

import time
from random import Random
from typing import Any

import msgspec

from finchladder.lab.control import Order
from finchladder.lab.drivers.base import Process, Role
from finchladder.lab.etcd.cluster import Backup, Cluster, Watch
from finchladder.lab.etcd.server import Server
from finchladder.lab.etcd.store import Delete, Event, Keys, Put
from finchladder.lab.experiment import Fault
from finchladder.lab.records import Struck, Told

PREFIX = "/finchladder"
KEPT = 10_000  # revisions of history; older ones are compacted, as by --auto-compaction-mode=revision


class Etcd(Role):
    """Orders: `addresses`, `states`, and `fault` of the kinds that begin with etcd_.

    A drain is put as a notice, PREFIX/drain/NAME, and written to the ledger as it is put (`etcd_put`).
    """

    def __init__(self, process: Process) -> None:
        super().__init__(process)
        plan = process.plan
        self.names = [name for name in plan.dispatchers if ">" not in name]
        self.each = plan.experiment.etcd.members
        self.cluster = Cluster(self.each * len(self.names))
        self.servers: list[Server] = []
        self.plans = {s.name: s for s in plan.servers}
        self.addresses: dict[str, str] = {}
        self.states: dict[str, tuple[str, float]] = {}
        self.backups: list[Backup] = []
        self.rng = Random(plan.seed)

    async def open(self) -> dict[str, list[str]]:
        host = self.process.plan.host
        for member in self.cluster.members:
            self.servers.append(Server(member, host, told=self._told))
        urls = [await server.open() for server in self.servers]
        return {name: urls[i * self.each : (i + 1) * self.each] for i, name in enumerate(self.names)}

    def order(self, order: Order) -> None:
        if order.what == "addresses":
            self.addresses |= order.data.get("") or next(iter(order.data.values()), {})
            self._put(self.states)
        elif order.what == "states":
            states = {name: (state, born) for name, (state, born) in order.data.items()}
            self.states |= states
            self._put(states)
        elif order.what == "fault":
            self._fault(order.data)

    def _put(self, states: dict[str, tuple[str, float]]) -> None:
        store, now = self.cluster.store, time.monotonic()
        for name, (state, born) in states.items():
            if name not in self.addresses:
                continue
            member, drain = (f"{PREFIX}/{kind}/{name}".encode() for kind in ("members", "drain"))
            if state == "draining":
                store.txn(Put(drain))
            else:
                store.txn(Delete(Keys(drain)))
                store.txn(Put(member, self._entry(name, born)) if state == "ready" else Delete(Keys(member)))
            self.process.put(Struck(now, "etcd_put", name, state))
        if store.revision - store.compacted > 2 * KEPT:
            store.compact(store.revision - KEPT)
        self.cluster.written()

    def _entry(self, name: str, born: float) -> bytes:
        plan, s = self.process.plan, self.plans[name]
        return msgspec.json.encode(
            {
                "name": name,
                "address": self.addresses[name],
                "status": "ready",
                "zone": s.zone,
                "type": plan.experiment.pool[s.pool].kind,
                "group": s.group,
                "since_ms": round((born + plan.wall) * 1000) if born else 0,
            }
        )

    def _told(self, watch: Watch, events: list[Event]) -> None:
        now, name = time.monotonic(), self.names[watch.member.index // self.each]
        for e in events:
            kind, _, server = e.kv.key.decode().removeprefix(f"{PREFIX}/").partition("/")
            if server in self.states:
                # what the watch says of the server as a whole, notice and entry together
                state, born = self.states[server]
                if (kind == "drain") == (state == "draining"):
                    self.process.put(Told(name, server, state, born, now))  # type: ignore[arg-type]
        self.process.count(len(events))

    def _fault(self, data: dict[str, Any]) -> None:
        fault = msgspec.convert({k: v for k, v in data.items() if k not in ("targets", "end")}, Fault)
        on, cluster = not data.get("end"), self.cluster
        share = fault.share if isinstance(fault.share, float | int) else 0.0
        every = range(len(cluster.members))
        some = self.rng.sample(every, max(1, round(share * len(every)))) if share else every
        match fault.kind:
            case "etcd_stall":
                cluster.stall(*(some if on else ()), on=on, now=self.process.loop.time())
            case "etcd_cut":
                cluster.cut(*(some if on else ()), on=on)
            case "etcd_lag":
                cluster.lag(*(some if on else ()), on=on, lies=True)
            case "etcd_restore" if on:
                self.backups.append(cluster.backup())
                cluster.cut()
            case "etcd_restore":  # as it was when it was cut; all that was put since is put again then
                cluster.restore(self.backups.pop(), self.process.loop.time(), cluster.id + 1)
                self._put(self.states)
            case _:
                raise ValueError(f"no fault of etcd: {fault.kind}")

    def close(self) -> None:
        for server in self.servers:
            server.close()
