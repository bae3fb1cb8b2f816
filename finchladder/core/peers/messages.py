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

ROOM = 1_000  # bytes of a packet for all that is told beside the head
MOST_INCARNATION = 1 << 50  # they begin with the wall clock's milliseconds, and go up by ones
MOST_AGE_S = 3_600.0
MOST_RATE = 1e9  # a second, of any budget
MOST_TOTAL = 1e15  # of anything that is counted


class Standing(IntEnum):
    """What is held of a member, in the order in which one overrules another of the same incarnation."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2


class Kind(IntEnum):
    WORD = 0  # asks for no answer
    PING = 1
    ACK = 2
    ASK = 3  # ping `about` for me
    NACK = 4  # I asked `about` for you, and have heard nothing


class Rumour(NamedTuple):
    """What the teller holds of a member."""

    name: str
    incarnation: int
    standing: Standing

    @property
    def room(self) -> int:
        return len(self.name) + 14


class Want(NamedTuple):
    """Of one budget, as its owner tells it."""

    budget: str
    rate: float  # what the owner would use beyond its own, a second; 0: nothing
    have: float  # what others have lent it of that
    spent: float  # taken out of it since the owner's start


class Row(NamedTuple):
    """What an owner says of itself; the newest counts, by (incarnation, order)."""

    owner: str
    boot: int
    incarnation: int
    order: int
    age_s: (
        float  # since the owner wrote it, as far as those who had it know; the time on the way is not in it
    )
    asked: float  # when it was written, by the owner's own clock: others only give it back
    wants: tuple[Want, ...]
    # of real servers, where [judgement] is on
    zone: int = 0
    ended: float = 0.0  # jobs lately
    bad: float = 0.0  # of those
    says: tuple[reports.WorkerReport, ...] = ()

    @property
    def room(self) -> int:
        told = sum(len(w.budget) + 30 for w in self.wants) + sum(s.room for s in self.says)
        return len(self.owner) + 75 + told


class Grant(NamedTuple):
    """So much of a budget is the receiver's, and not the giver's, until its `asked` plus a lease's time."""

    serial: int  # the giver's; a later grant of the same serial replaces the one before
    budget: str
    rate: float
    asked: float
    boot: int  # of the receiver, as its row said

    @property
    def room(self) -> int:
        return len(self.budget) + 36


class Return(NamedTuple):
    """A grant of the receiver that the teller uses no more, and never will again."""

    serial: int
    boot: int  # of the receiver, who gave it
    asked: float  # of the last grant of this serial that came, by the teller's clock

    @property
    def room(self) -> int:
        return 26


class Part(NamedTuple):
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
    kind: Kind
    sender: str
    boot: int
    incarnation: int
    number: int = 0  # of a ping, given back with what answers it
    about: str = ""
    rumours: tuple[Rumour, ...] = ()
    rows: tuple[Row, ...] = ()
    grants: tuple[Grant, ...] = ()
    returns: tuple[Return, ...] = ()
    part: Part | None = None
    orders: tuple[Override, ...] = ()


def flaw(p: Packet) -> str | None:
    """What is wrong with figures of the right types; None: nothing. One flaw makes the whole unusable."""
    if not 0 <= p.incarnation <= MOST_INCARNATION or p.number < 0 or p.boot < 0:
        return "incarnation"
    if not all(0 <= r.incarnation <= MOST_INCARNATION for r in p.rumours):
        return "incarnation of a rumour"
    for row in p.rows:
        if not 0 <= row.incarnation <= MOST_INCARNATION or row.order < 0 or row.boot < 0:
            return "order of a row"
        if not _within(row.age_s, MOST_AGE_S) or not isfinite(row.asked):
            return "age of a row"
        if not all(
            _within(w.rate, MOST_RATE) and _within(w.have, MOST_RATE) and _within(w.spent, MOST_TOTAL)
            for w in row.wants
        ):
            return "figures of a row"
        if len({w.budget for w in row.wants}) < len(row.wants):
            return "a budget twice in a row"
        counts = _within(row.ended, MOST_TOTAL) and _within(row.bad, MOST_TOTAL) and 0 <= row.zone < 1 << 32
        if not counts or reports.has_invalid_values(row.says):
            return "evidence of a row"
    if has_invalid_override(p.orders):
        return "figures of an order"
    if not all(isfinite(r.asked) and r.serial >= 0 for r in p.returns):
        return "figures of a return"
    for grant in p.grants:
        if not _within(grant.rate, MOST_RATE) or not isfinite(grant.asked) or grant.serial < 0:
            return "figures of a grant"
    if p.part is not None:
        extent = 0 <= p.part.level < 64 and p.part.wave >= 0 and 0 < p.part.members <= 1 << 20
        if not extent or not _within(p.part.age_s, MOST_AGE_S):
            return "extent of a sum"
        if not all(0 <= n < 1 << 32 and _within(count, MOST_TOTAL) for n, count in p.part.counts):
            return "counts of a sum"
    return None


def _within(value: float, most: float) -> bool:
    return 0 <= value <= most  # False for NaN
