"""Datagrams of peers: encoding round-trips, and invalid datagrams are dropped without effect."""

import asyncio
import math
import socket
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchladder.cli.peers import format_answer
from finchladder.config.option_files import read_options
from finchladder.config.options import PeersOptions
from finchladder.core.health.detection.overrides import STANCES, Override
from finchladder.core.health.detection.reports import MAX_SUBJECT_REPORTS, SubjectReport
from finchladder.core.peers.exchange import ExchangeSettings, Peers
from finchladder.core.peers.messages import (
    MAX_INCARNATION,
    MAX_PAYLOAD_BYTES,
    Demand,
    Grant,
    MemberStatus,
    MemberUpdate,
    Packet,
    PacketKind,
    PartialSum,
    Return,
    Row,
    validation_error,
)
from finchladder.net.peers.actor import PeersActor
from finchladder.net.peers.datagrams import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    MalformedDatagramError,
    decode,
    encode,
)

NAME = st.text("abcdefgh.-_0123456789", min_size=1, max_size=32)
INT, FIGURE = st.integers(0, MAX_INCARNATION), st.floats(0, 1e9)
WANT = st.builds(Demand, st.text(max_size=40), FIGURE, FIGURE, FIGURE)
TENTHS, NUMBER = st.integers(0, 6_000).map(lambda n: n / 10), st.integers(0, (1 << 32) - 1)
SAID = st.builds(SubjectReport, NUMBER, TENTHS, TENTHS, TENTHS, TENTHS, TENTHS, st.integers(0, 15))
ROW = st.builds(
    Row,
    NAME,
    INT,
    INT,
    INT,
    st.floats(0, 30),
    FIGURE,
    st.lists(WANT, max_size=3).map(tuple),
    NUMBER,
    TENTHS,
    TENTHS,
    st.lists(SAID, max_size=MAX_SUBJECT_REPORTS).map(tuple),
)
ORDER = st.builds(
    Override, NAME, st.sampled_from(STANCES), st.floats(0, 86_400), INT, NAME, st.text(max_size=80)
)
PART = st.builds(
    PartialSum,
    st.integers(0, 40),
    INT,
    st.integers(1, 1000),
    st.floats(0, 3),
    st.lists(
        st.tuples(st.integers(0, (1 << 32) - 1), st.integers(0, 999).map(lambda n: n / 8)), max_size=150
    ).map(tuple),
)
PACKET = st.builds(
    Packet,
    st.sampled_from(PacketKind),
    NAME,
    INT,
    INT,
    st.integers(0, 1 << 31),
    NAME,
    st.lists(st.builds(MemberUpdate, NAME, INT, st.sampled_from(MemberStatus)), max_size=12).map(tuple),
    st.lists(ROW, max_size=3).map(tuple),
    st.lists(st.builds(Grant, INT, st.text(max_size=40), FIGURE, FIGURE, INT), max_size=3).map(tuple),
    st.lists(st.builds(Return, INT, INT, FIGURE), max_size=3).map(tuple),
    st.none() | PART,
    st.lists(ORDER, max_size=3).map(tuple),
)


def room(p: Packet) -> int:
    told: list[MemberUpdate | Row | Grant | Return | PartialSum | Override] = [
        *p.updates,
        *p.rows,
        *p.grants,
        *p.returns,
        *p.orders,
    ]
    return sum(t.size_bytes for t in [*told, *([p.partial_sum] if p.partial_sum else [])])


@settings(deadline=None)
@given(PACKET)
def test_packet_within_size_limit_fits_datagram_and_round_trips(p: Packet) -> None:
    data = encode("a-fleet-of-thirty-two-characters", p)
    if (
        room(p) <= MAX_PAYLOAD_BYTES
        and all(c.isascii() for row in p.rows for w in row.demands for c in w.budget)
        and all(g.budget.isascii() for g in p.grants)
    ):
        assert len(data) <= MAX_DATAGRAM_BYTES
    if len(data) <= MAX_DATAGRAM_BYTES:
        assert decode("a-fleet-of-thirty-two-characters", data) == p


def made() -> Peers:
    p = Peers("n1", ["n1", "n2", "n3"], 1, 1000, 0.0, ExchangeSettings(wave_s=0.1))
    p.register_budget("b", 10.0, 0.0)
    return p


def state(p: Peers) -> str:
    """Returns all state that a datagram could change, except `dropped`."""
    shown = p.show(5.0)
    del shown["dropped"]
    rest = (
        p.escrow.lent_grants,
        p.escrow.borrowed_grants,
        p.escrow.returned_until,
        p.rows.by_owner,
        p.sums.partial_sums,
        p.members.pending_pings,
    )
    return f"{shown} {rest} {sorted(p.members.pending_updates)}"


