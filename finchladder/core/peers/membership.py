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

from finchladder.core.peers.messages import MAX_INCARNATION, MemberStatus, MemberUpdate, Packet, PacketKind

INDIRECT_PROBES = 3
MAX_HEALTH_SCORE = 8  # waits grow up to so many times, plus one, while this process itself seems to be unwell
MAX_UPDATES_PER_PACKET = 12  # with one packet
TABLE_UPDATES_PER_PACKET = (
    4  # of them of the table in turn, where there is nothing new: what a lost rumour left out
)
REPEAT_FACTOR = 3.0  # a rumour is told so many times the logarithm of the members
MAX_CONFIRMATIONS = 2  # besides the first, that bring a suspicion to its shortest time
MAX_SUSPICION_FACTOR = 3.0  # times the shortest: how long a suspicion of one accuser lasts
GONE_PROBE_INTERVAL = 4
MAX_LATENESS = 0.5  # of a period: later than that, silence is taken for one's own lateness


class Timing(NamedTuple):
    period_s: float = 0.5
    ack_timeout_s: float = 0.15  # for a direct answer, before helpers are asked
    suspicion_periods: float = (
        4.0  # periods, times the logarithm (of 10) of the members, of the shortest suspicion
    )


class ProbeMessage(NamedTuple):
    kind: PacketKind
    to: str
    sequence: int = 0
    target: str = ""


