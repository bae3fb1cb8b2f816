"""Messages between dispatchers. Times are seconds; clocks of different dispatchers are never compared.

Each record has an upper bound of its encoded size (`size_bytes`), so that packets are limited to the size
of a datagram before they are encoded. `boot` identifies one run of a process: a random number that is drawn
at its start and only compared for equality.
"""

from enum import IntEnum
from math import isfinite
from typing import NamedTuple

from finchladder.core.health.detection import reports
from finchladder.core.health.detection.overrides import Override
from finchladder.core.health.detection.overrides import has_invalid_values as has_invalid_override

MAX_PAYLOAD_BYTES = 1_000  # size limit of a packet without its header
MAX_INCARNATION = 1 << 50  # incarnations begin with the wall clock's milliseconds and increase by one
MAX_AGE_S = 3_600.0
MAX_RATE_PER_S = 1e9  # limit of any budget
MAX_TOTAL = 1e15  # limit of any counter


class MemberStatus(IntEnum):
    """State of a member; of two updates of the same incarnation the one with the higher value applies."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2


class PacketKind(IntEnum):
    """Purpose of a packet; all kinds carry updates, rows and overrides."""

    GOSSIP = 0  # requires no answer
    PING = 1
    ACK = 2
    PING_REQUEST = 3  # requests the receiver to ping `target`
    NACK = 4  # `target` did not answer the requested ping


class MemberUpdate(NamedTuple):
    """State of a member as known to the sender."""

    name: str
    incarnation: int
    status: MemberStatus

    @property
    def size_bytes(self) -> int:
        return len(self.name) + 14


class Demand(NamedTuple):
    """Demand of a row's owner on one budget."""

    budget: str
    rate: float  # excess demand per second beyond the own rate; 0: none
    borrowed: float  # part of `rate` that other dispatchers have lent the owner
    spent: float  # tokens taken since the owner's start


class Row(NamedTuple):
    """State that an owner publishes of itself; the row with the highest (incarnation, sequence) applies."""

    owner: str
    boot: int
    incarnation: int
    sequence: int
    age_s: float  # total time that the row spent at the processes that forwarded it; transit is not counted
    requested_at: float  # when the row was written, on the owner's clock; other dispatchers only echo it
    demands: tuple[Demand, ...]
    # reports on workers, if [judgement] is enabled
    zone: int = 0
    ended: float = 0.0  # attempts that ended recently
    bad: float = 0.0  # ended attempts that failed
    subject_reports: tuple[reports.SubjectReport, ...] = ()

    @property
    def size_bytes(self) -> int:
        variable_bytes = sum(len(w.budget) + 30 for w in self.demands) + sum(
            s.size_bytes for s in self.subject_reports
        )
        return len(self.owner) + 75 + variable_bytes


class Grant(NamedTuple):
    """Lends the receiver `rate` of a budget until one lease duration after `requested_at`."""

    serial: int  # unique at the owner; a later grant with the same serial replaces the previous one
    budget: str
    rate: float
    requested_at: float
    boot: int  # boot of the receiver, as in its row

    @property
    def size_bytes(self) -> int:
        return len(self.budget) + 36


class Return(NamedTuple):
    """Returns a grant to its owner, the receiver; the sender no longer uses it and never will again."""

    serial: int
    boot: int  # boot of the receiver, which lent the rate
    requested_at: float  # of the last received grant with this serial, on the sender's clock

    @property
    def size_bytes(self) -> int:
        return 26


class PartialSum(NamedTuple):
    """Slots in flight of several dispatchers, added up: one step of the sum over all dispatchers."""

    level: int
    wave: int  # number of the sender's wave; parts of earlier waves are dropped
    members: int  # number of dispatchers whose counts are included
    age_s: float  # mean age of the counts
    counts: tuple[tuple[int, float], ...]  # worker number, slots in flight

    @property
    def size_bytes(self) -> int:
        return 20 + 6 * len(self.counts)


class Packet(NamedTuple):
    """One datagram, before encoding."""

    kind: PacketKind
    sender: str
    boot: int
    incarnation: int
    sequence: int = 0  # of a ping; echoed by its answers
    target: str = ""
    updates: tuple[MemberUpdate, ...] = ()
    rows: tuple[Row, ...] = ()
    grants: tuple[Grant, ...] = ()
    returns: tuple[Return, ...] = ()
    partial_sum: PartialSum | None = None
    orders: tuple[Override, ...] = ()


def validation_error(p: Packet) -> str | None:
    """Returns which part of a packet has values out of range; None: no part. An invalid packet is dropped."""
    if not 0 <= p.incarnation <= MAX_INCARNATION or p.sequence < 0 or p.boot < 0:
        return "incarnation"
    if not all(0 <= r.incarnation <= MAX_INCARNATION for r in p.updates):
        return "incarnation of an update"
    for row in p.rows:
        if not 0 <= row.incarnation <= MAX_INCARNATION or row.sequence < 0 or row.boot < 0:
            return "incarnation, sequence or boot of a row"
        if not _is_in_range(row.age_s, MAX_AGE_S) or not isfinite(row.requested_at):
            return "age of a row"
        if not all(
            _is_in_range(w.rate, MAX_RATE_PER_S)
            and _is_in_range(w.borrowed, MAX_RATE_PER_S)
            and _is_in_range(w.spent, MAX_TOTAL)
            for w in row.demands
        ):
            return "demands of a row"
        if len({w.budget for w in row.demands}) < len(row.demands):
            return "duplicate budget in a row"
        are_totals_valid = (
            _is_in_range(row.ended, MAX_TOTAL)
            and _is_in_range(row.bad, MAX_TOTAL)
            and 0 <= row.zone < 1 << 32
        )
        if not are_totals_valid or reports.has_invalid_values(row.subject_reports):
            return "reports of a row"
    if has_invalid_override(p.orders):
        return "values of an override"
    if not all(isfinite(r.requested_at) and r.serial >= 0 for r in p.returns):
        return "values of a return"
    for grant in p.grants:
        if (
            not _is_in_range(grant.rate, MAX_RATE_PER_S)
            or not isfinite(grant.requested_at)
            or grant.serial < 0
        ):
            return "values of a grant"
    if p.partial_sum is not None:
        is_valid = (
            0 <= p.partial_sum.level < 64 and p.partial_sum.wave >= 0 and 0 < p.partial_sum.members <= 1 << 20
        )
        if not is_valid or not _is_in_range(p.partial_sum.age_s, MAX_AGE_S):
            return "level, wave, members or age of a partial sum"
        if not all(0 <= n < 1 << 32 and _is_in_range(count, MAX_TOTAL) for n, count in p.partial_sum.counts):
            return "counts of a partial sum"
    return None


def _is_in_range(value: float, maximum: float) -> bool:
    return 0 <= value <= maximum  # False for NaN