GOOD = Packet(PacketKind.GOSSIP, "n2", 7, 1000)
SOUND = encode(
    "f",
    GOOD._replace(
        updates=(MemberUpdate("n3", 5, MemberStatus.ALIVE),), rows=(Row("n3", 1, 1, 1, 0.0, 1.0, ()),)
    ),
)


@settings(deadline=None, max_examples=400)
@given(
    st.binary(max_size=200)
    | st.tuples(st.integers(0, len(SOUND) - 1), st.binary(max_size=4)).map(
        lambda cut: SOUND[: cut[0]] + cut[1] + SOUND[cut[0] + 1 :]
    )
)
def test_arbitrary_bytes_are_decoded_or_rejected(data: bytes) -> None:
    p, before = made(), state(made())
    try:
        packet = decode("f", data)
    except MalformedDatagramError:
        assert state(p) == before
        return
    if validation_error(packet) is not None or packet.sender not in ("n2", "n3"):
        assert p.receive(1.0, packet) == []
        # a packet of another process with this dispatcher's name is counted, and has no other effect
        assert p.name_conflicts == (packet.sender == "n1" and packet.boot != p.boot)
        p.name_conflicts = 0
        assert state(p) == before
    else:
        p.receive(1.0, packet)
        p.tick(2.0)


def test_packet_with_own_name_is_counted_as_conflict_without_other_effect() -> None:
    p, before = made(), state(made())
    assert p.receive(1.0, GOOD._replace(sender="n1", boot=p.boot + 1)) == []
    assert p.name_conflicts == 1
    p.name_conflicts = 0
    assert state(p) == before


WANT_OF_ALL = Demand("b", 1.0, 0.0, 1.0)


def rowed(**changes: object) -> Packet:
    return GOOD._replace(rows=(Row("n2", 7, 1000, 1, 0.0, 1.0, (WANT_OF_ALL,))._replace(**changes),))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "packet",
    [
        GOOD._replace(incarnation=MAX_INCARNATION + 1),
        GOOD._replace(updates=(MemberUpdate("n3", MAX_INCARNATION + 1, MemberStatus.GONE),)),
        rowed(age_s=math.nan),
        rowed(age_s=-1.0),
        rowed(requested_at=math.inf),
        rowed(incarnation=1 << 52),
        rowed(demands=(Demand("b", 1e300, 0.0, 0.0),)),
        rowed(demands=(Demand("b", 1.0, 0.0, math.nan),)),
        rowed(demands=(Demand("b", 1.0, -1.0, 0.0),)),
        rowed(demands=(WANT_OF_ALL, WANT_OF_ALL)),
        GOOD._replace(grants=(Grant(1, "b", math.inf, 0.0, 1),)),
        GOOD._replace(grants=(Grant(1, "b", 1.0, math.nan, 1),)),
        GOOD._replace(returns=(Return(1, 1, math.nan),)),
        GOOD._replace(partial_sum=PartialSum(1, 1, 0, 0.0, ())),
        GOOD._replace(partial_sum=PartialSum(1, 1, 2, math.nan, ())),
        GOOD._replace(partial_sum=PartialSum(64, 1, 2, 0.0, ())),
        GOOD._replace(partial_sum=PartialSum(0, 1, 1, 0.0, ((1, math.nan),))),
    ],
)
def test_out_of_range_values_have_no_effect(packet: Packet) -> None:
    p, before = made(), state(made())
    assert p.receive(1.0, packet) == []
    assert state(p) == before
    assert p.dropped == {"flaw": 1}


def test_unlisted_sender_and_name_conflict_have_no_effect() -> None:
    p, before = made(), state(made())
    assert p.receive(1.0, GOOD._replace(sender="n9")) == []
    assert state(p) == before
    p.receive(1.0, GOOD._replace(sender="n1", boot=p.boot))
    assert p.name_conflicts == 0  # an echo of its own packet
    p.receive(1.0, GOOD._replace(sender="n1", boot=p.boot + 1))
    assert p.name_conflicts == 1
    rumours = (MemberUpdate("n9", 5, MemberStatus.GONE),)
    p.receive(1.0, GOOD._replace(updates=rumours, rows=(Row("n9", 1, 1, 1, 0.0, 1.0, ()),)))
    assert "n9" not in p.members.by_name
    assert "n9" not in p.rows.by_owner


ENDED = encode("f", GOOD)


