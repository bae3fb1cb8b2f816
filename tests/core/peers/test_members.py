"""Member states by the table of membership.py; pings, stalls of the own process, and selected updates."""

from random import Random

import pytest

from finchladder.core.peers.membership import (
    GONE_PING_INTERVAL_PERIODS,
    TABLE_UPDATES_PER_PACKET,
    MemberList,
    OutgoingMessage,
    Timing,
)
from finchladder.core.peers.messages import MAX_PAYLOAD_BYTES, MemberStatus, MemberUpdate, Packet, PacketKind

ALIVE, SUSPECTED, GONE = MemberStatus.ALIVE, MemberStatus.SUSPECTED, MemberStatus.GONE
NAMES = ["n1", "n2", "n3", "n4", "n5"]
T = Timing()


def members(names: list[str] = NAMES) -> MemberList:
    return MemberList("n1", names, 50, 0.0, Random(1), T)


def hold(m: MemberList, standing: MemberStatus, incarnation: int, name: str = "n2") -> None:
    m._set_status(0.0, m.by_name[name], incarnation, standing, "n5")


def word(
    sender: str,
    *rumours: MemberUpdate,
    kind: PacketKind = PacketKind.GOSSIP,
    number: int = 0,
    about: str = "",
) -> Packet:
    return Packet(kind, sender, 7, 1, number, about, rumours)


@pytest.mark.parametrize(
    ("held", "heard", "then"),
    [
        ((ALIVE, 3), (ALIVE, 4), (ALIVE, 4)),
        ((SUSPECTED, 3), (ALIVE, 4), (ALIVE, 4)),
        ((GONE, 3), (ALIVE, 4), (ALIVE, 4)),
        ((ALIVE, 3), (SUSPECTED, 4), (SUSPECTED, 4)),
        ((GONE, 3), (SUSPECTED, 4), (SUSPECTED, 4)),
        ((ALIVE, 3), (SUSPECTED, 3), (SUSPECTED, 3)),
        ((ALIVE, 3), (GONE, 3), (GONE, 3)),
        ((SUSPECTED, 3), (GONE, 3), (GONE, 3)),
        ((GONE, 3), (GONE, 4), (GONE, 4)),
        ((SUSPECTED, 3), (ALIVE, 3), (SUSPECTED, 3)),
        ((GONE, 3), (ALIVE, 3), (GONE, 3)),
        ((GONE, 3), (SUSPECTED, 3), (GONE, 3)),
        ((ALIVE, 3), (GONE, 2), (ALIVE, 3)),
        ((ALIVE, 3), (SUSPECTED, 2), (ALIVE, 3)),
    ],
)
def test_member_state_after_update(
    held: tuple[MemberStatus, int], heard: tuple[MemberStatus, int], then: tuple[MemberStatus, int]
) -> None:
    m = members()
    hold(m, *held)
    m.receive(1.0, word("n3", MemberUpdate("n2", heard[1], heard[0])))
    assert (m.by_name["n2"].status, m.by_name["n2"].incarnation) == then


@pytest.mark.parametrize(
    ("heard", "incarnation"),
    [
        ((SUSPECTED, 50), 51),
        ((GONE, 50), 51),
        ((GONE, 70), 71),
        ((ALIVE, 70), 71),
        ((ALIVE, 50), 50),
        ((GONE, 49), 50),
    ],
)
def test_own_member_refutes_suspicion(heard: tuple[MemberStatus, int], incarnation: int) -> None:
    m = members()
    m.receive(1.0, word("n3", MemberUpdate("n1", heard[1], heard[0])))
    assert (m.own_member.status, m.own_member.incarnation) == (ALIVE, incarnation)
    assert MemberUpdate("n1", incarnation, ALIVE) in m.select_updates("n4", MAX_PAYLOAD_BYTES)


def test_suspicion_timeout_shrinks_with_reporters_down_to_minimum() -> None:
    ends = []
    for accusers in (["n3"], ["n3", "n3"], ["n3", "n4"], ["n3", "n4", "n5"], ["n3", "n4", "n5", "n1"]):
        m = members()
        hold(m, ALIVE, 3)
        for who in accusers:
            m._apply(10.0, MemberUpdate("n2", 3, SUSPECTED), who)
        ends.append(m.by_name["n2"].suspicion_until - 10.0)
    assert (
        ends[0] == ends[1] > ends[2] > ends[3] == ends[4] == pytest.approx(T.suspicion_periods * T.period_s)
    )
    m.next_period_at = 10.0 + ends[4]
    m.tick(m.next_period_at)
    assert m.by_name["n2"].status is GONE


def quiet(m: MemberList, standing: MemberStatus = ALIVE) -> None:
    for n in NAMES[1:]:
        hold(m, standing, 3, n)
    m.pending_updates.clear()


def play(m: MemberList, now: float, end: float) -> tuple[float, list[OutgoingMessage]]:
    """Ticks whenever due, up to `end`."""
    said: list[OutgoingMessage] = []
    while m.next_due() <= end:
        now = max(now, m.next_due())
        said += m.tick(now)
    return now, said


