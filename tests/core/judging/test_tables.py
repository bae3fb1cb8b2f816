"""Evidence of attempts, combined evidence, the state machine of verdicts, and operator overrides."""

from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchladder.core.health.detection import verdicts
from finchladder.core.health.detection.aggregation import (
    MAX_BAD_PER_REPORTER,
    MAX_GOOD_SCORE,
    REPORT_TIMEOUT_S,
    ReceivedReport,
    combine,
)
from finchladder.core.health.detection.evidence import (
    DECAY_S,
    MAX_BASELINES,
    BaseRate,
    Evidence,
    RunTimeBaseline,
    log_likelihood_ratios,
)
from finchladder.core.health.detection.overrides import MAX_OVERRIDES, Override, OverrideTable
from finchladder.core.health.detection.reports import SubjectReport, has_invalid_values, subject_id
from finchladder.core.health.detection.verdicts import (
    ENOUGH_GOOD_ATTEMPTS,
    TRIAL_SHARES,
    Observation,
    Verdict,
    VerdictState,
    eject,
    step,
)
from finchladder.core.health.outlier_ejection import AttemptSignal


@pytest.mark.parametrize(
    ("rate", "bad", "good"),
    [(0.0, 3.92, -0.69), (0.01, 3.92, -0.69), (0.1, 1.70, -0.69), (0.3, 0.77, -0.69), (0.9, 0.29, -0.69)],
)
def test_scores_of_attempts_depend_on_the_base_rate(rate: float, bad: float, good: float) -> None:
    assert log_likelihood_ratios(rate) == pytest.approx((bad, good), abs=0.02)


@given(st.floats(0.0, 1.0))
def test_the_expected_score_at_the_base_rate_is_not_positive(rate: float) -> None:
    bad, good = log_likelihood_ratios(rate)
    assert rate >= 0.6 or rate * bad + (1 - rate) * good <= 0  # at higher rates no worker is an outlier


def test_evidence_decays_with_time_and_attempts() -> None:
    evidence = Evidence(0.0)
    evidence.add(0.0, AttemptSignal.FAILED, 1.0)
    evidence.decay(DECAY_S)
    assert evidence.bad == pytest.approx(0.368, abs=0.001)
    for _ in range(100):
        evidence.add(DECAY_S, AttemptSignal.GOOD, 0.0)
    assert evidence.bad < 0.06
    assert 40 < evidence.good < 50
    assert evidence.link == 0
    evidence.add(DECAY_S, AttemptSignal.LINK, 1.0)
    assert evidence.link == 1.0


def test_the_base_rate_starts_low_and_includes_peers_attempts() -> None:
    base_rate = BaseRate(0.0)
    assert base_rate.value() == pytest.approx(0.01)
    for _ in range(20):
        base_rate.add(0.0, True)
    assert base_rate.value() == pytest.approx(0.505)
    assert base_rate.value(1000.0, 0.0) < 0.03


def test_run_times_are_compared_with_the_mean_of_their_class_and_kind() -> None:
    run_times = RunTimeBaseline()
    assert not run_times.is_slow("view", "big", 9.0)
    assert not run_times.is_slow("view", "small", 0.1)
    for _ in range(8):
        assert not run_times.is_slow("view", "small", 0.1)
    assert run_times.is_slow("view", "small", 0.8)
    assert not run_times.is_slow("view", "small", 0.0)
    for n in range(2 * MAX_BASELINES):
        run_times.is_slow("view", f"kind{n}", 0.1)
    assert len(run_times.means) == MAX_BASELINES


BAD, GOOD = log_likelihood_ratios(0.0)
HERE, THERE = 1, 2


def received(
    reporter: str, zone: int = HERE, age: float = 0.0, bad: float = 0, link: float = 0, good: float = 0
) -> ReceivedReport:
    return ReceivedReport(reporter, zone, age, SubjectReport(7, bad, link, good, 1.0, 0.0, 0))


COMBINED = {
    "one bad attempt of one reporter": ([received("a", bad=1)], 2, 1.0, 1),
    "the weight of a reporter is bounded": ([received("a", bad=500)], 2, MAX_BAD_PER_REPORTER, 1),
    "two reporters have twice the weight": (
        [received("a", bad=500), received("b", bad=500)],
        2,
        2 * MAX_BAD_PER_REPORTER,
        2,
    ),
    "link failures in the own zone count per reporter": (
        [received("a", link=1), received("b", link=1)],
        2,
        2.0,
        2,
    ),
    "link failures of another zone count as one reporter": (
        [received(n, THERE, link=1) for n in "abcdefgh"],
        2,
        MAX_BAD_PER_REPORTER,
        1,
    ),
    "with a single zone link failures count for nothing": (
        [received(n, link=1) for n in "abcdefgh"],
        1,
        0.0,
        0,
    ),
    "expired reports count for nothing": ([received("a", age=REPORT_TIMEOUT_S, bad=1)], 2, 0.0, 0),
    "the weight of good attempts is bounded": ([received("a", good=500)], 2, -MAX_GOOD_SCORE / BAD, 0),
}


@pytest.mark.parametrize("name", COMBINED)
def test_combined_evidence(name: str) -> None:
    reports, zones, score, reporters = COMBINED[name]
    found = combine(reports, HERE, zones, BAD, GOOD)
    assert found.score == pytest.approx(score * BAD)
    assert found.reporters == reporters


SCORES = (-3.0, 0.0, 4.0, 6.0, 12.0)


