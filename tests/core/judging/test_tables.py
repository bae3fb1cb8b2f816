"""Evidence, what it weighs together, and the table of verdicts."""

from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchladder.core.health.detection import verdicts
from finchladder.core.health.detection.aggregation import LEAST, MOST_EACH, SILENT_S, Word, weigh
from finchladder.core.health.detection.evidence import FADE_S, MOST_USUAL, Case, Rate, Usual, weights
from finchladder.core.health.detection.overrides import MOST, Override, OverrideTable
from finchladder.core.health.detection.reports import WorkerReport, has_invalid_values, subject_id
from finchladder.core.health.detection.verdicts import (
    ENOUGH,
    SHARES,
    Facts,
    Verdict,
    VerdictState,
    condemn,
    step,
)
from finchladder.core.health.outlier_ejection import AttemptSignal


@pytest.mark.parametrize(
    ("rate", "bad", "good"),
    [(0.0, 3.92, -0.69), (0.01, 3.92, -0.69), (0.1, 1.70, -0.69), (0.3, 0.77, -0.69), (0.9, 0.29, -0.69)],
)
def test_what_an_ending_adds_goes_by_the_fleets_own_rate(rate: float, bad: float, good: float) -> None:
    assert weights(rate) == pytest.approx((bad, good), abs=0.02)


@given(st.floats(0.0, 1.0))
def test_at_the_fleets_own_rate_evidence_never_adds_up(rate: float) -> None:
    bad, good = weights(rate)
    assert rate >= 0.6 or rate * bad + (1 - rate) * good <= 0  # where all fail alike nobody is a bad one


def test_a_case_fades_by_time_and_by_endings() -> None:
    c = Case(0.0)
    c.add(0.0, AttemptSignal.FAILED, 1.0)
    c.fade(FADE_S)
    assert c.bad == pytest.approx(0.368, abs=0.001)
    for _ in range(100):
        c.add(FADE_S, AttemptSignal.GOOD, 0.0)
    assert c.bad < 0.06
    assert 40 < c.good < 50
    assert c.link == 0
    c.add(FADE_S, AttemptSignal.LINK, 1.0)
    assert c.link == 1.0


def test_a_rate_begins_low_and_takes_in_what_others_saw() -> None:
    r = Rate(0.0)
    assert r.of() == pytest.approx(0.01)
    for _ in range(20):
        r.add(0.0, True)
    assert r.of() == pytest.approx(0.505)
    assert r.of(1000.0, 0.0) < 0.03


def test_a_run_is_slow_against_its_own_class_and_kind_once_some_are_known() -> None:
    u = Usual()
    assert not u.slow("view", "big", 9.0)
    assert not u.slow("view", "small", 0.1)
    for _ in range(8):
        assert not u.slow("view", "small", 0.1)
    assert u.slow("view", "small", 0.8)
    assert not u.slow("view", "small", 0.0)
    for n in range(2 * MOST_USUAL):
        u.slow("view", f"kind{n}", 0.1)
    assert len(u.of) == MOST_USUAL


BAD, GOOD = weights(0.0)
HERE, THERE = 1, 2


def word(
    teller: str, zone: int = HERE, age: float = 0.0, bad: float = 0, link: float = 0, good: float = 0
) -> Word:
    return Word(teller, zone, age, WorkerReport(7, bad, link, good, 1.0, 0.0, 0))


TOGETHER = {
    "one bad ending of one": ([word("a", bad=1)], 2, 1.0, 1),
    "one teller weighs at most so much": ([word("a", bad=500)], 2, MOST_EACH, 1),
    "two weigh twice": ([word("a", bad=500), word("b", bad=500)], 2, 2 * MOST_EACH, 2),
    "a link from the own zone is the own": ([word("a", link=1), word("b", link=1)], 2, 2.0, 2),
    "all links of another zone are one": ([word(n, THERE, link=1) for n in "abcdefgh"], 2, MOST_EACH, 1),
    "of one zone alone links prove nothing": ([word(n, link=1) for n in "abcdefgh"], 1, 0.0, 0),
    "who is silent says nothing": ([word("a", age=SILENT_S, bad=1)], 2, 0.0, 0),
    "good endings of one weigh at most so much": ([word("a", good=500)], 2, -LEAST / BAD, 0),
}


