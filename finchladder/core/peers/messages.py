"""What one dispatcher tells another. Times are seconds; clocks of different dispatchers are never compared.

Each record has a bound on its bytes in a packet, so that what is told fits into one datagram before it is
encoded. `boot` names one life of a process: it is drawn at its start, and compared for equality alone.
"""

from enum import IntEnum
from math import isfinite
from typing import NamedTuple

from finchladder.core.health.detection import reports
from finchladder.core.health.detection.overrides import Override
from finchladder.core.health.detection.overrides import has_invalid_values as has_invalid_override

MAX_PAYLOAD_BYTES = 1_000  # bytes of a packet for all that is told beside the head
MAX_INCARNATION = 1 << 50  # they begin with the wall clock's milliseconds, and go up by ones
MAX_AGE_S = 3_600.0
MAX_RATE_PER_S = 1e9  # a second, of any budget
MAX_TOTAL = 1e15  # of anything that is counted


class MemberStatus(IntEnum):
    """What is held of a member, in the order in which one overrules another of the same incarnation."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2


class PacketKind(IntEnum):
    GOSSIP = 0  # asks for no answer
    PING = 1
    ACK = 2
    PING_REQUEST = 3  # ping `about` for me
    NACK = 4  # I asked `about` for you, and have heard nothing


class MemberUpdate(NamedTuple):
    """What the teller holds of a member."""

    name: str
    incarnation: int
    status: MemberStatus

    @property
    def room(self) -> int:
        return len(self.name) + 14


class Demand(NamedTuple):
    """Of one budget, as its owner tells it."""

    budget: str
    rate: float  # what the owner would use beyond its own, a second; 0: nothing
    borrowed: float  # what others have lent it of that
    spent: float  # taken out of it since the owner's start


class Row(NamedTuple):
    """What an owner says of itself; the newest counts, by (incarnation, order)."""

    owner: str
    boot: int
    incarnation: int
    sequence: int
    age_s: (
        float  # since the owner wrote it, as far as those who had it know; the time on the way is not in it
    )
    requested_at: float  # when it was written, by the owner's own clock: others only give it back
    demands: tuple[Demand, ...]
    # of real servers, where [judgement] is on
    zone: int = 0
    ended: float = 0.0  # jobs lately
    bad: float = 0.0  # of those
    worker_reports: tuple[reports.WorkerReport, ...] = ()

    @property
    def room(self) -> int:
        told = sum(len(w.budget) + 30 for w in self.demands) + sum(s.room for s in self.worker_reports)
        return len(self.owner) + 75 + told


class Grant(NamedTuple):
    """So much of a budget is the receiver's, and not the giver's, until its `asked` plus a lease's time."""

    serial: int  # the giver's; a later grant of the same serial replaces the one before
    budget: str
    rate: float
    requested_at: float
    boot: int  # of the receiver, as its row said

    @property
    def room(self) -> int:
        return len(self.budget) + 36


class Return(NamedTuple):
    """A grant of the receiver that the teller uses no more, and never will again."""

    serial: int
    boot: int  # of the receiver, who gave it
    requested_at: float  # of the last grant of this serial that came, by the teller's clock

    @property
    def room(self) -> int:
        return 26


class PartialSum(NamedTuple):
    """Counts of several dispatchers together: one step of a sum over all."""

    level: int
    wave: int  # the teller's count of its rounds: what comes of an earlier one is dropped
    members: int  # whose counts are in it
    age_s: float  # mean
    counts: tuple[tuple[int, float], ...]  # by real server's number: slots in flight

    @property
    def room(self) -> int:
        return 20 + 6 * len(self.counts)


class Packet(NamedTuple):
    kind: PacketKind
    sender: str
    boot: int
    incarnation: int
    sequence: int = 0  # of a ping, given back with what answers it
    target: str = ""
    updates: tuple[MemberUpdate, ...] = ()
    rows: tuple[Row, ...] = ()
    grants: tuple[Grant, ...] = ()
    returns: tuple[Return, ...] = ()
    partial_sum: PartialSum | None = None
    orders: tuple[Override, ...] = ()


def validation_error(p: Packet) -> str | None:
    """What is wrong with figures of the right types; None: nothing. One flaw makes the whole unusable."""
    if not 0 <= p.incarnation <= MAX_INCARNATION or p.sequence < 0 or p.boot < 0:
        return "incarnation"
    if not all(0 <= r.incarnation <= MAX_INCARNATION for r in p.updates):
        return "incarnation of a rumour"
    for row in p.rows:
        if not 0 <= row.incarnation <= MAX_INCARNATION or row.sequence < 0 or row.boot < 0:
            return "order of a row"
        if not _is_in_range(row.age_s, MAX_AGE_S) or not isfinite(row.requested_at):
            return "age of a row"
        if not all(
            _is_in_range(w.rate, MAX_RATE_PER_S)
            and _is_in_range(w.borrowed, MAX_RATE_PER_S)
            and _is_in_range(w.spent, MAX_TOTAL)
            for w in row.demands
        ):
            return "figures of a row"
        if len({w.budget for w in row.demands}) < len(row.demands):
            return "a budget twice in a row"
        counts = (
            _is_in_range(row.ended, MAX_TOTAL)
            and _is_in_range(row.bad, MAX_TOTAL)
            and 0 <= row.zone < 1 << 32
        )
        if not counts or reports.has_invalid_values(row.worker_reports):
            return "evidence of a row"
    if has_invalid_override(p.orders):
        return "figures of an order"
    if not all(isfinite(r.requested_at) and r.serial >= 0 for r in p.returns):
        return "figures of a return"
    for grant in p.grants:
        if (
            not _is_in_range(grant.rate, MAX_RATE_PER_S)
            or not isfinite(grant.requested_at)
            or grant.serial < 0
        ):
            return "figures of a grant"
    if p.partial_sum is not None:
        extent = (
            0 <= p.partial_sum.level < 64 and p.partial_sum.wave >= 0 and 0 < p.partial_sum.members <= 1 << 20
        )
        if not extent or not _is_in_range(p.partial_sum.age_s, MAX_AGE_S):
            return "extent of a sum"
        if not all(0 <= n < 1 << 32 and _is_in_range(count, MAX_TOTAL) for n, count in p.partial_sum.counts):
            return "counts of a sum"
    return None


def _is_in_range(value: float, most: float) -> bool:
    return 0 <= value <= most  # False for NaN
