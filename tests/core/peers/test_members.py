"""What is held of a member, by the table of members.py; probes, lateness, and what is told."""

from random import Random

import pytest

from finchladder.core.peers.membership import LOOK_FOR, PIECE, Members, Say, Timing
from finchladder.core.peers.messages import ROOM, Kind, Packet, Rumour, Standing

ALIVE, SUSPECTED, GONE = Standing.ALIVE, Standing.SUSPECTED, Standing.GONE
NAMES = ["n1", "n2", "n3", "n4", "n5"]
T = Timing()


def members(names: list[str] = NAMES) -> Members:
    return Members("n1", names, 50, 0.0, Random(1), T)


def hold(m: Members, standing: Standing, incarnation: int, name: str = "n2") -> None:
    m._hold(0.0, m.of[name], incarnation, standing, "n5")


def word(sender: str, *rumours: Rumour, kind: Kind = Kind.WORD, number: int = 0, about: str = "") -> Packet:
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
def test_what_is_held_after_a_rumour(
    held: tuple[Standing, int], heard: tuple[Standing, int], then: tuple[Standing, int]
) -> None:
    m = members()
    hold(m, *held)
    m.hear(1.0, word("n3", Rumour("n2", heard[1], heard[0])))
    assert (m.of["n2"].standing, m.of["n2"].incarnation) == then


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
def test_who_is_said_to_be_gone_says_that_it_is_there(heard: tuple[Standing, int], incarnation: int) -> None:
    m = members()
    m.hear(1.0, word("n3", Rumour("n1", heard[1], heard[0])))
    assert (m.me.standing, m.me.incarnation) == (ALIVE, incarnation)
    assert Rumour("n1", incarnation, ALIVE) in m.rumours("n4", ROOM)


def test_a_suspicion_ends_sooner_the_more_accuse_and_not_before_its_shortest() -> None:
    ends = []
    for accusers in (["n3"], ["n3", "n3"], ["n3", "n4"], ["n3", "n4", "n5"], ["n3", "n4", "n5", "n1"]):
        m = members()
        hold(m, ALIVE, 3)
        for who in accusers:
            m._apply(10.0, Rumour("n2", 3, SUSPECTED), who)
        ends.append(m.of["n2"].until - 10.0)
    assert ends[0] == ends[1] > ends[2] > ends[3] == ends[4] == pytest.approx(T.suspicion * T.period_s)
    m.turn_at = 10.0 + ends[4]
    m.turn(m.turn_at)
    assert m.of["n2"].standing is GONE


def quiet(m: Members, standing: Standing = ALIVE) -> None:
    for n in NAMES[1:]:
        hold(m, standing, 3, n)
    m.hot.clear()


def play(m: Members, now: float, end: float) -> tuple[float, list[Say]]:
    """Turns as they are due, up to `end`."""
    said: list[Say] = []
    while m.next_at() <= end:
        now = max(now, m.next_at())
        said += m.turn(now)
    return now, said


def test_one_that_does_not_answer_is_asked_for_through_others_then_suspected() -> None:
    m = members()
    quiet(m)
    now, said = play(m, 0.0, m.turn_at)
    [ping] = [s for s in said if s.kind is Kind.PING]
    now, said = play(m, now, now + T.answer_s)
    helpers = {s.to for s in said if s.kind is Kind.ASK and s.about == ping.to and s.number == ping.number}
    assert helpers == {*NAMES[1:]} - {ping.to}
    assert m.of[ping.to].standing is ALIVE
    for helper in helpers:
        m.hear(now, word(helper, kind=Kind.NACK, number=ping.number, about=ping.to))
    play(m, now, now + T.period_s)
    assert m.of[ping.to].standing is SUSPECTED
    assert m.health == 0


def test_an_answer_through_a_helper_counts_and_silent_helpers_put_oneself_in_doubt() -> None:
    m = members()
    quiet(m)
    now, said = play(m, 0.0, m.turn_at)
    now, _ = play(m, now, now + T.answer_s)
    m.hear(now, word("n5", kind=Kind.ACK, number=said[0].number, about=said[0].to))
    assert not m.probes
    assert m.of[said[0].to].standing is ALIVE
    now, said = play(m, now, m.turn_at)
    play(m, now, now + T.period_s - 0.001)
    now, _ = play(m, now, m.turn_at)
    assert m.health == 1
    assert m.turn_at == now + 2 * T.period_s


def test_asked_by_another_it_pings_and_tells_the_end() -> None:
    m = members()
    quiet(m)
    [ping] = m.hear(0.0, word("n3", kind=Kind.ASK, number=9, about="n4"))
    assert (ping.kind, ping.to) == (Kind.PING, "n4")
    assert m.hear(0.1, word("n4", kind=Kind.ACK, number=ping.number)) == [Say(Kind.ACK, "n3", 9, "n4")]
    m.hear(0.2, word("n3", kind=Kind.ASK, number=10, about="n4"))
    assert Say(Kind.NACK, "n3", 10, "n4") in m.turn(0.2 + T.answer_s)
    for about in ("n1", "n3", "nobody"):
        assert m.hear(0.3, word("n3", kind=Kind.ASK, number=11, about=about)) == []


def test_what_was_not_looked_at_is_nobodys_silence() -> None:
    m = members()
    quiet(m)
    now, said = play(m, 0.0, m.turn_at)
    hold(m, SUSPECTED, 3, "n5")
    until = m.of["n5"].until
    m.turn(now + 30.0)  # it stood still
    assert m.of[said[0].to].standing is not SUSPECTED or said[0].to == "n5"
    assert m.health >= 1
    assert m.of["n5"].until > until + 25.0
    assert m.of["n5"].standing is SUSPECTED


def test_those_that_are_gone_are_looked_for_and_a_silent_one_of_them_is_not_suspected() -> None:
    m = members()
    quiet(m, GONE)
    _, said = play(m, 0.0, 3 * LOOK_FOR * T.period_s)
    assert len(said) >= 2
    assert {s.kind for s in said} == {Kind.PING}
    assert not m.probes
    assert m.count(GONE) == 4
    assert m.alive() == ["n1"]


def test_news_are_told_so_often_and_a_piece_of_the_table_after_them() -> None:
    m = members()
    quiet(m)
    hold(m, SUSPECTED, 4, "n2")
    times = sum(Rumour("n2", 4, SUSPECTED) in m.rumours("n4", ROOM)[:1] for _ in range(40))
    assert times >= m.repeats
    assert not m.hot
    told = [m.rumours("n4", ROOM) for _ in range(8)]
    assert all(len(t) <= PIECE for t in told)
    assert {r.name for t in told for r in t} == {*NAMES[1:]}
    assert m.rumours("n2", ROOM)[0] == Rumour("n2", 4, SUSPECTED)  # who is suspected hears of it first
    assert m.rumours("n4", 10) == []


def test_another_list_is_followed() -> None:
    m = members()
    quiet(m)
    hold(m, SUSPECTED, 9, "n2")
    m.listed(["n1", "n3", "n9"])
    assert m.alive() == ["n1", "n3"]
    assert "n2" not in m.hot
    assert m.of["n9"].standing is GONE
    m.hear(1.0, word("n2", Rumour("n2", 99, ALIVE)))
    assert "n2" not in m.of
