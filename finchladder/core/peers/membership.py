"""Who of the listed dispatchers is there: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health.

Each period one other member is pinged; who does not answer is asked through others, then suspected, and after
a while held for gone, unless it says itself that it is there. What is held travels as rumours beside all that
is said. Incarnations order what is said of one member; only it raises its own.

| held of a member | heard, incarnation | held then |
| --- | --- | --- |
| anything | alive, higher | alive |
| alive, suspected or gone | suspected, higher | suspected |
| alive | suspected, the same | suspected |
| suspected | suspected, the same, by another accuser | suspected, and for gone sooner |
| anything but gone | gone, the same or higher | gone |
| suspected | nothing, for its time | gone |
| gone | gone, higher | gone |
| oneself | suspected or gone, the same or higher | oneself alive, one higher than that |
| oneself | alive, higher: of a former life | oneself alive, one higher than that |
| anything | anything else | as before |

A listed member that nobody has heard of is held for gone, with incarnation 0, and looked for with the others
that are gone: one in LOOK_FOR pings goes to one of those, so that what was split heals. Nothing that must be
safe rests on any of it.

Costs, O(1) in the number of members each: a ping a period, at most HELPERS questions for one that is silent,
MOST_RUMOURS with anything said. Memory: a record for each listed member.
"""

from collections.abc import Iterable
from math import ceil, log, log10
from random import Random
from typing import NamedTuple

from finchladder.core.peers.messages import MOST_INCARNATION, Kind, Packet, Rumour, Standing

HELPERS = 3
MOST_HEALTH = 8  # waits grow up to so many times, plus one, while this process itself seems to be unwell
MOST_RUMOURS = 12  # with one packet
PIECE = 4  # of them of the table in turn, where there is nothing new: what a lost rumour left out
REPEATS = 3.0  # a rumour is told so many times the logarithm of the members
ACCUSERS = 2  # besides the first, that bring a suspicion to its shortest time
LONGEST = 3.0  # times the shortest: how long a suspicion of one accuser lasts
LOOK_FOR = 4
LATE = 0.5  # of a period: later than that, silence is taken for one's own lateness


class Timing(NamedTuple):
    period_s: float = 0.5
    answer_s: float = 0.15  # for a direct answer, before helpers are asked
    suspicion: float = 4.0  # periods, times the logarithm (of 10) of the members, of the shortest suspicion


class Say(NamedTuple):
    kind: Kind
    to: str
    number: int = 0
    about: str = ""


class Member:
    __slots__ = ("name", "incarnation", "standing", "since", "until", "accusers", "tell", "heard_at")

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation, self.standing = 0, Standing.GONE
        self.since = self.until = 0.0
        self.accusers: set[str] = set()  # at most ACCUSERS + 1
        self.tell = 0  # times that what is held of it is still to be told
        self.heard_at = -1.0  # when it said anything itself

    def rumour(self) -> Rumour:
        return Rumour(self.name, self.incarnation, self.standing)


class _Probe:
    """A ping of one's own that is not answered yet, or one for another that asked."""

    __slots__ = ("target", "ask_at", "end_at", "helpers", "nacks", "asker", "asked")

    def __init__(self, target: str, ask_at: float, end_at: float, asker: str = "", asked: int = 0) -> None:
        self.target, self.ask_at, self.end_at = target, ask_at, end_at
        self.helpers, self.nacks = 0, 0
        self.asker, self.asked = asker, asked  # for whom, and that one's number


