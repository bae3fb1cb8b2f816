"""Discovery: a list of real servers in versions, told to each dispatcher late, in order, and with troubles.

Each dispatcher has an agent of its own, which answers at once with what it has been sent. A change gets a
version and comes to each agent after a delay of its own, never before an earlier change. Cost of a change:
O(changed x dispatchers); of a whole list: O(servers). Bounds: LOG changes are kept for each agent, and one
that watches from further back gets the whole list; changes on their way are those of the longest delay.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from heapq import heappop, heappush
from random import Random
from typing import Any, Literal, NamedTuple

import msgspec

from finchladder.lab import records
from finchladder.lab.experiment import Discovery
from finchladder.lab.models.realserver import draw

State = Literal["ready", "draining", "gone"]
LOG = 10_000  # changed entries kept for each agent
_encode = msgspec.json.Encoder().encode


class Member(NamedTuple):
    """A real server as discovery knows it. `born`: monotonic time of its last start; 0: long ago."""

    name: str
    zone: str
    kind: str = ""
    group: int = 0
    state: State = "gone"
    weight: float = 1.0
    born: float = 0.0


class Line(NamedTuple):
    """Bytes for one watch or question, and what they tell (`told.at`: to be set when they are written)."""

    at: float
    watch: int  # as `watch` or `ask` returned it
    data: bytes  # a JSON object and a line feed; an empty line while nothing changes
    told: list[records.Told]
    last: bool  # the answer of `ask`: whole


class _Version(NamedTuple):
    number: int
    changed: list[Member]
    hidden: frozenset[str] | None = None  # not None: told as a whole list, without these


class _Watch:
    def __init__(self, agent: "_Agent", position: int, once: bool) -> None:
        self.agent, self.position, self.once = agent, position, once
        self.first = True
        self.empty_due = 0.0


class _Agent:
    def __init__(self, name: str) -> None:
        self.name = name
        self.index = 0
        self.members: dict[str, Member] = {}
        self.log: deque[tuple[int, Member]] = deque()
        self.least = 0  # patches can be had for positions from this version on
        self.hidden: frozenset[str] = frozenset()
        self.known: set[str] = set()  # told as ready or draining
        self.last_due = 0.0
        self.extra_s = 0.0
        self.silent = False
        self.watches: dict[int, _Watch] = {}


class DiscoveryModel:
    """After any other call, `advance(now)` has the lines to write. `wall`: wall time minus monotonic time."""

    def __init__(self, config: Discovery, dispatchers: Iterable[str], rng: Random, wall: float = 0.0) -> None:
        self.config, self.rng, self.wall = config, rng, wall
        self.index = 0
        self.members: dict[str, Member] = {}  # all ever described, gone ones too
        self._agents = {name: _Agent(name) for name in dispatchers}
        self._addresses: dict[str, dict[str, str]] = {}
        self._heap: list[tuple[float, int, Literal["see", "empty", "renew", "vanish"], Any]] = []
        self._count = 0
        self._out: list[Line] = []
        self._watches: dict[int, _Watch] = {}
        self._sizes: dict[str, float] = {}  # weights before the first live ones

    # ---- the deployment

    def describe(self, members: Iterable[Member]) -> None:
        """Real servers that may come. They are listed from the change that says `ready` of them."""
        self.members.update((m.name, m) for m in members)

    def addresses(self, dispatcher: str, addresses: Mapping[str, str]) -> None:
        """host:port of real servers as that dispatcher sees them; "": all that have none of their own."""
        self._addresses.setdefault(dispatcher, {}).update(addresses)

    def change(self, now: float, states: Mapping[str, tuple[State, float]]) -> int:
        """{name: (state, born)}, in one version, which is returned. KeyError: a name never described."""
        if not self.index and self.config.renew_share > 0:
            self._push(now + self.config.renew_every_s, "renew", None)
        return self._publish(
            now, [self.members[n]._replace(state=s, born=b) for n, (s, b) in states.items()], None
        )

    def weigh(self, now: float, held: Mapping[str, float]) -> None:
        """{name: requests held per core} of listed ones: told as live weights, in one version."""
        self._run(now)
        changed = []
        for name, each in held.items():
            m = self.members.get(name)
            if m is None or m.state == "gone":
                continue
            weight = round(self._sizes.setdefault(name, m.weight) / (1 + each), 4)
            if weight != m.weight:
                changed.append(m._replace(weight=weight))
        if changed:
            self._publish(now, changed, None)

    # ---- troubles; `names`: the dispatchers concerned, None: all

    def silent(self, now: float, on: bool, names: Iterable[str] | None = None) -> None:
        """Nothing is written, not even empty lines; when it ends, what came meanwhile follows at once."""
        self._run(now)
        for agent in self._chosen(names):
            agent.silent = on
            if not on:
                self._tell(now, agent)

    def behind(self, now: float, extra_s: float, names: Iterable[str] | None = None) -> None:
        """Changes from now on come so much later; 0 ends it. What was delayed stays so, as what follows."""
        self._run(now)
        for agent in self._chosen(names):
            agent.extra_s = extra_s

    def vanish(self, now: float, share: float, back_s: float = 1.0) -> frozenset[str]:
        """A share of the entries is missing from one whole list and back in the next, `back_s` later."""
        listed = [n for n, m in self.members.items() if m.state != "gone"]
        gone = frozenset(self.rng.sample(listed, round(share * len(listed))))
        self._publish(now, [], gone)
        self._push(now + back_s, "vanish", None)
        return gone

    # ---- what dispatchers ask

    def watch(self, now: float, dispatcher: str, index: int) -> int:
        """A watch from that version on: first what has changed since, or the whole list; then each change."""
        return self._open(now, dispatcher, index, once=False)

    def ask(self, now: float, dispatcher: str) -> int:
        """The whole list, once."""
        return self._open(now, dispatcher, -1, once=True)

    def unwatch(self, watch: int) -> None:
        if (found := self._watches.pop(watch, None)) is not None:
            del found.agent.watches[watch]

    # ---- time

    def next_due(self) -> float | None:
        """When `advance` has something to do or to hand out; None: nothing, unless something is called."""
        if self._out:
            return self._out[0].at
        return self._heap[0][0] if self._heap else None

    def advance(self, now: float) -> list[Line]:
        self._run(now)
        out, self._out = self._out, []
        return out

    def _run(self, now: float) -> None:
        while self._heap and self._heap[0][0] <= now:
            at, _, kind, what = heappop(self._heap)
            if kind == "see":
                self._see(at, *what)
            elif kind == "empty":
                self._empty(at, what)
            elif kind == "vanish":
                self._publish(at, [], frozenset())
            else:
                self._renew(at)
                self._push(at + self.config.renew_every_s, "renew", None)

    def _push(self, at: float, kind: Literal["see", "empty", "renew", "vanish"], what: object) -> None:
        self._count += 1
        heappush(self._heap, (at, self._count, kind, what))

    def _chosen(self, names: Iterable[str] | None) -> list[_Agent]:
        return list(self._agents.values()) if names is None else [self._agents[n] for n in names]

    def _renew(self, now: float) -> None:
        listed = [m for m in self.members.values() if m.state != "gone"]
        chosen = self.rng.sample(listed, round(self.config.renew_share * len(listed)))
        if chosen:
            self._publish(
                now, [m._replace(weight=round(self.rng.uniform(0.5, 1.5), 3)) for m in chosen], None
            )

    def _publish(self, now: float, changed: list[Member], hidden: frozenset[str] | None) -> int:
        self.index += 1
        self.members.update((m.name, m) for m in changed)
        version = _Version(self.index, changed, hidden)
        config, span = self.config, self.config.delay_s
        if config.start_delay_s is not None and any(m.state == "ready" for m in changed):
            span = config.start_delay_s
        common_s = draw(span, self.rng) if config.spread_s is not None else 0.0
        for agent in self._agents.values():
            own_s = draw(span, self.rng) if config.spread_s is None else self.rng.uniform(0, config.spread_s)
            agent.last_due = max(agent.last_due, now + common_s + own_s + agent.extra_s)
            self._push(agent.last_due, "see", (agent, version))
        return self.index

    def _see(self, at: float, agent: _Agent, version: _Version) -> None:
        agent.index = version.number
        for member in version.changed:
            if member.state == "gone":
                agent.members.pop(member.name, None)
            else:
                agent.members[member.name] = member
            agent.log.append((version.number, member))
        if version.hidden is not None:
            agent.hidden = version.hidden
            agent.log.clear()
            agent.least = version.number
        while len(agent.log) > LOG:
            agent.least = agent.log.popleft()[0]
        self._tell(at, agent)

    # ---- lines

    def _open(self, now: float, dispatcher: str, index: int, once: bool) -> int:
        self._run(now)
        agent = self._agents[dispatcher]
        self._count += 1
        number = self._count
        watch = agent.watches[number] = self._watches[number] = _Watch(agent, index, once)
        if not once:
            watch.empty_due = now + self.config.empty_line_s
            self._push(watch.empty_due, "empty", number)
        self._tell(now, agent)
        return number

    def _empty(self, at: float, number: int) -> None:
        if (watch := self._watches.get(number)) is None:
            return
        if at >= watch.empty_due:
            if not watch.agent.silent:
                self._out.append(Line(at, number, b"\n", [], False))
            watch.empty_due = at + self.config.empty_line_s
        self._push(watch.empty_due, "empty", number)

    def _tell(self, at: float, agent: _Agent) -> None:
        if agent.silent:
            return
        for number, watch in list(agent.watches.items()):
            if not watch.first and watch.position >= agent.index:
                continue
            # a position that this list never had is none: the whole list, too
            whole = not agent.least <= watch.position <= agent.index
            told = self._whole(at, agent) if whole else self._patch(at, agent, watch.position)
            members, told_records = told
            data = {
                "index": agent.index,
                "snapshot": whole,
                "endpoints": [e for m in members if (e := self._endpoint(agent, m)) is not None],
            }
            self._out.append(Line(at, number, _encode(data) + b"\n", told_records, watch.once))
            watch.first, watch.position = False, agent.index
            watch.empty_due = at + self.config.empty_line_s
            if watch.once:
                self.unwatch(number)

    def _whole(self, at: float, agent: _Agent) -> tuple[list[Member], list[records.Told]]:
        members = [m for m in agent.members.values() if m.name not in agent.hidden]
        told = [records.Told(agent.name, m.name, m.state, m.born, at) for m in members]
        present = {m.name for m in members}
        for name in sorted(agent.known - present):
            told.append(records.Told(agent.name, name, "gone", self.members[name].born, at))
        agent.known = present
        return members, told

    def _patch(self, at: float, agent: _Agent, since: int) -> tuple[list[Member], list[records.Told]]:
        latest: dict[str, Member] = {}
        for index, member in reversed(agent.log):
            if index <= since:
                break
            if member.name not in agent.hidden:
                latest.setdefault(member.name, member)
        members = list(reversed(latest.values()))
        for m in members:
            (agent.known.discard if m.state == "gone" else agent.known.add)(m.name)
        return members, [records.Told(agent.name, m.name, m.state, m.born, at) for m in members]

    def _endpoint(self, agent: _Agent, member: Member) -> dict[str, object] | None:
        """None: its address is not known, so it can't be listed."""
        address = self._addresses.get(agent.name, {}).get(member.name)
        address = address or self._addresses.get("", {}).get(member.name)
        if address is None:
            return None
        return {
            "name": member.name,
            "address": address,
            "zone": member.zone,
            "type": member.kind,
            "group": member.group,
            "status": member.state,
            "weight": member.weight,
            "since_ms": round((member.born + self.wall) * 1000) if member.born else 0,
        }
