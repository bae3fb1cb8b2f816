"""Decisions that judge by evidence: what they leave, for whom, and how it comes back."""

from typing import Any

import pytest

from finchladder import api
from finchladder.core.health.detection.detector import DetectorSettings, OutlierDetector, ReportSource, attach
from finchladder.core.health.detection.reports import PeerReport, WorkerReport, subject_id, zone_number
from finchladder.core.health.detection.verdicts import VerdictState
from tests.helpers import Bench, entry, workers

START = 100.0


def bench(
    names: list[str], zones: tuple[str, ...] = ("", "b"), **changes: Any
) -> tuple[Bench, OutlierDetector, list[str]]:
    logged: list[str] = []
    b = Bench(names, zones=zones, **changes)
    judging = attach(b.d, "n1", DetectorSettings(), b.now, logged.append)
    b.run_until(b.now + 3.0)  # it has not just started
    return b, judging, logged


def told(
    server: str, job_class: str, bad: float, good: float = 0.0, left: float = 0.0, link: float = 0.0
) -> WorkerReport:
    return WorkerReport(subject_id(server, 0.0, job_class), bad, link, good, 0.1, left, 0)


def hear(
    b: Bench, says: dict[str, tuple[WorkerReport, ...]], alive: int = 40, zone: str = "", unwell: bool = False
) -> None:
    """All that others say now; who said something before and is not in it takes it back."""
    judging = b.d.state.health
    assert isinstance(judging, OutlierDetector)
    whole = {n: () for n in judging.tellers if n not in says} | says
    witnesses = tuple(PeerReport(name, zone_number(zone), 0.0, said) for name, said in whole.items())
    b.feed(api.PeerReports(witnesses, 500.0, 1.0, alive, unwell))


def state(j: OutlierDetector, server: str, job_class: str = "safe") -> VerdictState:
    v = j.verdicts.get(server, {}).get(job_class)
    return v.state if v is not None else VerdictState.CLEAR


def sent_to(b: Bench, job_class: str, n: int = 60) -> set[str]:
    found = set()
    for key in range(n):
        name, sent = b.ask(job_class, key=key)
        found |= {s.worker for s in sent}
        b.serve(name)
    return found


def test_three_tellers_are_enough_and_fewer_are_not() -> None:
    b, j, logged = bench(workers(10))
    hear(b, {n: (told("w3", "safe", 1),) for n in ("n2", "n3")})
    assert state(j, "w3") is VerdictState.SUSPECTED
    assert "w3" not in sent_to(b, "unsafe")
    b.run_until(b.now + 0.2)
    hear(b, {n: (told("w3", "safe", 1),) for n in ("n2", "n3", "n4")})
    assert state(j, "w3") is VerdictState.CONDEMNED
    assert "w3" not in sent_to(b, "safe") | sent_to(b, "unsafe")
    assert logged
    assert logged[0].startswith("w3 is out for safe, 2.0 s: 3 tellers")


@pytest.mark.parametrize(
    ("says", "alive", "out"),
    [
        ({f"n{n}": (told("w3", "safe", 9),) for n in (2, 3)}, 40, False),  # as loud as they may be
        ({f"n{n}": (told("w3", "safe", 9),) for n in (2, 3)}, 5, True),  # of five, two are enough
        ({f"n{n}": (told("w3", "safe", 1, 3),) for n in (2, 3, 4)}, 40, False),  # and went well as often
        (
            {f"n{n}": (told("w3", "safe", 0, link=2),) for n in range(2, 30)},
            40,
            True,
        ),  # links of the own zone
    ],
)
def test_who_is_condemned(says: dict[str, tuple[WorkerReport, ...]], alive: int, out: bool) -> None:
    b, j, _ = bench(workers(10))
    hear(b, says, alive)
    assert (state(j, "w3") is VerdictState.CONDEMNED) is out


def test_a_zone_that_is_cut_off_condemns_nobody_elsewhere() -> None:
    b, j, _ = bench(workers(10))
    hear(
        b,
        {f"n{n}": tuple(told(f"w{k}", "safe", 0, link=5) for k in range(10)) for n in range(2, 60)},
        100,
        "b",
    )
    assert not any(state(j, w) is VerdictState.CONDEMNED for w in workers(10))