class Member:
    __slots__ = (
        "name",
        "incarnation",
        "status",
        "since",
        "suspicion_ends_at",
        "reporters",
        "repeats_left",
        "last_seen_at",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation, self.status = 0, MemberStatus.GONE
        self.since = self.suspicion_ends_at = 0.0
        self.reporters: set[str] = set()  # at most ACCUSERS + 1
        self.repeats_left = 0  # times that what is held of it is still to be told
        self.last_seen_at = -1.0  # when it said anything itself

    def update(self) -> MemberUpdate:
        return MemberUpdate(self.name, self.incarnation, self.status)


class _Probe:
    """A ping of one's own that is not answered yet, or one for another that asked."""

    __slots__ = ("target", "indirect_at", "ends_at", "helpers", "nacks", "requester", "requester_sequence")

    def __init__(
        self,
        target: str,
        indirect_at: float,
        ends_at: float,
        requester: str = "",
        requester_sequence: int = 0,
    ) -> None:
        self.target, self.indirect_at, self.ends_at = target, indirect_at, ends_at
        self.helpers, self.nacks = 0, 0
        self.requester, self.requester_sequence = (
            requester,
            requester_sequence,
        )  # for whom, and that one's number


class MemberList:
    def __init__(
        self,
        name: str,
        names: Iterable[str],
        incarnation: int,
        now: float,
        random: Random,
        timing: Timing | None = None,
    ) -> None:
        """`incarnation`: to begin with; one that is too low is raised once others tell of a higher one."""
        self.name, self.timing, self.random = name, timing or Timing(), random
        self.by_name: dict[str, Member] = {}
        self.probe_order: list[str] = []  # of pings; each is pinged once in a round
        self.probe_index, self.rounds = 0, 0
        self.health_score = 0  # 0: well
        self.probes: dict[int, _Probe] = {}
        self.sequence = random.getrandbits(31)
        self.next_round_at = now + random.random() * self.timing.period_s
        self.table_index = random.randrange(1 << 16)  # where the pieces of the table have come to
        self.pending_updates: dict[str, None] = {}  # members with `tell` above 0, the longest untold first
        self.refuted = self.failed = 0  # counts for whoever watches
        self.own_member = self.by_name[name] = Member(name)
        self.own_member.status, self.own_member.incarnation = (
            MemberStatus.ALIVE,
            min(max(1, incarnation), MAX_INCARNATION // 2),
        )
        self.own_member.since = now
        self.set_names(names)
        self._queue_update(self.own_member)

    def set_names(self, names: Iterable[str]) -> None:
        """Another list holds from now on. Who is not in it any more is forgotten."""
        wanted = {*names, self.name}
        for name in [n for n in self.by_name if n not in wanted]:
            del self.by_name[name]
            self.pending_updates.pop(name, None)
        for name in sorted(wanted - self.by_name.keys()):
            self.by_name[name] = Member(name)
        self.probes = {n: p for n, p in self.probes.items() if p.target in wanted}
        self.probe_order = sorted(wanted - {self.name})
        self.random.shuffle(self.probe_order)

    # --- what is held

    def alive(self) -> list[str]:
        """Those held alive or only suspected, oneself among them, by name."""
        return sorted(n for n, m in self.by_name.items() if m.status is not MemberStatus.GONE)

    def count(self, standing: MemberStatus) -> int:
        return sum(m.status is standing for m in self.by_name.values())

    def sample_alive(self, most: int) -> list[str]:
        others = [n for n in self.probe_order if self.by_name[n].status is not MemberStatus.GONE]
        return others if len(others) <= most else self.random.sample(others, most)

    @property
    def repeats(self) -> int:
        return ceil(REPEAT_FACTOR * log(len(self.by_name) + 1, 2) / 2)

    # --- what is heard

    def receive(self, now: float, p: Packet) -> list[ProbeMessage]:
        """From a listed member; whoever calls this has seen to that."""
        m = self.by_name.get(p.sender)
        if m is None or p.sender == self.name:
            return []
        m.last_seen_at = now
        self._apply(now, MemberUpdate(p.sender, p.incarnation, MemberStatus.ALIVE), p.sender)
        for rumour in p.updates:
            self._apply(now, rumour, p.sender)
        if p.kind is PacketKind.PING:
            return [ProbeMessage(PacketKind.ACK, p.sender, p.sequence)]
        if p.kind is PacketKind.PING_REQUEST:
            return self._probe_for_requester(now, p)
        probe = self.probes.get(p.sequence)
        if probe is None or p.kind not in (PacketKind.ACK, PacketKind.NACK):
            return []
        if p.kind is PacketKind.NACK:
            probe.nacks += probe.nacks < probe.helpers and p.target == probe.target
            return []
        if p.sender != probe.target and p.target != probe.target:
            return []
        del self.probes[p.sequence]
        if probe.requester:
            return [ProbeMessage(PacketKind.ACK, probe.requester, probe.requester_sequence, probe.target)]
        self.health_score = max(0, self.health_score - 1)
        return []

    def _probe_for_requester(self, now: float, p: Packet) -> list[ProbeMessage]:
        if (
            p.target not in self.by_name
            or p.target in (self.name, p.sender)
            or len(self.probes) > 8 * INDIRECT_PROBES
        ):
            return []
        end = now + self.timing.ack_timeout_s
        return [self._ping(p.target, _Probe(p.target, end, end, p.sender, p.sequence))]

    def _ping(self, target: str, probe: _Probe) -> ProbeMessage:
        self.sequence = (self.sequence + 1) & 0x7FFFFFFF
        self.probes[self.sequence] = probe
        return ProbeMessage(PacketKind.PING, target, self.sequence)

    def _apply(self, now: float, r: MemberUpdate, by: str) -> None:
        m = self.by_name.get(r.name)
        if m is None:  # unlisted here: of no concern
            return
        if m is self.own_member:
            higher = r.incarnation > m.incarnation
            if higher or (r.incarnation == m.incarnation and r.status is not MemberStatus.ALIVE):
                m.incarnation = min(r.incarnation + 1, MAX_INCARNATION)
                self.refuted += 1
                if r.status is not MemberStatus.ALIVE:  # Lifeguard: who is suspected may be the slow one
                    self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
                self._queue_update(m)
            return
        if r.incarnation < m.incarnation:
            return
        higher = r.incarnation > m.incarnation
        if r.status is MemberStatus.SUSPECTED and not higher:
            if (
                m.status is MemberStatus.SUSPECTED
                and by not in m.reporters
                and len(m.reporters) <= MAX_CONFIRMATIONS
            ):
                m.reporters.add(by)
                m.suspicion_ends_at = min(
                    m.suspicion_ends_at, m.since + self._suspicion_s(len(m.reporters) - 1)
                )
                self._queue_update(m)
            if m.status is not MemberStatus.ALIVE:
                return
        if higher or r.status > m.status:
            self._set_status(now, m, r.incarnation, r.status, by)

    def _set_status(self, now: float, m: Member, incarnation: int, standing: MemberStatus, by: str) -> None:
        m.incarnation, m.status, m.since = incarnation, standing, now
        m.reporters = {by} if standing is MemberStatus.SUSPECTED else set()
        m.suspicion_ends_at = now + self._suspicion_s(0)
        self._queue_update(m)

    def _suspicion_s(self, others: int) -> float:
        """How long it lasts, with so many accusers besides the first."""
        shortest = self.timing.suspicion_periods * max(1.0, log10(len(self.by_name))) * self.timing.period_s
        part = log(others + 1) / log(MAX_CONFIRMATIONS + 1)
        return shortest * max(1.0, MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * part)

    def _queue_update(self, m: Member) -> None:
        m.repeats_left = self.repeats
        self.pending_updates.pop(m.name, None)
        self.pending_updates[m.name] = None

    # --- what is to be done

    def tick(self, now: float) -> list[ProbeMessage]:
        """What is due by now. To be called at `next_at`, or later."""
        said: list[ProbeMessage] = []
        if now >= self.next_round_at:
            if now > self.next_round_at + MAX_LATENESS * self.timing.period_s:
                self._record_stall(now)
            self.next_round_at = now + self.timing.period_s * (1 + self.health_score)
            said += self._start_probe(now)
        for number, probe in list(self.probes.items()):
            if now >= probe.ends_at:
                del self.probes[number]
                if probe.requester:
                    said.append(
                        ProbeMessage(PacketKind.NACK, probe.requester, probe.requester_sequence, probe.target)
                    )
                else:
                    self._record_timeout(now, probe)
            elif now >= probe.indirect_at and not probe.helpers and not probe.requester:
                helpers = [n for n in self.sample_alive(INDIRECT_PROBES + 1) if n != probe.target][
                    :INDIRECT_PROBES
                ]
                probe.helpers = max(1, len(helpers))
                said += [ProbeMessage(PacketKind.PING_REQUEST, n, number, probe.target) for n in helpers]
        for m in self.by_name.values():
            if m.status is MemberStatus.SUSPECTED and now >= m.suspicion_ends_at:
                self._set_status(now, m, m.incarnation, MemberStatus.GONE, self.name)
        return said

    def next_at(self) -> float:
        return min(
            [
                self.next_round_at,
                *(p.ends_at if p.helpers or p.requester else p.indirect_at for p in self.probes.values()),
            ]
        )

    def _record_stall(self, now: float) -> None:
        """Answers may lie unread: nobody is blamed for what this process did not look at."""
        lost = now - self.next_round_at
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        self.probes = {n: p for n, p in self.probes.items() if p.requester}
        for m in self.by_name.values():
            if m.status is MemberStatus.SUSPECTED:
                m.suspicion_ends_at += lost

    def _start_probe(self, now: float) -> list[ProbeMessage]:
        self.rounds += 1
        said: list[ProbeMessage] = []
        if self.rounds % GONE_PROBE_INTERVAL == 0:
            gone = [n for n in self.probe_order if self.by_name[n].status is MemberStatus.GONE]
            if gone:  # whether it answers counts for nothing, so no probe is kept
                said.append(
                    ProbeMessage(PacketKind.PING, self.random.choice(gone), self.random.getrandbits(31))
                )
        for _ in range(len(self.probe_order)):
            if self.probe_index >= len(self.probe_order):
                self.probe_index = 0
                self.random.shuffle(self.probe_order)
            name = self.probe_order[self.probe_index]
            self.probe_index += 1
            if self.by_name[name].status is not MemberStatus.GONE:
                longer = 1 + self.health_score
                answer, end = (
                    now + self.timing.ack_timeout_s * longer,
                    now + 0.9 * self.timing.period_s * longer,
                )
                return [*said, self._ping(name, _Probe(name, answer, end))]
        return said

    def _record_timeout(self, now: float, probe: _Probe) -> None:
        m = self.by_name.get(probe.target)
        if m is None:
            return
        self.failed += 1
        if probe.helpers and probe.nacks < min(probe.helpers, INDIRECT_PROBES) and len(self.alive()) > 2:
            # Lifeguard: helpers that say nothing either make oneself the one in doubt
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        if m.status is MemberStatus.ALIVE:
            self._set_status(now, m, m.incarnation, MemberStatus.SUSPECTED, self.name)
        elif m.status is MemberStatus.SUSPECTED:
            self._apply(now, MemberUpdate(m.name, m.incarnation, MemberStatus.SUSPECTED), self.name)

    # --- what is told

    def select_updates(self, to: str, room: int) -> list[MemberUpdate]:
        """For one packet: what the receiver is to know of itself, news, and a piece of the table in turn."""
        told: list[MemberUpdate] = []
        held = self.by_name.get(to)
        if held is not None and held.incarnation and held.status is not MemberStatus.ALIVE:
            told.append(held.update())
            room -= told[0].room
        for name in list(self.pending_updates):
            if len(told) >= MAX_UPDATES_PER_PACKET:
                break
            m = self.by_name[name]
            rumour = m.update()
            if name == to or rumour.room > room:
                continue
            room -= rumour.room
            told.append(rumour)
            del self.pending_updates[name]
            m.repeats_left -= 1
            if m.repeats_left > 0:
                self.pending_updates[name] = None  # behind the others
        names = self.probe_order
        for _ in range(min(TABLE_UPDATES_PER_PACKET, MAX_UPDATES_PER_PACKET - len(told), len(names))):
            self.table_index += 1
            m = self.by_name[names[self.table_index % len(names)]]
            rumour = m.update()
            if m.incarnation and rumour not in told and rumour.room <= room:
                room -= rumour.room
                told.append(rumour)
        return told

    def correction_for(self, p: Packet) -> MemberUpdate | None:
        """What a sender has to be told that speaks under an incarnation of before."""
        m = self.by_name.get(p.sender)
        return m.update() if m is not None and m.incarnation > p.incarnation else None
