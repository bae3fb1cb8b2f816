"""The outlier detector in a dispatcher: which workers it ejects for which jobs, and how they return."""

from typing import Any

import pytest

from finchladder import api
from finchladder.core.health.detection.detector import DetectorSettings, OutlierDetector, ReportSource, attach
from finchladder.core.health.detection.reports import PeerReport, SubjectReport, subject_id, zone_number
from finchladder.core.health.detection.verdicts import VerdictState
from tests.helpers import Bench, entry, workers

START = 100.0


def bench(
    names: list[str], zones: tuple[str, ...] = ("", "b"), **changes: Any
) -> tuple[Bench, OutlierDetector, list[str]]:
    logged: list[str] = []
    b = Bench(names, zones=zones, **changes)
    detector = attach(b.d, "n1", DetectorSettings(), b.now, logged.append)
    b.run_until(b.now + 3.0)  # past the time in which a started dispatcher doubts itself
    return b, detector, logged


def report(
    server: str, job_class: str, bad: float, good: float = 0.0, left: float = 0.0, link: float = 0.0
) -> SubjectReport:
    return SubjectReport(subject_id(server, 0.0, job_class), bad, link, good, 0.1, left, 0)


def receive(
    b: Bench,
    reports: dict[str, tuple[SubjectReport, ...]],
    dispatchers: int = 40,
    zone: str = "",
    is_degraded: bool = False,
) -> None:
    """Replaces the reports of all peers; peers that are not in `reports` withdraw theirs."""
    detector = b.d.state.health
    assert isinstance(detector, OutlierDetector)
    whole = {n: () for n in detector.reporters if n not in reports} | reports
    peers = tuple(PeerReport(name, zone_number(zone), 0.0, reports) for name, reports in whole.items())
    b.feed(api.PeerReports(peers, 500.0, 1.0, dispatchers, is_degraded))


def state(detector: OutlierDetector, server: str, job_class: str = "safe") -> VerdictState:
    v = detector.verdicts.get(server, {}).get(job_class)
    return v.state if v is not None else VerdictState.CLEAR


def sent_to(b: Bench, job_class: str, n: int = 60) -> set[str]:
    found = set()
    for key in range(n):
        name, sent = b.ask(job_class, key=key)
        found |= {s.worker for s in sent}
        b.serve(name)
    return found


def test_three_reporters_eject_a_worker_and_two_do_not() -> None:
    b, detector, logged = bench(workers(10))
    receive(b, {n: (report("w3", "safe", 1),) for n in ("n2", "n3")})
    assert state(detector, "w3") is VerdictState.SUSPECTED
    assert "w3" not in sent_to(b, "unsafe")
    b.run_until(b.now + 0.2)
    receive(b, {n: (report("w3", "safe", 1),) for n in ("n2", "n3", "n4")})
    assert state(detector, "w3") is VerdictState.CONDEMNED
    assert "w3" not in sent_to(b, "safe") | sent_to(b, "unsafe")
    assert logged
    assert logged[0].startswith("worker w3 ejected for class safe for 2.0 s: 3 reporters")


@pytest.mark.parametrize(
    ("reports", "dispatchers", "out"),
    [
        ({f"n{n}": (report("w3", "safe", 9),) for n in (2, 3)}, 40, False),  # their weight is bounded
        ({f"n{n}": (report("w3", "safe", 9),) for n in (2, 3)}, 5, True),  # two of five suffice
        ({f"n{n}": (report("w3", "safe", 1, 3),) for n in (2, 3, 4)}, 40, False),  # three good per bad one
        (
            {f"n{n}": (report("w3", "safe", 0, link=2),) for n in range(2, 30)},
            40,
            True,
        ),  # link failures in the own zone
    ],
)
def test_ejection_requires_enough_reporters_and_evidence(
    reports: dict[str, tuple[SubjectReport, ...]], dispatchers: int, out: bool
) -> None:
    b, detector, _ = bench(workers(10))
    receive(b, reports, dispatchers)
    assert (state(detector, "w3") is VerdictState.CONDEMNED) is out


def test_a_partitioned_zone_ejects_no_worker_in_another_zone() -> None:
    b, detector, _ = bench(workers(10))
    receive(
        b,
        {f"n{n}": tuple(report(f"w{k}", "safe", 0, link=5) for k in range(10)) for n in range(2, 60)},
        100,
        "b",
    )
    assert not any(state(detector, w) is VerdictState.CONDEMNED for w in workers(10))