def test_one_that_lies_again_and_again_condemns_nobody() -> None:
    b, j, _ = bench(workers(10))
    for n in range(20):
        b.run_until(b.now + 0.2)
        hear(
            b,
            {"n2": tuple(told(f"w{k}", c, 500 + n, left=500) for k in range(6) for c in ("safe", "unsafe"))},
        )
    assert not any(v.state is VerdictState.CONDEMNED for h in j.verdicts.values() for v in h.values())


def test_a_class_that_fails_is_left_and_the_other_is_not_where_it_goes_well() -> None:
    b, j, _ = bench(workers(10))
    says = (told("w3", "unsafe", 2), told("w3", "safe", 0, 4))
    hear(b, {f"n{n}": says for n in (2, 3, 4)})
    assert (state(j, "w3", "unsafe"), state(j, "w3", "safe")) == (VerdictState.CONDEMNED, VerdictState.CLEAR)
    assert "w3" in sent_to(b, "safe")
    assert "w3" not in sent_to(b, "unsafe")


def test_where_nothing_is_known_of_a_class_the_other_ones_speak_for_it() -> None:
    b, j, _ = bench(workers(10))
    hear(b, {f"n{n}": (told("w3", "unsafe", 1),) for n in (2, 3, 4)})
    assert {state(j, "w3", c) for c in ("safe", "unsafe", "keyed")} == {VerdictState.CONDEMNED}


def out(j: OutlierDetector) -> set[str]:
    held = {VerdictState.CONDEMNED, VerdictState.TRIAL}
    return {a for a, h in j.verdicts.items() if {v.state for v in h.values()} & held}


@pytest.mark.parametrize(("bad", "later"), [(4, {"w1", "w2", "w3"}), (8, set())])
def test_a_mass_waits_for_its_second_sign_then_the_worst_go_unless_most_are_alike(
    bad: int, later: set[str]
) -> None:
    b, j, _ = bench(workers(10))
    says = {f"n{n}": tuple(told(f"w{k}", "safe", 1 + 0.01 * k) for k in range(bad)) for n in range(2, 8)}
    hear(b, says)
    assert not out(j)
    b.run_until(b.now + 2.6)
    hear(b, says)
    assert out(j) == later  # three of ten at the most