def test_every_transition_of_the_state_machine() -> None:
    """All combinations of the observed values and of three times, from each state and stage."""
    transitions = set()
    starts = [(VerdictState.CLEAR, 0), (VerdictState.SUSPECTED, 0), (VerdictState.CONDEMNED, 0)]
    starts += [(VerdictState.TRIAL, s) for s in range(1, len(TRIAL_SHARES) + 1)]
    values = product(SCORES, (0, 1, 2, 3), (0.0, 100.0), (2, 3), (False, True), (False, True))
    for (state, stage), value, later in product(starts, list(values), (0.1, 1.5, 50.0)):
        v = Verdict(0.0)
        v.state, v.stage, v.until, v.term_s = (
            state,
            stage,
            1.0,
            2.0 if state is not VerdictState.CLEAR else 0.0,
        )
        seen = Observation(*value)
        step(v, later, seen, 2.0)
        transitions.add((state, v.state))
        new = v.state is VerdictState.CONDEMNED and state is not VerdictState.CONDEMNED
        if new:
            assert seen.may_eject
            assert v.until > later
            assert v.term_s <= verdicts.MAX_TERM_S
            assert seen.reporters >= (
                min(2, seen.required_reporters) if state is VerdictState.TRIAL else seen.required_reporters
            )
            assert seen.score >= (5.0 if state is VerdictState.TRIAL else 10.0)
            assert state is VerdictState.TRIAL or not seen.is_mass_failure
        if state is VerdictState.CONDEMNED:
            assert v.state is (VerdictState.TRIAL if later >= 1.0 else VerdictState.CONDEMNED)
        if state is VerdictState.TRIAL and seen.score > 0 and not new:
            assert v.state is VerdictState.TRIAL and v.stage == stage or later >= verdicts.MAX_TRIAL_S
        if (
            state is VerdictState.TRIAL
            and seen.score <= 0
            and (later >= 1.0 or seen.good >= ENOUGH_GOOD_ATTEMPTS[stage - 1])
        ):
            assert (v.state, v.stage) == (
                (VerdictState.TRIAL, stage + 1) if stage < len(TRIAL_SHARES) else (VerdictState.CLEAR, 0)
            )
        if state in (VerdictState.CLEAR, VerdictState.SUSPECTED) and not new:
            assert v.state is (VerdictState.SUSPECTED if seen.score > 3.0 else VerdictState.CLEAR)
    assert transitions == {
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


def test_relapses_double_the_term_up_to_the_maximum_and_a_verdict_expires() -> None:
    v, now, terms = Verdict(0.0), 0.0, []
    bad, good = Observation(20.0, 5, 0.0, 3, True, False), Observation(0.0, 0, 0.0, 3, True, False)
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
    eject(v, now, 3.0, "others")
    assert (v.state, v.until, v.cause) == (VerdictState.CONDEMNED, now + 3.0, "others")


def test_a_subject_is_one_incarnation_and_one_class() -> None:
    assert len({subject_id(w, s, c) for w in ("w1", "w2") for s in (0.0, 5.0) for c in ("a", "b")}) == 8


@pytest.mark.parametrize(
    "change",
    [{"bad": -1.0}, {"good": float("nan")}, {"left_s": 1e300}, {"subject_id": 1 << 32}, {"stage": 99}, {}],
)
def test_values_out_of_range_are_detected(change: dict[str, float]) -> None:
    report = SubjectReport(7, 1.0, 0.0, 2.0, 1.0, 0.0, 0)._replace(**change)  # type: ignore[arg-type]
    assert has_invalid_values((report,)) is bool(change)
    assert has_invalid_values((report,) * 13)


# --- operator overrides

OVERRIDES = st.builds(
    Override,
    st.sampled_from(["w1", "w2"]),
    st.sampled_from(["out", "in", "let"]),
    st.floats(1.0, 50.0),
    st.integers(1, 3),
    st.sampled_from(["n1", "n2"]),
    st.just(""),
)


def stored(overrides: list[Override]) -> dict[str, tuple[int, str]]:
    table = OverrideTable("n9", 3)
    for override in overrides:
        table.merge(0.0, override)
    return {s: (found.stamp, found.issuer) for s, (found, _) in table.entries.items()}


@given(st.lists(OVERRIDES, max_size=6), st.data())
def test_merging_overrides_is_commutative_and_idempotent(
    overrides: list[Override], data: st.DataObject
) -> None:
    assert stored(data.draw(st.permutations(overrides))) == stored(overrides) == stored(overrides + overrides)


def test_a_later_override_replaces_one_its_issuer_received_and_all_expire() -> None:
    a, b = OverrideTable("n1", 2), OverrideTable("n2", 2)
    first = a.issue(0.0, "w1", "out", 60.0, "disk")
    assert b.merge(1.0, first._replace(left_s=59.0))
    assert not b.merge(1.0, first)
    assert a.merge(2.0, b.issue(2.0, "w1", "in", 30.0, ""))
    assert not b.merge(2.0, first)
    assert [(s, out) for s, (out, _, _) in a.as_event(3.0).overrides.items()] == [("w1", False)]
    a.issue(4.0, "w1", "let", 1.0, "")
    assert a.as_event(4.0).overrides == {}
    assert "w1" in a.entries
    assert not a.merge(5.0, first._replace(left_s=10.0))
    a.remove_expired(32.1)
    assert not a.entries
    assert not a.merge(40.0, first._replace(left_s=0.0))
    with pytest.raises(ValueError, match="no override of w1 to revoke"):
        a.issue(40.0, "w1", "let", 1.0, "")
    for n in range(MAX_OVERRIDES):
        a.issue(40.0, f"s{n}", "out", 60.0, "")
    with pytest.raises(ValueError, match="too many overrides: 64 are stored"):
        a.issue(40.0, "one more", "out", 60.0, "")
    assert not a.merge(40.0, first)
    assert len(a.entries) == MAX_OVERRIDES
    assert sum(o.size_bytes for o in a.select(40.0, 60)) <= 60