@pytest.mark.parametrize("name", TOGETHER)
def test_what_all_say_together(name: str) -> None:
    words, zones, score, tellers = TOGETHER[name]
    found = weigh(words, HERE, zones, BAD, GOOD)
    assert found.score == pytest.approx(score * BAD)
    assert found.tellers == tellers


SCORES = (-3.0, 0.0, 4.0, 6.0, 12.0)


def test_every_state_and_every_facts_go_where_the_table_says() -> None:
    """All of them: five scores, tellers, good endings, room, mass and times, from each state and stage."""
    seen = set()
    starts = [(VerdictState.CLEAR, 0), (VerdictState.SUSPECTED, 0), (VerdictState.CONDEMNED, 0)]
    starts += [(VerdictState.TRIAL, s) for s in range(1, len(SHARES) + 1)]
    facts = product(SCORES, (0, 1, 2, 3), (0.0, 100.0), (2, 3), (False, True), (False, True))
    for (state, stage), f, later in product(starts, list(facts), (0.1, 1.5, 50.0)):
        v = Verdict(0.0)
        v.state, v.stage, v.until, v.term_s = (
            state,
            stage,
            1.0,
            2.0 if state is not VerdictState.CLEAR else 0.0,
        )
        fact = Facts(*f)
        step(v, later, fact, 2.0)
        seen.add((state, v.state))
        new = v.state is VerdictState.CONDEMNED and state is not VerdictState.CONDEMNED
        if new:
            assert fact.room
            assert v.until > later
            assert v.term_s <= verdicts.LONGEST_S
            assert fact.tellers >= (min(2, fact.needed) if state is VerdictState.TRIAL else fact.needed)
            assert fact.score >= (5.0 if state is VerdictState.TRIAL else 10.0)
            assert state is VerdictState.TRIAL or not fact.mass
        if state is VerdictState.CONDEMNED:
            assert v.state is (VerdictState.TRIAL if later >= 1.0 else VerdictState.CONDEMNED)
        if state is VerdictState.TRIAL and fact.score > 0 and not new:
            assert v.state is VerdictState.TRIAL and v.stage == stage or later >= verdicts.TRIAL_S
        if (
            state is VerdictState.TRIAL
            and fact.score <= 0
            and (later >= 1.0 or fact.good >= ENOUGH[stage - 1])
        ):
            assert (v.state, v.stage) == (
                (VerdictState.TRIAL, stage + 1) if stage < len(SHARES) else (VerdictState.CLEAR, 0)
            )
        if state in (VerdictState.CLEAR, VerdictState.SUSPECTED) and not new:
            assert v.state is (VerdictState.SUSPECTED if fact.score > 3.0 else VerdictState.CLEAR)
    assert seen == {
        (VerdictState.CLEAR, s) for s in (VerdictState.CLEAR, VerdictState.SUSPECTED, VerdictState.CONDEMNED)
    } | {
        (VerdictState.SUSPECTED, s)
        for s in (VerdictState.CLEAR, VerdictState.SUSPECTED, VerdictState.CONDEMNED)
    } | {
        (VerdictState.CONDEMNED, VerdictState.CONDEMNED),
        (VerdictState.CONDEMNED, VerdictState.TRIAL),
        (VerdictState.TRIAL, VerdictState.TRIAL),
        (VerdictState.TRIAL, VerdictState.CONDEMNED),
        (VerdictState.TRIAL, VerdictState.CLEAR),
    }