class Members:
    def __init__(
        self,
        own: str,
        names: Iterable[str],
        incarnation: int,
        now: float,
        random: Random,
        timing: Timing | None = None,
    ) -> None:
        """`incarnation`: to begin with; one that is too low is raised once others tell of a higher one."""
        self.own, self.t, self.random = own, timing or Timing(), random
        self.of: dict[str, Member] = {}
        self.order: list[str] = []  # of pings; each is pinged once in a round
        self.at, self.turns = 0, 0
        self.health = 0  # 0: well
        self.probes: dict[int, _Probe] = {}
        self.number = random.getrandbits(31)
        self.turn_at = now + random.random() * self.t.period_s
        self.table_at = random.randrange(1 << 16)  # where the pieces of the table have come to
        self.hot: dict[str, None] = {}  # members with `tell` above 0, the longest untold first
        self.refuted = self.failed = 0  # counts for whoever watches
        self.me = self.of[own] = Member(own)
        self.me.standing, self.me.incarnation = (
            Standing.ALIVE,
            min(max(1, incarnation), MOST_INCARNATION // 2),
        )
        self.me.since = now
        self.listed(names)
        self._news(self.me)

    def listed(self, names: Iterable[str]) -> None:
        """Another list holds from now on. Who is not in it any more is forgotten."""
        wanted = {*names, self.own}
        for name in [n for n in self.of if n not in wanted]:
            del self.of[name]
            self.hot.pop(name, None)
        for name in sorted(wanted - self.of.keys()):
            self.of[name] = Member(name)
        self.probes = {n: p for n, p in self.probes.items() if p.target in wanted}
        self.order = sorted(wanted - {self.own})
        self.random.shuffle(self.order)

    # --- what is held

    def alive(self) -> list[str]:
        """Those held alive or only suspected, oneself among them, by name."""
        return sorted(n for n, m in self.of.items() if m.standing is not Standing.GONE)

    def count(self, standing: Standing) -> int:
        return sum(m.standing is standing for m in self.of.values())

    def some_alive(self, most: int) -> list[str]:
        others = [n for n in self.order if self.of[n].standing is not Standing.GONE]
        return others if len(others) <= most else self.random.sample(others, most)

    @property
    def repeats(self) -> int:
        return ceil(REPEATS * log(len(self.of) + 1, 2) / 2)

    # --- what is heard

    def hear(self, now: float, p: Packet) -> list[Say]:
        """From a listed member; whoever calls this has seen to that."""
        m = self.of.get(p.sender)
        if m is None or p.sender == self.own:
            return []
        m.heard_at = now
        self._apply(now, Rumour(p.sender, p.incarnation, Standing.ALIVE), p.sender)
        for rumour in p.rumours:
            self._apply(now, rumour, p.sender)
        if p.kind is Kind.PING:
            return [Say(Kind.ACK, p.sender, p.number)]
        if p.kind is Kind.ASK:
            return self._for_another(now, p)
        probe = self.probes.get(p.number)
        if probe is None or p.kind not in (Kind.ACK, Kind.NACK):
            return []
        if p.kind is Kind.NACK:
            probe.nacks += probe.nacks < probe.helpers and p.about == probe.target
            return []
        if p.sender != probe.target and p.about != probe.target:
            return []
        del self.probes[p.number]
        if probe.asker:
            return [Say(Kind.ACK, probe.asker, probe.asked, probe.target)]
        self.health = max(0, self.health - 1)
        return []

    def _for_another(self, now: float, p: Packet) -> list[Say]:
        if p.about not in self.of or p.about in (self.own, p.sender) or len(self.probes) > 8 * HELPERS:
            return []
        end = now + self.t.answer_s
        return [self._ping(p.about, _Probe(p.about, end, end, p.sender, p.number))]

    def _ping(self, target: str, probe: _Probe) -> Say:
        self.number = (self.number + 1) & 0x7FFFFFFF
        self.probes[self.number] = probe
        return Say(Kind.PING, target, self.number)

    def _apply(self, now: float, r: Rumour, by: str) -> None:
        m = self.of.get(r.name)
        if m is None:  # unlisted here: of no concern
            return
        if m is self.me:
            higher = r.incarnation > m.incarnation
            if higher or (r.incarnation == m.incarnation and r.standing is not Standing.ALIVE):
                m.incarnation = min(r.incarnation + 1, MOST_INCARNATION)
                self.refuted += 1
                if r.standing is not Standing.ALIVE:  # Lifeguard: who is suspected may be the slow one
                    self.health = min(MOST_HEALTH, self.health + 1)
                self._news(m)
            return
        if r.incarnation < m.incarnation:
            return
        higher = r.incarnation > m.incarnation
        if r.standing is Standing.SUSPECTED and not higher:
            if m.standing is Standing.SUSPECTED and by not in m.accusers and len(m.accusers) <= ACCUSERS:
                m.accusers.add(by)
                m.until = min(m.until, m.since + self._suspicion(len(m.accusers) - 1))
                self._news(m)
            if m.standing is not Standing.ALIVE:
                return
        if higher or r.standing > m.standing:
            self._hold(now, m, r.incarnation, r.standing, by)

    def _hold(self, now: float, m: Member, incarnation: int, standing: Standing, by: str) -> None:
        m.incarnation, m.standing, m.since = incarnation, standing, now
        m.accusers = {by} if standing is Standing.SUSPECTED else set()
        m.until = now + self._suspicion(0)
        self._news(m)

    def _suspicion(self, others: int) -> float:
        """How long it lasts, with so many accusers besides the first."""
        shortest = self.t.suspicion * max(1.0, log10(len(self.of))) * self.t.period_s
        part = log(others + 1) / log(ACCUSERS + 1)
        return shortest * max(1.0, LONGEST - (LONGEST - 1) * part)

    def _news(self, m: Member) -> None:
        m.tell = self.repeats
        self.hot.pop(m.name, None)
        self.hot[m.name] = None

    # --- what is to be done

    def turn(self, now: float) -> list[Say]:
        """What is due by now. To be called at `next_at`, or later."""
        said: list[Say] = []
        if now >= self.turn_at:
            if now > self.turn_at + LATE * self.t.period_s:
                self._was_late(now)
            self.turn_at = now + self.t.period_s * (1 + self.health)
            said += self._probe(now)
        for number, probe in list(self.probes.items()):
            if now >= probe.end_at:
                del self.probes[number]
                if probe.asker:
                    said.append(Say(Kind.NACK, probe.asker, probe.asked, probe.target))
                else:
                    self._silent(now, probe)
            elif now >= probe.ask_at and not probe.helpers and not probe.asker:
                helpers = [n for n in self.some_alive(HELPERS + 1) if n != probe.target][:HELPERS]
                probe.helpers = max(1, len(helpers))
                said += [Say(Kind.ASK, n, number, probe.target) for n in helpers]
        for m in self.of.values():
            if m.standing is Standing.SUSPECTED and now >= m.until:
                self._hold(now, m, m.incarnation, Standing.GONE, self.own)
        return said

    def next_at(self) -> float:
        return min(
            [self.turn_at, *(p.end_at if p.helpers or p.asker else p.ask_at for p in self.probes.values())]
        )

    def _was_late(self, now: float) -> None:
        """Answers may lie unread: nobody is blamed for what this process did not look at."""
        lost = now - self.turn_at
        self.health = min(MOST_HEALTH, self.health + 1)
        self.probes = {n: p for n, p in self.probes.items() if p.asker}
        for m in self.of.values():
            if m.standing is Standing.SUSPECTED:
                m.until += lost

    def _probe(self, now: float) -> list[Say]:
        self.turns += 1
        said: list[Say] = []
        if self.turns % LOOK_FOR == 0:
            gone = [n for n in self.order if self.of[n].standing is Standing.GONE]
            if gone:  # whether it answers counts for nothing, so no probe is kept
                said.append(Say(Kind.PING, self.random.choice(gone), self.random.getrandbits(31)))
        for _ in range(len(self.order)):
            if self.at >= len(self.order):
                self.at = 0
                self.random.shuffle(self.order)
            name = self.order[self.at]
            self.at += 1
            if self.of[name].standing is not Standing.GONE:
                longer = 1 + self.health
                answer, end = now + self.t.answer_s * longer, now + 0.9 * self.t.period_s * longer
                return [*said, self._ping(name, _Probe(name, answer, end))]
        return said

    def _silent(self, now: float, probe: _Probe) -> None:
        m = self.of.get(probe.target)
        if m is None:
            return
        self.failed += 1
        if probe.helpers and probe.nacks < min(probe.helpers, HELPERS) and len(self.alive()) > 2:
            # Lifeguard: helpers that say nothing either make oneself the one in doubt
            self.health = min(MOST_HEALTH, self.health + 1)
        if m.standing is Standing.ALIVE:
            self._hold(now, m, m.incarnation, Standing.SUSPECTED, self.own)
        elif m.standing is Standing.SUSPECTED:
            self._apply(now, Rumour(m.name, m.incarnation, Standing.SUSPECTED), self.own)

    # --- what is told

    def rumours(self, to: str, room: int) -> list[Rumour]:
        """For one packet: what the receiver is to know of itself, news, and a piece of the table in turn."""
        told: list[Rumour] = []
        held = self.of.get(to)
        if held is not None and held.incarnation and held.standing is not Standing.ALIVE:
            told.append(held.rumour())
            room -= told[0].room
        for name in list(self.hot):
            if len(told) >= MOST_RUMOURS:
                break
            m = self.of[name]
            rumour = m.rumour()
            if name == to or rumour.room > room:
                continue
            room -= rumour.room
            told.append(rumour)
            del self.hot[name]
            m.tell -= 1
            if m.tell > 0:
                self.hot[name] = None  # behind the others
        names = self.order
        for _ in range(min(PIECE, MOST_RUMOURS - len(told), len(names))):
            self.table_at += 1
            m = self.of[names[self.table_at % len(names)]]
            rumour = m.rumour()
            if m.incarnation and rumour not in told and rumour.room <= room:
                room -= rumour.room
                told.append(rumour)
        return told

    def corrects(self, p: Packet) -> Rumour | None:
        """What a sender has to be told that speaks under an incarnation of before."""
        m = self.of.get(p.sender)
        return m.rumour() if m is not None and m.incarnation > p.incarnation else None