def with_part(part: object, kind: int = 0) -> bytes:
    return msgspec.msgpack.encode([VERSION, "f", kind, "n2", 7, 1, 0, "", [], [], [], [], part, []])


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", "malformed"),
        (ENDED[:-1], "malformed"),
        (ENDED + b"\0", "malformed"),
        (b"x" * (MAX_DATAGRAM_BYTES + 1), "too long"),
        (encode("g", GOOD), "fleet"),
        (msgspec.msgpack.encode([VERSION + 1, "f", {}]), "version"),
        (ENDED.replace(bytes([0x9E, VERSION]), bytes([0x9E, VERSION + 1])), "version"),
        (encode("f", GOOD._replace(sender="n" * 65)), "malformed"),
        (with_part([1, 1, 1, 0.0, b"abc"]), "malformed"),
        (with_part(None, kind=9), "malformed"),
        (b"\x91" * 1000, "malformed"),
    ],
)
def test_reason_of_dropped_datagram(data: bytes, why: str) -> None:
    with pytest.raises(MalformedDatagramError, match=why):
        decode("f", data)


def at(port: int) -> tuple[str, int]:
    return "127.0.0.1", port


def test_actor_drops_foreign_datagrams_and_runs_without_socket() -> None:
    """Real sockets: a listed sender, an unlisted one, and an own port that is occupied at first."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as own,
    ):
        for s in (other, stranger, own):
            s.bind(("127.0.0.1", 0))
        listed = {"n1": own.getsockname(), "n2": other.getsockname(), "n3": at(9)}
        actor = PeersActor(made(), "f", own.getsockname(), listed, lambda: 1.0, None)

        async def play() -> None:
            actor.start()
            assert actor.socket is None
            assert actor.show()["socket"] is False
            own.close()
            actor._open()
            assert actor.socket is not None
            for sender in (stranger, other):
                sender.sendto(encode("f", GOOD._replace(kind=PacketKind.PING, sequence=4)), actor.own_address)
            stranger.sendto(encode("f", GOOD._replace(sender="n9")), actor.own_address)
            for _ in range(1000):
                if actor.received == 3:
                    break
                await asyncio.sleep(0.001)
            actor.stop()

        asyncio.run(play())
        shown = actor.show()
        assert shown["dropped"] == {"address": 1, "unlisted": 1}
        assert shown["datagrams"]["received"] == 3
        other.settimeout(5)
        answer = decode("f", other.recv(MAX_DATAGRAM_BYTES))
        assert (answer.kind, answer.sender, answer.sequence) == (PacketKind.ACK, "n1", 4)
        text = "\n".join(format_answer(shown))
        assert "n1: 3 listed, 2 alive, 0 suspected, 1 gone" in text
        assert "dropped: address: 1" in text
        assert "b: 0.333 of 10 a second" in text


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("", "exactly one of members and file"),
        ("members = a=127.0.0.1:1\nfile = x", "exactly one of members and file"),
        ("members = a=127.0.0.1:1, a=127.0.0.1:2", "a is listed twice"),
        ("members = a=127.0.0.1", "unusable"),
        ("members = a=127.0.0.1:1, b=127.0.0.1:1", "the same address"),
        ("members = a b=127.0.0.1:1", "invalid dispatcher name"),
        ("members = a=host:1", "unusable address"),
        ("file = x\nfleet = a b", "fleet"),
        ("file = x\nwave_s = 0", "wave_s"),
        ("file = x\nnix = 1", "nix"),
    ],
)
def test_invalid_section_is_rejected(text: str, reason: str, tmp_path: Path) -> None:
    (tmp_path / "o.ini").write_text(f"[peers]\n{text}\n")
    with pytest.raises(ValueError, match=reason):
        read_options(str(tmp_path / "o.ini"))


def test_member_list_in_file_equals_list_in_section(tmp_path: Path) -> None:
    (tmp_path / "peers.json").write_text('{"n1": "127.0.0.1:1", "n2": "127.0.0.1:2"}')
    listed = {"n1": ("127.0.0.1", 1), "n2": ("127.0.0.1", 2)}
    assert PeersOptions(file=str(tmp_path / "peers.json")).addresses() == listed
    assert PeersOptions(members=["n1=127.0.0.1:1", "n2=127.0.0.1:2"]).addresses() == listed
    (tmp_path / "o.ini").write_text(f"[capture]\n[peers]\nfile = {tmp_path}/peers.json\n")
    options = read_options(str(tmp_path / "o.ini"))
    with pytest.raises(ValueError, match="capture"):
        options.check(["view"], 64)
    for text in ("[]", '{"n1": 3}', '{"n1": "x"}', "{"):
        (tmp_path / "peers.json").write_text(text)
        with pytest.raises(ValueError):
            PeersOptions(file=str(tmp_path / "peers.json")).addresses()
    with pytest.raises(ValueError, match="No such file"):
        PeersOptions(file=str(tmp_path / "nix")).addresses()
