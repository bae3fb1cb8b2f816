"""Encodes packets as datagrams of at most MAX_DATAGRAM_BYTES: msgpack, with a version and the fleet's name.

    [2, fleet, kind, sender, boot, incarnation, sequence, target, updates, rows, grants, returns, partial_sum,
    orders]

All structures are arrays in the order of the fields of core/peers/messages.py. The counts of a partial sum
are one byte string in little-endian order: the workers' numbers in 4 bytes each, then their counts times 8 in
2 bytes each. The reports of a row count ended attempts and seconds in tenths.
"""

import struct
from typing import Annotated

import msgspec
from msgspec import Meta

from finchladder.core.health.detection.overrides import MAX_REASON_LENGTH, MAX_WORKER_NAME_LENGTH, Override
from finchladder.core.health.detection.reports import MAX_SUBJECT_REPORTS, SubjectReport
from finchladder.core.peers.messages import (
    Demand,
    Grant,
    MemberStatus,
    MemberUpdate,
    Packet,
    PacketKind,
    PartialSum,
    Return,
    Row,
)

VERSION = 2
MAX_DATAGRAM_BYTES = 1_200  # below the MTU of all links, to avoid IP fragmentation
UNITS_PER_COUNT, MAX_COUNT_UNITS = 8, 0xFFFF
BYTES_PER_COUNT = 6  # encoded size of one worker's number and count in a partial sum
TENTHS_PER_UNIT = 10

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Text = Annotated[str, Meta(max_length=128)]
Tenths = Annotated[int, Meta(ge=0, le=0xFFFFFF)]
Number = Annotated[int, Meta(ge=0, le=(1 << 53) - 1)]


class _Array(msgspec.Struct, array_like=True, forbid_unknown_fields=True, gc=False):
    pass


class _MemberUpdate(_Array):
    name: Name
    incarnation: Number
    status: Annotated[int, Meta(ge=0, le=2)]


class _Demand(_Array):
    budget: Text
    rate: float
    borrowed: float
    spent: float


class _SubjectReport(_Array):
    subject_id: Number
    bad: Tenths
    link: Tenths
    good: Tenths
    opened_tenths: Tenths
    left_tenths: Tenths
    stage: Annotated[int, Meta(ge=0, lt=16)]


class _Override(_Array):
    worker: Annotated[str, Meta(min_length=1, max_length=MAX_WORKER_NAME_LENGTH)]
    stance: Annotated[str, Meta(max_length=8)]
    left_s: float
    stamp: Number
    issuer: Name
    reason: Annotated[str, Meta(max_length=MAX_REASON_LENGTH)]


class _Row(_Array):
    owner: Name
    boot: Number
    incarnation: Number
    sequence: Number
    age_s: float
    requested_at: float
    demands: Annotated[list[_Demand], Meta(max_length=16)]
    zone: Number
    ended: Tenths
    bad: Tenths
    subject_reports: Annotated[list[_SubjectReport], Meta(max_length=MAX_SUBJECT_REPORTS)]


class _Grant(_Array):
    serial: Number
    budget: Text
    rate: float
    requested_at: float
    boot: Number


class _Return(_Array):
    serial: Number
    boot: Number
    requested_at: float


class _PartialSum(_Array):
    level: Number
    wave: Number
    members: Number
    age_s: float
    counts: bytes


class _Datagram(_Array):
    version: int
    fleet: str
    kind: Annotated[int, Meta(ge=0, le=4)]
    sender: Name
    boot: Number
    incarnation: Number
    sequence: Number
    target: Text
    updates: list[_MemberUpdate]
    rows: list[_Row]
    grants: list[_Grant]
    returns: list[_Return]
    partial_sum: _PartialSum | None
    orders: Annotated[list[_Override], Meta(max_length=8)]


_fields = msgspec.msgpack.Decoder(list[msgspec.Raw])
_version = msgspec.msgpack.Decoder(int)
_decoder = msgspec.msgpack.Decoder(_Datagram)
_encoder = msgspec.msgpack.Encoder()


class MalformedDatagramError(ValueError):
    """A datagram that must be dropped; the message is one of a few constants and names its counter."""