def test_repeated_false_reports_of_one_dispatcher_eject_no_worker() -> None:
    b, detector, _ = bench(workers(10))
    for n in range(20):
        b.run_until(b.now + 0.2)
        receive(
            b,
            {
                "n2": tuple(
                    report(f"w{k}", c, 500 + n, left=500) for k in range(6) for c in ("safe", "unsafe")
                )
            },
        )
    assert not any(v.state is VerdictState.CONDEMNED for h in detector.verdicts.values() for v in h.values())


def test_a_worker_is_ejected_only_for_the_class_that_fails() -> None:
    b, detector, _ = bench(workers(10))
    reports = (report("w3", "unsafe", 2), report("w3", "safe", 0, 4))
    receive(b, {f"n{n}": reports for n in (2, 3, 4)})
    assert (state(detector, "w3", "unsafe"), state(detector, "w3", "safe")) == (
        VerdictState.CONDEMNED,
        VerdictState.CLEAR,
    )
    assert "w3" in sent_to(b, "safe")
    assert "w3" not in sent_to(b, "unsafe")


def test_a_class_without_evidence_is_judged_by_the_other_classes() -> None:
    b, detector, _ = bench(workers(10))
    receive(b, {f"n{n}": (report("w3", "unsafe", 1),) for n in (2, 3, 4)})
    assert {state(detector, "w3", c) for c in ("safe", "unsafe", "keyed")} == {VerdictState.CONDEMNED}


def ejected(detector: OutlierDetector) -> set[str]:
    held = {VerdictState.CONDEMNED, VerdictState.TRIAL}
    return {a for a, h in detector.verdicts.items() if {v.state for v in h.values()} & held}


@pytest.mark.parametrize(("bad", "later"), [(4, {"w1", "w2", "w3"}), (8, set())])
def test_a_mass_failure_delays_ejections_and_then_only_outliers_are_ejected(
    bad: int, later: set[str]
) -> None:
    b, detector, _ = bench(workers(10))
    reports = {f"n{n}": tuple(report(f"w{k}", "safe", 1 + 0.01 * k) for k in range(bad)) for n in range(2, 8)}
    receive(b, reports)
    assert not ejected(detector)
    b.run_until(b.now + 2.6)
    receive(b, reports)
    assert ejected(detector) == later  # at most three of ten