def test_a_relapse_is_out_twice_as_long_up_to_the_longest_and_a_verdict_ends_by_itself() -> None:
    v, now, terms = Verdict(0.0), 0.0, []
    bad, good = Facts(20.0, 5, 0.0, 3, True, False), Facts(0.0, 0, 0.0, 3, True, False)
    step(v, now, bad, 2.0)
    for _ in range(5):
        terms.append(round(v.until - now, 6))
        now = v.until
        step(v, now, bad, 2.0)
        assert v.state is VerdictState.TRIAL
        step(v, now, bad, 2.0)
    assert terms == [2.0, 4.0, 8.0, 16.0, 16.0]
    for _ in range(40):
        now += 1.0
        step(v, now, good, 2.0)
    assert v.state is VerdictState.CLEAR
    assert v.term_s == 0.0
    condemn(v, now, 3.0, "others")
    assert (v.state, v.until, v.by) == (VerdictState.CONDEMNED, now + 3.0, "others")


def test_a_subject_is_one_life_and_one_class() -> None:
    assert len({subject_id(w, b, c) for w in ("w1", "w2") for b in (0.0, 5.0) for c in ("a", "b")}) == 8


@pytest.mark.parametrize(
    "change",
    [{"bad": -1.0}, {"good": float("nan")}, {"left_s": 1e300}, {"subject_id": 1 << 32}, {"stage": 99}, {}],
)
def test_impossible_figures_are_a_flaw(change: dict[str, float]) -> None:
    said = WorkerReport(7, 1.0, 0.0, 2.0, 1.0, 0.0, 0)._replace(**change)  # type: ignore[arg-type]
    assert has_invalid_values((said,)) is bool(change)
    assert has_invalid_values((said,) * 13)


# --- the operator's word

ORDERS = st.builds(
    Override,
    st.sampled_from(["w1", "w2"]),
    st.sampled_from(["out", "in", "let"]),
    st.floats(1.0, 50.0),
    st.integers(1, 3),
    st.sampled_from(["n1", "n2"]),
    st.just(""),
)


def held(orders: list[Override]) -> dict[str, tuple[int, str]]:
    o = OverrideTable("n9", 3)
    for one in orders:
        o.merge(0.0, one)
    return {s: (found.stamp, found.issuer) for s, (found, _) in o.held.items()}


@given(st.lists(ORDERS, max_size=6), st.data())
def test_words_merge_in_any_order_and_again(orders: list[Override], data: st.DataObject) -> None:
    assert held(data.draw(st.permutations(orders))) == held(orders) == held(orders + orders)


def test_a_later_word_overrules_where_the_first_was_heard_of_and_all_end_by_themselves() -> None:
    a, b = OverrideTable("n1", 2), OverrideTable("n2", 2)
    first = a.issue(0.0, "w1", "out", 60.0, "disk")
    assert b.merge(1.0, first._replace(left_s=59.0))
    assert not b.merge(1.0, first)
    assert a.merge(2.0, b.issue(2.0, "w1", "in", 30.0, ""))
    assert not b.merge(2.0, first)
    assert [(s, out) for s, (out, _, _) in a.as_event(3.0).overrides.items()] == [("w1", False)]
    a.issue(4.0, "w1", "let", 1.0, "")
    assert a.as_event(4.0).overrides == {}
    assert "w1" in a.held
    assert not a.merge(5.0, first._replace(left_s=10.0))
    a.forget(32.1)
    assert not a.held
    assert not a.merge(40.0, first._replace(left_s=0.0))
    with pytest.raises(ValueError, match="nobody has said"):
        a.issue(40.0, "w1", "let", 1.0, "")
    for n in range(MOST):
        a.issue(40.0, f"s{n}", "out", 60.0, "")
    with pytest.raises(ValueError, match="more is not kept"):
        a.issue(40.0, "one more", "out", 60.0, "")
    assert not a.merge(40.0, first)
    assert len(a.held) == MOST
    assert sum(o.room for o in a.select(40.0, 60)) <= 60