@pytest.mark.parametrize(("size", "most"), [(1, 0), (2, 1), (3, 1), (4, 1), (10, 3)])
def test_the_last_ready_ones_are_never_left(size: int, most: int) -> None:
    b, j, _ = bench(workers(size))
    for k in range(max(1, size // 2)):  # one after another, so that it is no mass at first
        b.run_until(b.now + 0.3)
        hear(b, {f"n{n}": tuple(told(f"w{i}", "safe", 3) for i in range(k + 1)) for n in range(2, 8)})
    b.run_until(b.now + 2.6)
    hear(b, {f"n{n}": tuple(told(f"w{i}", "safe", 3) for i in range(max(1, size // 2))) for n in range(2, 8)})
    assert len(out(j)) == most


def test_one_that_has_started_takes_others_word_where_enough_hold_it_out_and_for_no_longer() -> None:
    b, j, _ = bench(workers(10))
    hear(b, {f"n{n}": (told("w3", "safe", 0, left=4.0),) for n in (2, 3, 4)})
    assert state(j, "w3") is VerdictState.CLEAR  # 4 of 40 are needed, three say so
    b.run_until(b.now + 0.2)
    hear(b, {f"n{n}": (told("w3", "safe", 0, left=float(n)),) for n in (2, 3, 4, 5)})
    assert state(j, "w3") is VerdictState.CONDEMNED
    assert j.verdicts["w3"]["safe"].until == pytest.approx(b.now + 3.0)
    hear(b, {})
    b.run_until(b.now + 4.5)
    hear(b, {})
    assert state(j, "w3") is VerdictState.TRIAL
    for _ in range(5):
        b.run_until(b.now + 1.1)
        hear(b, {})
    assert state(j, "w3") is VerdictState.CLEAR
    assert "w3" in sent_to(b, "safe")


def test_on_trial_only_some_may_send_one_job_each_and_none_that_may_not_be_repeated() -> None:
    allowed = 0
    for own in range(200):
        b = Bench(workers(3), zones=("", "b"))
        j = attach(b.d, f"n{own}", DetectorSettings(), b.now)
        b.run_until(b.now + 3.0)
        hear(b, {f"n{n}": (told("w1", "safe", 2),) for n in range(300, 306)}, 200)
        assert state(j, "w1") is VerdictState.CONDEMNED
        b.run_until(b.now + 2.1)
        hear(b, {}, 200)
        assert state(j, "w1") is VerdictState.TRIAL
        got = [s.worker for key in range(20) for s in b.ask("safe", key=key)[1]]
        assert got.count("w1") <= 1
        allowed += got.count("w1")
        assert "w1" not in [s.worker for key in range(20) for s in b.ask("unsafe", key=key)[1]]
    assert 1 <= allowed <= 12  # 2 % of 200


def test_what_was_on_its_way_when_it_went_out_is_no_evidence_on_trial() -> None:
    b, j, _ = bench(workers(3))
    name, sent = b.ask("unsafe", key=1)
    server = sent[0].worker
    hear(b, {f"n{n}": (told(server, "unsafe", 2),) for n in range(2, 8)})
    assert state(j, server, "unsafe") is VerdictState.CONDEMNED
    b.run_until(b.now + 2.2)
    hear(b, {})
    b.end(name, api.Ending.ERROR)
    assert server not in j.cases
    assert len(b.sends(name)) == 1


def fail(b: Bench, server: str, n: int, job_class: str = "unsafe") -> int:
    """So many jobs of it end badly there; how many found their way."""
    met = 0
    for key in range(4000):
        if met == n:
            break
        name, sent = b.ask(job_class, key=key)
        if sent and sent[0].worker == server:
            met += 1
            b.end(name, api.Ending.ERROR)
            continue
        b.serve(name)
    return met


def test_alone_two_bad_endings_put_it_out_and_one_good_one_is_no_proof() -> None:
    b, j, _ = bench(workers(8), max_attempts=1)
    assert fail(b, "w3", 1, "safe") == 1
    assert "w3" not in sent_to(b, "unsafe")
    assert "w3" in sent_to(b, "safe", 3000)
    assert fail(b, "w3", 3, "safe") in (1, 2, 3)
    assert j.alone["w3"]["safe"][0] > b.now
    assert "w3" not in sent_to(b, "safe")
    b.run_until(b.now + 2.1)
    for key in range(3000):  # its trial, and back
        name, sent = b.ask("safe", key=key)
        b.serve(name)
        if sent and sent[0].worker == "w3":
            break
    assert sent[0].worker == "w3"
    assert "safe" not in j.alone.get("w3", {})
    assert "w3" not in sent_to(b, "unsafe")


def test_full_or_cold_is_not_bad() -> None:
    b, j, _ = bench([], slow_start_s=50.0)
    b.feed(api.WorkerList(api.ListKind.FULL, (entry("w1"), entry("w2", started_at=b.now))))
    for _ in range(20):
        name, _ = b.ask("safe")
        b.end(name, api.Ending.OVERLOADED)
    assert not j.cases
    assert not j.verdicts


@pytest.mark.parametrize("why", ["just started", "late", "unwell", "all look bad to it"])
def test_who_is_in_doubt_about_itself_says_nothing(why: str) -> None:
    b = Bench(workers(12), max_attempts=1)
    j = attach(b.d, "n1", DetectorSettings(), b.now)
    if why != "just started":
        b.run_until(b.now + 3.0)
    telling = ReportSource(j, b.d)
    if why == "all look bad to it":
        for key in range(24):
            b.end(b.ask("safe", key=key)[0], api.Ending.ERROR)
    else:
        fail(b, "w3", 1, "safe")
    if why == "late":
        b.feed(api.LoopStall(0.5))
    if why == "unwell":
        hear(b, {}, unwell=True)
    assert telling.own_report(b.now) == (j.zone, 0.0, 0.0, ())
    b.run_until(b.now + 8.0)
    hear(b, {})
    for key in range(60):
        b.serve(b.ask("safe", key=key)[0])
    assert telling.own_report(b.now).attempts > 0


def test_a_bad_ending_is_news_once_and_a_server_that_starts_anew_is_another() -> None:
    b, j, _ = bench(workers(6), max_attempts=1)
    telling = ReportSource(j, b.d)
    assert not telling.has_urgent_report()
    assert fail(b, "w3", 1, "safe")
    assert telling.has_urgent_report()
    word = telling.own_report(b.now)
    assert not telling.has_urgent_report()
    assert [(s.subject_id, s.bad) for s in word.worker_reports][0] == (
        subject_id("w3", 0.0, "safe"),
        1.0,
    )
    b.patch(entry("w3", started_at=b.now))
    assert telling.own_report(b.now).worker_reports == ()
    assert not j.cases
    hear(b, {f"n{n}": (told("w3", "safe", 5),) for n in range(2, 9)})  # of its former life
    assert state(j, "w3") is VerdictState.CLEAR


@pytest.mark.parametrize(("out", "left"), [(True, {"w3"}), (False, set())])
def test_the_operators_word_holds_within_the_bound(out: bool, left: set[str]) -> None:
    b, j, logged = bench(workers(6))
    b.feed(api.OperatorOverrides({"w3": (out, 60.0, "disk")}))
    hear(b, {f"n{n}": (told("w3", "safe", 5),) for n in range(2, 9)})
    assert set(workers(6)) - sent_to(b, "safe", 300) == left
    b.feed(api.OperatorOverrides({f"w{n}": (True, 60.0, "") for n in range(6)}))
    b.run_until(b.now + 0.2)
    assert len(sent_to(b, "safe", 300)) == 5  # one of six may be out, whatever is said
    b.feed(api.OperatorOverrides({}))
    for _ in range(8):
        b.run_until(b.now + 1.1)
        hear(b, {})
    assert sent_to(b, "safe", 300) == set(workers(6))
    assert not out or "the operator: disk" in logged[0]


def test_a_subject_that_the_list_does_not_know_yet_is_judged_once_it_does() -> None:
    b, j, _ = bench(workers(6))
    born = b.now - 100.0
    said = told("w9", "safe", 2)._replace(subject_id=subject_id("w9", born, "safe"))
    hear(b, {f"n{n}": (said,) for n in range(2, 6)})
    assert j.strange
    assert not j.subjects
    b.patch(entry("w9", started_at=born))
    b.run_until(b.now + 1.1)
    hear(b, {f"n{n}": (said,) for n in range(2, 6)})
    assert state(j, "w9") is VerdictState.CONDEMNED
    assert not j.strange
    b.patch(entry("w9", api.WorkerStatus.REMOVED, started_at=born))
    hear(b, {f"n{n}": (said,) for n in range(2, 6)})
    assert "w9" not in j.verdicts


def test_own_evidence_ends_by_itself_and_leaves_nothing_behind() -> None:
    b, j, _ = bench(workers(8), max_attempts=1)
    fail(b, "w3", 2, "unsafe")
    assert "w3" not in sent_to(b, "unsafe")
    for _ in range(60):
        b.run_until(b.now + 1.0)
        hear(b, {})
    assert not j.cases
    assert not j.alone
    assert not b.d.workers["w3"].failure_share
    assert not j.ejected
    assert "w3" in sent_to(b, "unsafe", 300)


def test_of_one_that_is_out_already_more_words_are_not_pressed() -> None:
    b, j, _ = bench(workers(10))
    telling = ReportSource(j, b.d)
    hear(b, {n: (told("w3", "safe", 1),) for n in ("n2", "n3")})
    number = subject_id("w3", 0.0, "safe")
    assert not telling.is_ejected(number)
    assert not telling.is_ejected(12345)
    b.run_until(b.now + 0.2)
    hear(b, {n: (told("w3", "safe", 1),) for n in ("n2", "n3", "n4")})
    assert telling.is_ejected(number)
    b.run_until(b.now + 2.2)
    hear(b, {})
    assert state(j, "w3") is VerdictState.TRIAL
    assert not telling.is_ejected(number)


def test_who_is_kept_in_by_the_operator_is_not_left_by_own_evidence_either() -> None:
    b, j, _ = bench(workers(6), max_attempts=1)
    b.feed(api.OperatorOverrides({"w3": (False, 60.0, "")}))
    fail(b, "w3", 4, "safe")
    assert "w3" in sent_to(b, "safe", 300)


def test_where_all_begin_to_fail_alike_the_unluckiest_is_not_condemned() -> None:
    """Each of ten fails three jobs in ten, one more by chance; the fleet's rate has not followed yet."""
    b, j, _ = bench(workers(10))
    unlucky = told("w3", "safe", 1.0, 0.25)
    others = [told(f"w{k}", "safe", 0.2, 0.6) for k in range(10) if k != 3]
    hear(b, {f"n{n}": (unlucky, *others) for n in range(2, 8)})
    assert state(j, "w3") is not VerdictState.CONDEMNED


def test_one_that_fails_among_others_that_do_not_is_condemned_by_the_same_words() -> None:
    b, j, _ = bench(workers(10))
    hear(b, {f"n{n}": (told("w3", "safe", 1.0, 0.25),) for n in range(2, 8)})
    assert state(j, "w3") is VerdictState.CONDEMNED
