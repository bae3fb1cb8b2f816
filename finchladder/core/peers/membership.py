"""Failure detection among dispatchers: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health.

Each period one other member is pinged. If it does not answer, it is probed indirectly through other members,
then suspected, and after the suspicion timeout considered gone, unless it refutes this itself. Updates of
member states are piggybacked on all packets. Incarnations order the updates about one member; only the member
itself increases its incarnation.

| state of a member | received update, its incarnation | next state |
| --- | --- | --- |
| any | alive, higher | alive |
| alive, suspected or gone | suspected, higher | suspected |
| alive | suspected, equal | suspected |
| suspected | suspected, equal, by another reporter | suspected, with a shorter timeout |
| any but gone | gone, equal or higher | gone |
| suspected | none until the suspicion timeout | gone |
| gone | gone, higher | gone |
| this dispatcher | suspected or gone, equal or higher | alive, with the received incarnation + 1 |
| this dispatcher | alive, higher: from before a restart | alive, with the received incarnation + 1 |
| any | any other | unchanged |

A listed member without any update is considered gone, with incarnation 0. In every
GONE_PING_INTERVAL_PERIODS-th period one gone member is pinged as well, so that a healed partition is
noticed. No safety property depends on this failure detector.

Costs, each O(1) in the number of members: a ping per period, at most INDIRECT_PING_MEMBERS ping requests for
a member that does not answer, MAX_UPDATES_PER_PACKET updates per packet. Memory: a record per listed member.
"""

from collections.abc import Iterable
from math import ceil, log, log10
from random import Random
from typing import NamedTuple

from finchladder.core.peers.messages import MAX_INCARNATION, MemberStatus, MemberUpdate, Packet, PacketKind

INDIRECT_PING_MEMBERS = 3  # members that are requested to ping a silent one
# the period and timeouts are multiplied by the score + 1 while this process seems unhealthy
MAX_HEALTH_SCORE = 8
MAX_UPDATES_PER_PACKET = 12  # updates in one packet
# of these, updates taken from the member table in rotation, which repairs lost ones
TABLE_UPDATES_PER_PACKET = 4
REPEAT_FACTOR = 3.0  # an update is sent this many times half the binary logarithm of the number of members
MAX_CONFIRMATIONS = 2  # further reporters that reduce the suspicion timeout to its minimum
MAX_SUSPICION_FACTOR = 3.0  # suspicion timeout with a single reporter, as a multiple of the minimum
GONE_PING_INTERVAL_PERIODS = 4  # periods between two pings of gone members
# fraction of a period; if one begins later than this, missing answers are attributed to a stall here
MAX_LATENESS = 0.5


class Timing(NamedTuple):
    """Periods and timeouts of the failure detector."""

    period_s: float = 0.5
    ack_timeout_s: float = 0.15  # time for a direct answer before indirect pings are requested
    suspicion_periods: float = 4.0  # minimum suspicion timeout, in periods per log10 of the number of members


class OutgoingMessage(NamedTuple):
    """A message to send to a member; `target` is the probed member if it is another one."""

    kind: PacketKind
    to: str
    sequence: int = 0
    target: str = ""