@pytest.mark.parametrize(("size", "most"), [(1, 0), (2, 1), (3, 1), (4, 1), (10, 3)])
def test_the_last_ready_workers_are_never_ejected(size: int, most: int) -> None:
    b, detector, _ = bench(workers(size))
    for k in range(max(1, size // 2)):  # one at a time, so that no mass failure is detected
        b.run_until(b.now + 0.3)
        receive(b, {f"n{n}": tuple(report(f"w{i}", "safe", 3) for i in range(k + 1)) for n in range(2, 8)})
    b.run_until(b.now + 2.6)
    receive(
        b, {f"n{n}": tuple(report(f"w{i}", "safe", 3) for i in range(max(1, size // 2))) for n in range(2, 8)}
    )
    assert len(ejected(detector)) == most


def test_a_new_dispatcher_adopts_ejections_of_enough_peers_for_their_median_time() -> None:
    b, detector, _ = bench(workers(10))
    receive(b, {f"n{n}": (report("w3", "safe", 0, left=4.0),) for n in (2, 3, 4)})
    assert state(detector, "w3") is VerdictState.CLEAR  # 4 of 40 dispatchers are required, three report it
    b.run_until(b.now + 0.2)
    receive(b, {f"n{n}": (report("w3", "safe", 0, left=float(n)),) for n in (2, 3, 4, 5)})
    assert state(detector, "w3") is VerdictState.CONDEMNED
    assert detector.verdicts["w3"]["safe"].until == pytest.approx(b.now + 3.0)
    receive(b, {})
    b.run_until(b.now + 4.5)
    receive(b, {})
    assert state(detector, "w3") is VerdictState.TRIAL
    for _ in range(5):
        b.run_until(b.now + 1.1)
        receive(b, {})
    assert state(detector, "w3") is VerdictState.CLEAR
    assert "w3" in sent_to(b, "safe")


def test_on_trial_selected_dispatchers_send_one_job_each_and_no_unsafe_one() -> None:
    allowed = 0
    for own in range(200):
        b = Bench(workers(3), zones=("", "b"))
        detector = attach(b.d, f"n{own}", DetectorSettings(), b.now)
        b.run_until(b.now + 3.0)
        receive(b, {f"n{n}": (report("w1", "safe", 2),) for n in range(300, 306)}, 200)
        assert state(detector, "w1") is VerdictState.CONDEMNED
        b.run_until(b.now + 2.1)
        receive(b, {}, 200)
        assert state(detector, "w1") is VerdictState.TRIAL
        got = [s.worker for key in range(20) for s in b.ask("safe", key=key)[1]]
        assert got.count("w1") <= 1
        allowed += got.count("w1")
        assert "w1" not in [s.worker for key in range(20) for s in b.ask("unsafe", key=key)[1]]
    assert 1 <= allowed <= 12  # 2 % of 200 dispatchers


def test_attempts_sent_before_the_ejection_are_no_evidence_on_trial() -> None:
    b, detector, _ = bench(workers(3))
    name, sent = b.ask("unsafe", key=1)
    server = sent[0].worker
    receive(b, {f"n{n}": (report(server, "unsafe", 2),) for n in range(2, 8)})
    assert state(detector, server, "unsafe") is VerdictState.CONDEMNED
    b.run_until(b.now + 2.2)
    receive(b, {})
    b.end(name, api.Ending.ERROR)
    assert server not in detector.evidence
    assert len(b.sends(name)) == 1


def fail(b: Bench, server: str, n: int, job_class: str = "unsafe") -> int:
    """Fails up to `n` jobs of the class at the worker, and returns how many were sent there."""
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


def test_two_bad_attempts_eject_locally_and_a_good_trial_job_leaves_a_suspect() -> None:
    b, detector, _ = bench(workers(8), max_attempts=1)
    assert fail(b, "w3", 1, "safe") == 1
    assert "w3" not in sent_to(b, "unsafe")
    assert "w3" in sent_to(b, "safe", 3000)
    assert fail(b, "w3", 3, "safe") in (1, 2, 3)
    assert detector.local_ejections["w3"]["safe"][0] > b.now
    assert "w3" not in sent_to(b, "safe")
    b.run_until(b.now + 2.1)
    for key in range(3000):  # its trial job succeeds and readmits it
        name, sent = b.ask("safe", key=key)
        b.serve(name)
        if sent and sent[0].worker == "w3":
            break
    assert sent[0].worker == "w3"
    assert "safe" not in detector.local_ejections.get("w3", {})
    assert "w3" not in sent_to(b, "unsafe")


def test_overloaded_answers_are_no_evidence() -> None:
    b, detector, _ = bench([], slow_start_s=50.0)
    b.feed(api.WorkerList(api.ListKind.FULL, (entry("w1"), entry("w2", started_at=b.now))))
    for _ in range(20):
        name, _ = b.ask("safe")
        b.end(name, api.Ending.OVERLOADED)
    assert not detector.evidence
    assert not detector.verdicts


@pytest.mark.parametrize("why", ["just started", "stalled", "degraded", "all look bad to it"])
def test_a_dispatcher_that_doubts_itself_reports_nothing(why: str) -> None:
    b = Bench(workers(12), max_attempts=1)
    detector = attach(b.d, "n1", DetectorSettings(), b.now)
    if why != "just started":
        b.run_until(b.now + 3.0)
    source = ReportSource(detector, b.d)
    if why == "all look bad to it":
        for key in range(24):
            b.end(b.ask("safe", key=key)[0], api.Ending.ERROR)
    else:
        fail(b, "w3", 1, "safe")
    if why == "stalled":
        b.feed(api.LoopStall(0.5))
    if why == "degraded":
        receive(b, {}, is_degraded=True)
    assert source.own_report(b.now) == (detector.zone, 0.0, 0.0, ())
    b.run_until(b.now + 8.0)
    receive(b, {})
    for key in range(60):
        b.serve(b.ask("safe", key=key)[0])
    assert source.own_report(b.now).attempts > 0


def test_a_bad_attempt_is_urgent_once_and_a_restarted_worker_is_a_new_subject() -> None:
    b, detector, _ = bench(workers(6), max_attempts=1)
    source = ReportSource(detector, b.d)
    assert not source.has_urgent_report()
    assert fail(b, "w3", 1, "safe")
    assert source.has_urgent_report()
    own = source.own_report(b.now)
    assert not source.has_urgent_report()
    assert [(s.subject_id, s.bad) for s in own.subject_reports][0] == (
        subject_id("w3", 0.0, "safe"),
        1.0,
    )
    b.patch(entry("w3", started_at=b.now))
    assert source.own_report(b.now).subject_reports == ()
    assert not detector.evidence
    receive(b, {f"n{n}": (report("w3", "safe", 5),) for n in range(2, 9)})  # the former incarnation
    assert state(detector, "w3") is VerdictState.CLEAR


@pytest.mark.parametrize(("out", "left"), [(True, {"w3"}), (False, set())])
def test_overrides_apply_within_the_bound_on_ejections(out: bool, left: set[str]) -> None:
    b, detector, logged = bench(workers(6))
    b.feed(api.OperatorOverrides({"w3": (out, 60.0, "disk")}))
    receive(b, {f"n{n}": (report("w3", "safe", 5),) for n in range(2, 9)})
    assert set(workers(6)) - sent_to(b, "safe", 300) == left
    b.feed(api.OperatorOverrides({f"w{n}": (True, 60.0, "") for n in range(6)}))
    b.run_until(b.now + 0.2)
    assert len(sent_to(b, "safe", 300)) == 5  # the bound is one of six, also for overrides
    b.feed(api.OperatorOverrides({}))
    for _ in range(8):
        b.run_until(b.now + 1.1)
        receive(b, {})
    assert sent_to(b, "safe", 300) == set(workers(6))
    assert not out or "operator: disk" in logged[0]


def test_a_reported_worker_missing_from_the_list_is_ejected_once_listed() -> None:
    b, detector, _ = bench(workers(6))
    started_at = b.now - 100.0
    unlisted = report("w9", "safe", 2)._replace(subject_id=subject_id("w9", started_at, "safe"))
    receive(b, {f"n{n}": (unlisted,) for n in range(2, 6)})
    assert detector.unknown_subjects
    assert not detector.subjects
    b.patch(entry("w9", started_at=started_at))
    b.run_until(b.now + 1.1)
    receive(b, {f"n{n}": (unlisted,) for n in range(2, 6)})
    assert state(detector, "w9") is VerdictState.CONDEMNED
    assert not detector.unknown_subjects
    b.patch(entry("w9", api.WorkerStatus.REMOVED, started_at=started_at))
    receive(b, {f"n{n}": (unlisted,) for n in range(2, 6)})
    assert "w9" not in detector.verdicts


def test_local_evidence_expires_and_leaves_no_state() -> None:
    b, detector, _ = bench(workers(8), max_attempts=1)
    fail(b, "w3", 2, "unsafe")
    assert "w3" not in sent_to(b, "unsafe")
    for _ in range(60):
        b.run_until(b.now + 1.0)
        receive(b, {})
    assert not detector.evidence
    assert not detector.local_ejections
    assert not b.d.workers["w3"].failure_rate
    assert not detector.ejected
    assert "w3" in sent_to(b, "unsafe", 300)


def test_an_ejected_subject_is_marked_so_that_reports_are_not_urgent() -> None:
    b, detector, _ = bench(workers(10))
    source = ReportSource(detector, b.d)
    receive(b, {n: (report("w3", "safe", 1),) for n in ("n2", "n3")})
    number = subject_id("w3", 0.0, "safe")
    assert not source.is_ejected(number)
    assert not source.is_ejected(12345)
    b.run_until(b.now + 0.2)
    receive(b, {n: (report("w3", "safe", 1),) for n in ("n2", "n3", "n4")})
    assert source.is_ejected(number)
    b.run_until(b.now + 2.2)
    receive(b, {})
    assert state(detector, "w3") is VerdictState.TRIAL
    assert not source.is_ejected(number)


def test_an_override_to_keep_a_worker_outranks_local_evidence() -> None:
    b, detector, _ = bench(workers(6), max_attempts=1)
    b.feed(api.OperatorOverrides({"w3": (False, 60.0, "")}))
    fail(b, "w3", 4, "safe")
    assert "w3" in sent_to(b, "safe", 300)


def test_the_worst_of_workers_that_fail_alike_is_not_ejected() -> None:
    """Each of ten workers fails three jobs in ten, one more by chance, before the base rate has risen."""
    b, detector, _ = bench(workers(10))
    unlucky = report("w3", "safe", 1.0, 0.25)
    others = [report(f"w{k}", "safe", 0.2, 0.6) for k in range(10) if k != 3]
    receive(b, {f"n{n}": (unlucky, *others) for n in range(2, 8)})
    assert state(detector, "w3") is not VerdictState.CONDEMNED


def test_the_same_reports_eject_a_worker_if_the_others_succeed() -> None:
    b, detector, _ = bench(workers(10))
    receive(b, {f"n{n}": (report("w3", "safe", 1.0, 0.25),) for n in range(2, 8)})
    assert state(detector, "w3") is VerdictState.CONDEMNED