def encode(fleet: str, p: Packet) -> bytes:
    """Encodes a packet; the caller checks the result against MAX_DATAGRAM_BYTES."""
    partial_sum = None
    if p.partial_sum is not None:
        counts_by_id = p.partial_sum.counts
        eighths = [min(MAX_COUNT_UNITS, round(count * UNITS_PER_COUNT)) for _, count in counts_by_id]
        counts = struct.pack(
            f"<{len(counts_by_id)}I{len(counts_by_id)}H", *[n for n, _ in counts_by_id], *eighths
        )
        partial_sum = _PartialSum(
            p.partial_sum.level, p.partial_sum.wave, p.partial_sum.members, p.partial_sum.age_s, counts
        )
    return _encoder.encode(
        (
            VERSION,
            fleet,
            p.kind,
            p.sender,
            p.boot,
            p.incarnation,
            p.sequence,
            p.target,
            p.updates,
            [_row_fields(r) for r in p.rows],
            p.grants,
            p.returns,
            partial_sum,
            p.orders,
        )
    )


def decode(fleet: str, data: bytes) -> Packet:
    """Decodes a datagram; the values of its numbers are not checked.

    Raises:
        MalformedDatagramError: It is too long, malformed, or of another version or fleet.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError("too long")
    try:
        d = _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        raise MalformedDatagramError(_malformed_reason(data)) from None
    if d.version != VERSION:
        raise MalformedDatagramError("version")
    if d.fleet != fleet:
        raise MalformedDatagramError("fleet")
    return Packet(
        PacketKind(d.kind),
        d.sender,
        d.boot,
        d.incarnation,
        d.sequence,
        d.target,
        tuple(MemberUpdate(r.name, r.incarnation, MemberStatus(r.status)) for r in d.updates),
        tuple(
            Row(
                r.owner,
                r.boot,
                r.incarnation,
                r.sequence,
                r.age_s,
                r.requested_at,
                tuple(Demand(w.budget, w.rate, w.borrowed, w.spent) for w in r.demands),
                r.zone,
                r.ended / TENTHS_PER_UNIT,
                r.bad / TENTHS_PER_UNIT,
                tuple(
                    SubjectReport(
                        s.subject_id,
                        s.bad / TENTHS_PER_UNIT,
                        s.link / TENTHS_PER_UNIT,
                        s.good / TENTHS_PER_UNIT,
                        s.opened_tenths / TENTHS_PER_UNIT,
                        s.left_tenths / TENTHS_PER_UNIT,
                        s.stage,
                    )
                    for s in r.subject_reports
                ),
            )
            for r in d.rows
        ),
        tuple(Grant(g.serial, g.budget, g.rate, g.requested_at, g.boot) for g in d.grants),
        tuple(Return(r.serial, r.boot, r.requested_at) for r in d.returns),
        _read_partial_sum(d.partial_sum) if d.partial_sum is not None else None,
        tuple(Override(o.worker, o.stance, o.left_s, o.stamp, o.issuer, o.reason) for o in d.orders),
    )


def _tenths(count: float) -> int:
    return min(0xFFFFFF, round(count * TENTHS_PER_UNIT))


def _row_fields(r: Row) -> tuple[object, ...]:
    reports = [
        (
            s.subject_id,
            _tenths(s.bad),
            _tenths(s.link),
            _tenths(s.good),
            _tenths(s.opened_s),
            _tenths(s.left_s),
            s.stage,
        )
        for s in r.subject_reports
    ]
    return (*r[:7], r.zone, _tenths(r.ended), _tenths(r.bad), reports)


def _read_partial_sum(p: _PartialSum) -> PartialSum:
    n, rest = divmod(len(p.counts), BYTES_PER_COUNT)
    if rest:
        raise MalformedDatagramError("malformed")
    values = struct.unpack(f"<{n}I{n}H", p.counts)
    counts = tuple(zip(values[:n], [eighths / UNITS_PER_COUNT for eighths in values[n:]], strict=True))
    return PartialSum(p.level, p.wave, p.members, p.age_s, counts)


def _malformed_reason(data: bytes) -> str:
    """Returns why a datagram can't be decoded; one of another version may have any form."""
    try:
        version = _version.decode(_fields.decode(data)[0])
    except (IndexError, msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return "malformed"
    return "malformed" if version == VERSION else "version"