class Member:
    """State of one listed dispatcher."""

    __slots__ = (
        "name",
        "incarnation",
        "status",
        "since",
        "suspicion_until",
        "reporters",
        "repeats_left",
        "last_seen_at",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation, self.status = 0, MemberStatus.GONE
        self.since = self.suspicion_until = 0.0
        self.reporters: set[str] = set()  # members that suspect this one; at most MAX_CONFIRMATIONS + 1
        self.repeats_left = 0  # number of packets that still carry its update
        self.last_seen_at = -1.0  # time of the last packet from the member itself; negative: none

    def update(self) -> MemberUpdate:
        return MemberUpdate(self.name, self.incarnation, self.status)


class _PendingPing:
    """An unanswered ping, sent by this dispatcher for itself or at the request of another member."""

    __slots__ = ("target", "indirect_at", "deadline", "helpers", "nacks", "requester", "requester_sequence")

    def __init__(
        self,
        target: str,
        indirect_at: float,
        deadline: float,
        requester: str = "",
        requester_sequence: int = 0,
    ) -> None:
        self.target, self.indirect_at, self.deadline = target, indirect_at, deadline
        self.helpers, self.nacks = 0, 0
        self.requester, self.requester_sequence = (
            requester,
            requester_sequence,
        )  # member that requested the ping ("": none), and the sequence of its request


class MemberList:
    """States of the listed dispatchers, as known to this one, and its pending pings."""

    def __init__(
        self,
        name: str,
        names: Iterable[str],
        incarnation: int,
        now: float,
        random: Random,
        timing: Timing | None = None,
    ) -> None:
        """`incarnation`: the initial value; it is increased once peers report a higher one."""
        self.name, self.timing, self.random = name, timing or Timing(), random
        self.by_name: dict[str, Member] = {}
        self.ping_order: list[str] = []  # shuffled names; each is pinged once per pass
        self.ping_index, self.periods = 0, 0
        self.health_score = 0  # 0: healthy
        self.pending_pings: dict[int, _PendingPing] = {}
        self.sequence = random.getrandbits(31)
        self.next_period_at = now + random.random() * self.timing.period_s
        self.table_index = random.randrange(
            1 << 16
        )  # rotation position of the updates that are sent from the table
        # members with `repeats_left` above 0, least recently sent first
        self.pending_updates: dict[str, None] = {}
        # counters: refuted claims about this dispatcher, own pings without an answer
        self.refuted = self.failed = 0
        self.own_member = self.by_name[name] = Member(name)
        self.own_member.status, self.own_member.incarnation = (
            MemberStatus.ALIVE,
            min(max(1, incarnation), MAX_INCARNATION // 2),
        )
        self.own_member.since = now
        self.set_names(names)
        self._queue_update(self.own_member)

    def set_names(self, names: Iterable[str]) -> None:
        """Replaces the list of members; those that are no longer listed are removed."""
        listed = {*names, self.name}
        for name in [n for n in self.by_name if n not in listed]:
            del self.by_name[name]
            self.pending_updates.pop(name, None)
        for name in sorted(listed - self.by_name.keys()):
            self.by_name[name] = Member(name)
        self.pending_pings = {n: p for n, p in self.pending_pings.items() if p.target in listed}
        self.ping_order = sorted(listed - {self.name})
        self.random.shuffle(self.ping_order)

    # --- state

    def alive(self) -> list[str]:
        """Returns the sorted names of the members that are alive or suspected, including this dispatcher."""
        return sorted(n for n, m in self.by_name.items() if m.status is not MemberStatus.GONE)

    def count(self, status: MemberStatus) -> int:
        return sum(m.status is status for m in self.by_name.values())

    def sample_alive(self, count: int) -> list[str]:
        others = [n for n in self.ping_order if self.by_name[n].status is not MemberStatus.GONE]
        return others if len(others) <= count else self.random.sample(others, count)

    @property
    def repeats(self) -> int:
        return ceil(REPEAT_FACTOR * log(len(self.by_name) + 1, 2) / 2)

    # --- receiving

    def receive(self, now: float, p: Packet) -> list[OutgoingMessage]:
        """Processes a packet and returns the answers; the caller ensures that the sender is listed."""
        member = self.by_name.get(p.sender)
        if member is None or p.sender == self.name:
            return []
        member.last_seen_at = now
        self._apply(now, MemberUpdate(p.sender, p.incarnation, MemberStatus.ALIVE), p.sender)
        for update in p.updates:
            self._apply(now, update, p.sender)
        if p.kind is PacketKind.PING:
            return [OutgoingMessage(PacketKind.ACK, p.sender, p.sequence)]
        if p.kind is PacketKind.PING_REQUEST:
            return self._ping_for_requester(now, p)
        ping = self.pending_pings.get(p.sequence)
        if ping is None or p.kind not in (PacketKind.ACK, PacketKind.NACK):
            return []
        if p.kind is PacketKind.NACK:
            ping.nacks += ping.nacks < ping.helpers and p.target == ping.target
            return []
        if p.sender != ping.target and p.target != ping.target:
            return []
        del self.pending_pings[p.sequence]
        if ping.requester:
            return [OutgoingMessage(PacketKind.ACK, ping.requester, ping.requester_sequence, ping.target)]
        self.health_score = max(0, self.health_score - 1)
        return []

    def _ping_for_requester(self, now: float, p: Packet) -> list[OutgoingMessage]:
        if (
            p.target not in self.by_name
            or p.target in (self.name, p.sender)
            or len(self.pending_pings) > 8 * INDIRECT_PING_MEMBERS
        ):
            return []
        deadline = now + self.timing.ack_timeout_s
        return [self._ping(p.target, _PendingPing(p.target, deadline, deadline, p.sender, p.sequence))]

    def _ping(self, target: str, ping: _PendingPing) -> OutgoingMessage:
        self.sequence = (self.sequence + 1) & 0x7FFFFFFF
        self.pending_pings[self.sequence] = ping
        return OutgoingMessage(PacketKind.PING, target, self.sequence)

    def _apply(self, now: float, update: MemberUpdate, reporter: str) -> None:
        member = self.by_name.get(update.name)
        if member is None:  # this process lists no such member: the update is ignored
            return
        if member is self.own_member:
            is_newer = update.incarnation > member.incarnation
            if is_newer or (
                update.incarnation == member.incarnation and update.status is not MemberStatus.ALIVE
            ):
                member.incarnation = min(update.incarnation + 1, MAX_INCARNATION)
                self.refuted += 1
                if (
                    update.status is not MemberStatus.ALIVE
                ):  # Lifeguard: a suspected process may itself be slow
                    self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
                self._queue_update(member)
            return
        if update.incarnation < member.incarnation:
            return
        is_newer = update.incarnation > member.incarnation
        if update.status is MemberStatus.SUSPECTED and not is_newer:
            if (
                member.status is MemberStatus.SUSPECTED
                and reporter not in member.reporters
                and len(member.reporters) <= MAX_CONFIRMATIONS
            ):
                member.reporters.add(reporter)
                member.suspicion_until = min(
                    member.suspicion_until, member.since + self._suspicion_s(len(member.reporters) - 1)
                )
                self._queue_update(member)
            if member.status is not MemberStatus.ALIVE:
                return
        if is_newer or update.status > member.status:
            self._set_status(now, member, update.incarnation, update.status, reporter)

    def _set_status(
        self, now: float, member: Member, incarnation: int, status: MemberStatus, reporter: str
    ) -> None:
        member.incarnation, member.status, member.since = incarnation, status, now
        member.reporters = {reporter} if status is MemberStatus.SUSPECTED else set()
        member.suspicion_until = now + self._suspicion_s(0)
        self._queue_update(member)

    def _suspicion_s(self, confirmations: int) -> float:
        """Returns the suspicion timeout, in seconds, with `confirmations` reporters besides the first."""
        shortest = self.timing.suspicion_periods * max(1.0, log10(len(self.by_name))) * self.timing.period_s
        progress = log(confirmations + 1) / log(MAX_CONFIRMATIONS + 1)
        return shortest * max(1.0, MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * progress)

    def _queue_update(self, member: Member) -> None:
        member.repeats_left = self.repeats
        self.pending_updates.pop(member.name, None)
        self.pending_updates[member.name] = None

    # --- periodic work

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Returns the messages due at `now`; call it at `next_due` or later."""
        messages: list[OutgoingMessage] = []
        if now >= self.next_period_at:
            if now > self.next_period_at + MAX_LATENESS * self.timing.period_s:
                self._record_stall(now)
            self.next_period_at = now + self.timing.period_s * (1 + self.health_score)
            messages += self._start_ping(now)
        for number, ping in list(self.pending_pings.items()):
            if now >= ping.deadline:
                del self.pending_pings[number]
                if ping.requester:
                    messages.append(
                        OutgoingMessage(PacketKind.NACK, ping.requester, ping.requester_sequence, ping.target)
                    )
                else:
                    self._record_timeout(now, ping)
            elif now >= ping.indirect_at and not ping.helpers and not ping.requester:
                helpers = [n for n in self.sample_alive(INDIRECT_PING_MEMBERS + 1) if n != ping.target][
                    :INDIRECT_PING_MEMBERS
                ]
                ping.helpers = max(1, len(helpers))
                messages += [
                    OutgoingMessage(PacketKind.PING_REQUEST, n, number, ping.target) for n in helpers
                ]
        for member in self.by_name.values():
            if member.status is MemberStatus.SUSPECTED and now >= member.suspicion_until:
                self._set_status(now, member, member.incarnation, MemberStatus.GONE, self.name)
        return messages

    def next_due(self) -> float:
        """Returns the time of the next period or ping timeout, at which `tick` is due."""
        return min(
            [
                self.next_period_at,
                *(
                    p.deadline if p.helpers or p.requester else p.indirect_at
                    for p in self.pending_pings.values()
                ),
            ]
        )

    def _record_stall(self, now: float) -> None:
        """Discards the own pending pings after a stall of this process: answers may have arrived unread."""
        stall_s = now - self.next_period_at
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        self.pending_pings = {n: p for n, p in self.pending_pings.items() if p.requester}
        for member in self.by_name.values():
            if member.status is MemberStatus.SUSPECTED:
                member.suspicion_until += stall_s

    def _start_ping(self, now: float) -> list[OutgoingMessage]:
        self.periods += 1
        messages: list[OutgoingMessage] = []
        if self.periods % GONE_PING_INTERVAL_PERIODS == 0:
            gone = [n for n in self.ping_order if self.by_name[n].status is MemberStatus.GONE]
            if gone:  # a missing answer has no effect, so no ping is stored
                messages.append(
                    OutgoingMessage(PacketKind.PING, self.random.choice(gone), self.random.getrandbits(31))
                )
        for _ in range(len(self.ping_order)):
            if self.ping_index >= len(self.ping_order):
                self.ping_index = 0
                self.random.shuffle(self.ping_order)
            name = self.ping_order[self.ping_index]
            self.ping_index += 1
            if self.by_name[name].status is not MemberStatus.GONE:
                factor = 1 + self.health_score
                indirect_at, deadline = (
                    now + self.timing.ack_timeout_s * factor,
                    now + 0.9 * self.timing.period_s * factor,
                )
                return [*messages, self._ping(name, _PendingPing(name, indirect_at, deadline))]
        return messages

    def _record_timeout(self, now: float, ping: _PendingPing) -> None:
        member = self.by_name.get(ping.target)
        if member is None:
            return
        self.failed += 1
        if ping.helpers and ping.nacks < min(ping.helpers, INDIRECT_PING_MEMBERS) and len(self.alive()) > 2:
            # Lifeguard: if helpers do not answer either, this process itself may be unhealthy
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        if member.status is MemberStatus.ALIVE:
            self._set_status(now, member, member.incarnation, MemberStatus.SUSPECTED, self.name)
        elif member.status is MemberStatus.SUSPECTED:
            self._apply(now, MemberUpdate(member.name, member.incarnation, MemberStatus.SUSPECTED), self.name)

    # --- sending

    def select_updates(self, to: str, free_bytes: int) -> list[MemberUpdate]:
        """Selects updates for one packet: the receiver's own state, new updates, and part of the table."""
        updates: list[MemberUpdate] = []
        receiver = self.by_name.get(to)
        if receiver is not None and receiver.incarnation and receiver.status is not MemberStatus.ALIVE:
            updates.append(receiver.update())
            free_bytes -= updates[0].size_bytes
        for name in list(self.pending_updates):
            if len(updates) >= MAX_UPDATES_PER_PACKET:
                break
            member = self.by_name[name]
            update = member.update()
            if name == to or update.size_bytes > free_bytes:
                continue
            free_bytes -= update.size_bytes
            updates.append(update)
            del self.pending_updates[name]
            member.repeats_left -= 1
            if member.repeats_left > 0:
                self.pending_updates[name] = None  # moves to the end
        names = self.ping_order
        for _ in range(min(TABLE_UPDATES_PER_PACKET, MAX_UPDATES_PER_PACKET - len(updates), len(names))):
            self.table_index += 1
            member = self.by_name[names[self.table_index % len(names)]]
            update = member.update()
            if member.incarnation and update not in updates and update.size_bytes <= free_bytes:
                free_bytes -= update.size_bytes
                updates.append(update)
        return updates

    def correction_for(self, p: Packet) -> MemberUpdate | None:
        """Returns the update to send to a sender that uses an outdated incarnation, or None."""
        member = self.by_name.get(p.sender)
        return member.update() if member is not None and member.incarnation > p.incarnation else None