def test_silent_member_is_probed_indirectly_then_suspected() -> None:
    m = members()
    quiet(m)
    now, said = play(m, 0.0, m.next_period_at)
    [ping] = [s for s in said if s.kind is PacketKind.PING]
    now, said = play(m, now, now + T.ack_timeout_s)
    helpers = {
        s.to
        for s in said
        if s.kind is PacketKind.PING_REQUEST and s.target == ping.to and s.sequence == ping.sequence
    }
    assert helpers == {*NAMES[1:]} - {ping.to}
    assert m.by_name[ping.to].status is ALIVE
    for helper in helpers:
        m.receive(now, word(helper, kind=PacketKind.NACK, number=ping.sequence, about=ping.to))
    play(m, now, now + T.period_s)
    assert m.by_name[ping.to].status is SUSPECTED
    assert m.health_score == 0


def test_indirect_answer_counts_and_silent_helpers_raise_own_health_score() -> None:
    m = members()
    quiet(m)
    now, said = play(m, 0.0, m.next_period_at)
    now, _ = play(m, now, now + T.ack_timeout_s)
    m.receive(now, word("n5", kind=PacketKind.ACK, number=said[0].sequence, about=said[0].to))
    assert not m.pending_pings
    assert m.by_name[said[0].to].status is ALIVE
    now, said = play(m, now, m.next_period_at)
    play(m, now, now + T.period_s - 0.001)
    now, _ = play(m, now, m.next_period_at)
    assert m.health_score == 1
    assert m.next_period_at == now + 2 * T.period_s


def test_ping_request_is_forwarded_and_answered() -> None:
    m = members()
    quiet(m)
    [ping] = m.receive(0.0, word("n3", kind=PacketKind.PING_REQUEST, number=9, about="n4"))
    assert (ping.kind, ping.to) == (PacketKind.PING, "n4")
    assert m.receive(0.1, word("n4", kind=PacketKind.ACK, number=ping.sequence)) == [
        OutgoingMessage(PacketKind.ACK, "n3", 9, "n4")
    ]
    m.receive(0.2, word("n3", kind=PacketKind.PING_REQUEST, number=10, about="n4"))
    assert OutgoingMessage(PacketKind.NACK, "n3", 10, "n4") in m.tick(0.2 + T.ack_timeout_s)
    for about in ("n1", "n3", "nobody"):
        assert m.receive(0.3, word("n3", kind=PacketKind.PING_REQUEST, number=11, about=about)) == []


def test_stall_of_own_process_causes_no_suspicion() -> None:
    m = members()
    quiet(m)
    now, said = play(m, 0.0, m.next_period_at)
    hold(m, SUSPECTED, 3, "n5")
    until = m.by_name["n5"].suspicion_until
    m.tick(now + 30.0)  # the process stalled
    assert m.by_name[said[0].to].status is not SUSPECTED or said[0].to == "n5"
    assert m.health_score >= 1
    assert m.by_name["n5"].suspicion_until > until + 25.0
    assert m.by_name["n5"].status is SUSPECTED


def test_gone_members_are_pinged_but_not_suspected() -> None:
    m = members()
    quiet(m, GONE)
    _, said = play(m, 0.0, 3 * GONE_PING_INTERVAL_PERIODS * T.period_s)
    assert len(said) >= 2
    assert {s.kind for s in said} == {PacketKind.PING}
    assert not m.pending_pings
    assert m.count(GONE) == 4
    assert m.alive() == ["n1"]


def test_updates_are_repeated_and_table_is_sent_in_rotation() -> None:
    m = members()
    quiet(m)
    hold(m, SUSPECTED, 4, "n2")
    times = sum(
        MemberUpdate("n2", 4, SUSPECTED) in m.select_updates("n4", MAX_PAYLOAD_BYTES)[:1] for _ in range(40)
    )
    assert times >= m.repeats
    assert not m.pending_updates
    told = [m.select_updates("n4", MAX_PAYLOAD_BYTES) for _ in range(8)]
    assert all(len(t) <= TABLE_UPDATES_PER_PACKET for t in told)
    assert {r.name for t in told for r in t} == {*NAMES[1:]}
    assert m.select_updates("n2", MAX_PAYLOAD_BYTES)[0] == MemberUpdate(
        "n2", 4, SUSPECTED
    )  # a suspected member receives this first
    assert m.select_updates("n4", 10) == []


def test_member_list_is_replaced() -> None:
    m = members()
    quiet(m)
    hold(m, SUSPECTED, 9, "n2")
    m.set_names(["n1", "n3", "n9"])
    assert m.alive() == ["n1", "n3"]
    assert "n2" not in m.pending_updates
    assert m.by_name["n9"].status is GONE
    m.receive(1.0, word("n2", MemberUpdate("n2", 99, ALIVE)))
    assert "n2" not in m.by_name
