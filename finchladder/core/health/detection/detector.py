"""Outlier detector: ejects workers by the evidence of this dispatcher and its peers.

The detector replaces health/outlier_ejection.py where [judgement] is configured. The score of a worker is the
sum of its evidence (evidence.py): local, of this dispatcher alone, or combined, of all dispatchers
(aggregation.py). Terms are explained in verdicts.py.

| state of a worker for a job class | may a job of that class be sent to the worker |
| --- | --- |
| no evidence, or clear | yes |
| suspected, by local or combined evidence | yes, but no UNSAFE job |
| ejected locally: score of LOCAL_EJECT_SCORE | no, for base_ejection_s x 2, 4, 8, 16; then one at a time |
| condemned (verdicts.py): ejected by combined evidence | no |
| on trial | by selected dispatchers, one job at a time from each; an UNSAFE job only in the last stage |

Each class of a worker is evaluated by the attempts of that class. Bad attempts of other classes at the same
worker also count against it, unless attempts of the class itself succeed there. A worker that fails all
classes is thus ejected for all after few attempts, and one that fails a single class for that class alone.

Bounds: by combined evidence this dispatcher ejects at most a `max_ejected_share` of the ready workers of each
kind and zone at one time, rounded down but at least one worker, and never the last one. If more workers than
that, and more than two, have a score of MASS_FAILURE_SCORE (about one bad attempt each) or are ejected, this
is a mass failure: the cause is assumed to be the network or this dispatcher. For MASS_FAILURE_S from its
begin, no suspected worker is ejected by combined evidence.

The median score of the ready workers of the kind and zone is subtracted from each worker's score. If most
workers look equally bad, only a much worse one is thus ejected.

A dispatcher doubts its own observations if its event loop stalled, if it has just started, or if the last
attempts at over half of its recently used workers were bad. It then reports nothing to its peers.

The fleet's base rate of bad attempts follows a change only after some seconds. If many workers begin to fail
at the same rate, one of them may look like an outlier by chance before that. So for MASS_FAILURE_S from the
time at which a worker's score first suffices for an ejection, its score is also computed with the bad rate of
the other workers of its kind and zone, from the same reports; the lower score counts.

An attempt at a worker without evidence costs O(1). Any other costs O(workers with evidence, reports or
verdicts + reports on its worker), and O(reports on the worker's kind and zone) if the score suffices for an
ejection. An evaluation of all these workers costs O(reports on them), and happens at most once per
EVALUATION_INTERVAL_S. Memory: evidence for at most each worker and class, MAX_SUBJECT_REPORTS reports of each
peer.
"""

from collections.abc import Callable, Iterable
from math import ceil
from typing import Any, NamedTuple
from zlib import crc32

from finchladder.core.api import Effect, JobClass, LoopStall, OperatorOverrides, PeerReports, Settings
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.dispatch.records import Job, Worker
from finchladder.core.dispatch.worker_index import WorkerIndex
from finchladder.core.health.detection.aggregation import (
    NO_EVIDENCE,
    REPORT_TIMEOUT_S,
    CombinedEvidence,
    ReceivedReport,
    combine,
    merge_by_reporter,
)
from finchladder.core.health.detection.evidence import (
    HALF_WEIGHT,
    WEIGHTS,
    BaseRate,
    Evidence,
    RunTimeBaseline,
    log_likelihood_ratios,
)
from finchladder.core.health.detection.reports import (
    MAX_COUNT,
    MAX_DURATION_S,
    MAX_SUBJECT_REPORTS,
    MIN_URGENT_BAD_ATTEMPTS,
    OwnReport,
    SubjectReport,
    subject_id,
    zone_number,
)
from finchladder.core.health.detection.verdicts import (
    EJECT_SCORE,
    MAX_TERM_S,
    TRIAL_SHARES,
    Observation,
    Verdict,
    VerdictState,
    eject,
    step,
)
from finchladder.core.health.outlier_ejection import (
    MAX_DOUBLINGS,
    MAX_EJECTED_SHARE,
    AttemptSignal,
    OutlierEjection,
)

EVALUATION_INTERVAL_S = 0.1  # minimum time between two evaluations of all workers
LOCAL_EJECT_SCORE = 6.0  # local score that ejects a worker: two bad attempts of few
LOCAL_SUSPECT_SCORE = 2.0  # a worker with a local score above this receives no UNSAFE job
MASS_FAILURE_SCORE = 3.0  # score of about one bad attempt; equals verdicts.SUSPECT_SCORE
MASS_FAILURE_S = 2.5  # time from the begin of a mass failure without new ejections
# a dispatcher doubts its own observations for this long after a start, and after an event loop stall
START_DOUBTFUL_S, STALL_DOUBTFUL_S = 2.0, 1.0
MIN_STALL_S = 0.3  # shorter stalls are ignored
# a dispatcher doubts its own observations if the last attempts at most of its recently used workers were bad:
# maximum age of such an attempt, minimum and maximum number of workers that are considered
OUTCOME_AGE_S, MIN_OUTCOMES, MAX_OUTCOMES = (
    5.0,
    4,
    16,
)
NEGLIGIBLE_COUNT = 0.05  # evidence on a worker is dropped if the decayed count of each class is less
CLEARED_SCORE = -2.0  # evidence on a worker is dropped if the combined score of each class is at most this
EJECTION_REPORT_AGE_S = 3.0  # ejections in older reports of peers are ignored
READY_COUNT_INTERVAL_S = 1.0  # minimum time between counts of the ready workers
SPARED_SCORE = -1.0  # bad attempts of other classes do not count for a class whose own score is lower
INDEX_INTERVAL_S = 1.0  # minimum time between two rebuilds of the subject index
LOCAL_EJECTION_GRACE_S = 15.0  # time from the end of a local ejection to its removal if it is not renewed
# maximum number of peers whose reports are stored (more than config.options.MAX_PEERS); time between removals
# of reports that have timed out
MAX_REPORTERS, PURGE_INTERVAL_S = 2048, 1.0


class DetectorSettings(NamedTuple):
    """Limits of the detector that the operator configures."""

    max_ejected_share: float = 0.3  # maximum share of the ready workers of each kind and zone
    first_term_s: float = 2.0  # length of a first ejection


class ActiveOverride(NamedTuple):
    """An operator's override for one worker that has not expired."""

    is_ejected: bool  # False: the worker must not be ejected
    until: float
    reason: str


class OutlierDetector(OutlierEjection):
    """Collects local and combined evidence on workers, and ejects workers by it."""

    __slots__ = (
        "name",
        "limits",
        "zone",
        "zone_count",
        "evidence",
        "verdicts",
        "reports",
        "base_rate",
        "run_times",
        "dispatcher_count",
        "is_degraded",
        "next_evaluation_at",
        "started_at",
        "doubtful_until",
        "outcomes",
        "mass_failure_since",
        "peer_attempts",
        "overrides",
        "subjects",
        "log",
        "local_ejections",
        "has_unreported",
        "ready_counts",
        "next_count_at",
        "reporters",
        "median_scores",
        "index",
        "next_index_at",
        "unknown_subjects",
        "next_purge_at",
        "first_eject_score_at",
    )

    def __init__(
        self,
        settings: Settings,
        base_ejection_s: float,
        name: str,
        limits: DetectorSettings,
        now: float,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        """Creates a detector without evidence.

        Args:
            settings: Settings of the dispatcher.
            base_ejection_s: Half of the shortest local ejection, in seconds.
            name: Name of this dispatcher.
            limits: Limits of the detector.
            now: Current time, in seconds of the caller's clock.
            log: Receives a line for each ejection and each readmission.
        """
        super().__init__(settings, base_ejection_s)
        self.name, self.limits, self.log = name, limits, log
        self.zone, self.zone_count = zone_number(settings.zone), len(settings.zones)
        self.evidence: dict[str, dict[str, Evidence]] = {}  # by worker and class
        self.verdicts: dict[str, dict[str, Verdict]] = {}  # verdicts that are not clear, by worker and class
        # time at which a local ejection ends, and number of consecutive ones, by worker and class
        self.local_ejections: dict[str, dict[str, tuple[float, int]]] = {}
        # time of receipt and report, by subject and reporter
        self.reports: dict[int, dict[str, tuple[float, ReceivedReport]]] = {}
        # time at which the latest reports were created, and their subjects, by reporter
        self.reporters: dict[str, tuple[float, tuple[int, ...]]] = {}
        self.next_purge_at = now
        self.index: dict[int, tuple[str, str]] = {}  # worker and class by subject; rebuilt at times
        self.next_index_at = now
        self.unknown_subjects: set[int] = set()  # reported subjects that the index does not contain
        self.subjects: dict[int, tuple[str, str]] = {}  # worker and class by reported subject, if indexed
        self.peer_attempts: tuple[float, float] = (0.0, 0.0)  # attempts of all peers, and bad ones among them
        # median score of the ready workers, by kind and zone; missing if it is 0
        self.median_scores: dict[tuple[str, str], float] = {}
        self.base_rate, self.run_times = BaseRate(now), RunTimeBaseline()
        self.dispatcher_count, self.is_degraded = 1, False
        self.next_evaluation_at = now
        self.started_at, self.doubtful_until = now, 0.0
        self.outcomes: dict[str, tuple[float, bool]] = {}  # last attempt: time, was it bad; by worker
        self.mass_failure_since: dict[tuple[str, str], float] = {}  # by kind and zone
        self.overrides: dict[str, ActiveOverride] = {}  # by worker
        # time at which a worker's score first sufficed for an ejection, by worker
        self.first_eject_score_at: dict[str, float] = {}
        self.has_unreported = False  # a bad attempt has not been reported yet
        self.ready_counts: dict[tuple[str, str], int] = {}  # ready workers by kind and zone
        self.next_count_at = now

    # --- local evidence

    def record_ending(
        self,
        now: float,
        worker: Worker,
        job_class: JobClass,
        signal: AttemptSignal,
        sent_at: float,
        run_time_s: float,
        worker_index: WorkerIndex,
    ) -> None:
        """Adds an ended attempt to the evidence and evaluates the worker; `run_time_s`: 0 if unknown."""
        is_cold = worker_index.is_slow_starting(worker, now)
        weight = WEIGHTS.get(signal, 0.0)
        if (
            signal is AttemptSignal.GOOD
            and not is_cold
            and self.run_times.is_slow(job_class.name, worker.kind, run_time_s)
        ):
            weight = HALF_WEIGHT
        elif is_cold and signal in (AttemptSignal.SILENT, AttemptSignal.OVERTAKEN):
            return  # a worker in slow start is slow without being faulty
        bad = weight > 0
        verdict = self.verdicts.get(worker.address, {}).get(job_class.name)
        if verdict is not None and verdict.state is VerdictState.CONDEMNED:
            return  # the attempt was sent before the ejection, so it is no further evidence
        if verdict is not None and verdict.state is VerdictState.TRIAL and sent_at < verdict.since:
            return
        self.outcomes.pop(worker.address, None)
        self.outcomes[worker.address] = now, bad
        if len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
        if self.mass_failure_since or worker.address not in self.verdicts:
            # a suspected worker's attempts do not enter the base rate, except during a mass failure
            self.base_rate.add(now, bad)
        by_class = self.evidence.get(worker.address, {})
        evidence = by_class.get(job_class.name)
        if evidence is None:
            is_opened = bad or (
                self.reports and subject_id(worker.address, worker.started_at, job_class.name) in self.reports
            )
            if not is_opened and not by_class:
                return
            evidence = self.evidence.setdefault(worker.address, {})[job_class.name] = Evidence(now)
        evidence.add(now, signal, weight)
        self.has_unreported = (
            self.has_unreported or evidence.bad + evidence.link > MIN_URGENT_BAD_ATTEMPTS and bad
        )
        self._update_local_ejection(now, worker, job_class.name, bad)
        self.evaluate(now, worker_index, worker)

    def _local_score(self, now: float, address: str, job_class: str) -> float:
        """Returns a class's score by this dispatcher's own evidence, link failures included."""
        bad, good = log_likelihood_ratios(self._base_rate())
        scores = {}
        for name, evidence in self.evidence.get(address, {}).items():
            evidence.decay(now)
            scores[name] = (evidence.bad + evidence.link) * bad + evidence.good * good
        return _score_of_class(scores, job_class)

    def _update_local_ejection(self, now: float, worker: Worker, job_class: str, bad: bool) -> None:
        ejection = self.local_ejections.get(worker.address, {}).get(job_class)
        if not bad:
            if ejection is not None and now >= ejection[0]:  # the job sent after the ejection succeeded
                self.local_ejections[worker.address].pop(job_class)
                if (evidence := self.evidence.get(worker.address, {}).get(job_class)) is not None:
                    # one good attempt is no proof of recovery: up to one bad attempt is kept as suspicion
                    evidence.bad, evidence.link, evidence.good = min(evidence.bad, 1.0), 0.0, evidence.good
        elif ejection is not None or self._local_score(now, worker.address, job_class) >= LOCAL_EJECT_SCORE:
            times = ejection[1] + 1 if ejection is not None else 1
            until = now + self.base_ejection_s * 2 ** min(times, MAX_DOUBLINGS)
            self.local_ejections.setdefault(worker.address, {})[job_class] = until, times

    def _base_rate(self) -> float:
        return self.base_rate.value(*self.peer_attempts)

    # --- reports to and from peers

    def record_stall(self, now: float, duration_s: float) -> None:
        """Records a stall of this dispatcher's event loop."""
        if duration_s >= MIN_STALL_S:
            self.doubtful_until = now + STALL_DOUBTFUL_S

    def doubts_itself(self, now: float) -> bool:
        """Whether this dispatcher may be the cause of its bad attempts, instead of the workers."""
        if now < self.started_at + START_DOUBTFUL_S or now < self.doubtful_until or self.is_degraded:
            return True
        recent = [bad for at, bad in self.outcomes.values() if now - at < OUTCOME_AGE_S]
        return len(recent) >= MIN_OUTCOMES and 2 * sum(recent) > len(recent)

    def subject_reports(self, now: float, workers: dict[str, Worker]) -> tuple[SubjectReport, ...]:
        """Returns this dispatcher's reports to its peers, and resets `has_unreported`."""
        self.has_unreported = False
        if self.doubts_itself(now):
            return ()
        found = []
        addresses = [*self.evidence, *(a for a in self.verdicts if a not in self.evidence)]
        for address in addresses:
            if (worker := workers.get(address)) is None:
                continue
            by_class, verdicts = self.evidence.get(address, {}), self.verdicts.get(address, {})
            for name in {*by_class, *verdicts}:
                evidence, verdict = by_class.get(name), verdicts.get(name)
                if evidence is not None:
                    evidence.decay(now)
                    counts = evidence.bad, evidence.link, evidence.good
                    opened_s = now - evidence.opened_at
                else:
                    counts, opened_s = (0.0, 0.0, 0.0), 0.0
                ejected = verdict is not None and verdict.state is VerdictState.CONDEMNED
                left_s = max(0.0, verdict.until - now) if verdict is not None and ejected else 0.0
                stage = verdict.stage if verdict is not None and verdict.state is VerdictState.TRIAL else 0
                if max(counts) < 0.05 and not (left_s or stage):
                    continue
                bad, link, good = (min(MAX_COUNT, c) for c in counts)
                subject = subject_id(address, worker.started_at, name)
                found.append(
                    SubjectReport(
                        subject,
                        bad,
                        link,
                        good,
                        min(MAX_DURATION_S, opened_s),
                        min(MAX_DURATION_S, left_s),
                        stage,
                    )
                )
        found.sort(key=lambda r: (-(r.left_s > 0), -(r.bad + r.link), r.subject_id))
        return tuple(found[:MAX_SUBJECT_REPORTS])

    def has_urgent_report(self) -> bool:
        """Whether a bad attempt must be reported at once."""
        return self.has_unreported

    def receive_reports(self, now: float, event: PeerReports, worker_index: WorkerIndex) -> None:
        """Replaces the reports of each peer in the event by its new ones, and evaluates the workers."""
        self.dispatcher_count, self.is_degraded = max(1, event.dispatchers), event.is_degraded
        self.peer_attempts = event.attempts, event.bad_attempts
        new = []
        for peer in event.reports:
            self._remove_reports(peer.reporter)
            if (
                len(self.reporters) >= MAX_REPORTERS
                or not peer.subject_reports
                or peer.age_s >= REPORT_TIMEOUT_S
            ):
                continue
            self.reporters[peer.reporter] = (
                now - peer.age_s,
                tuple(r.subject_id for r in peer.subject_reports),
            )
            for r in peer.subject_reports:
                reports = self.reports.get(r.subject_id)
                if reports is None:
                    reports = self.reports[r.subject_id] = {}
                    new.append(r.subject_id)
                reports[peer.reporter] = now, ReceivedReport(peer.reporter, peer.zone, peer.age_s, r)
        if self.unknown_subjects:
            self._resolve_subjects(now, (), worker_index.workers.values())
        if now >= self.next_purge_at:
            self.next_purge_at = now + PURGE_INTERVAL_S
            for reporter in [r for r, (at, _) in self.reporters.items() if now - at >= REPORT_TIMEOUT_S]:
                self._remove_reports(reporter)
        if new:
            self._resolve_subjects(now, new, worker_index.workers.values())
        self.evaluate(now, worker_index)

    def _remove_reports(self, reporter: str) -> None:
        for subject in self.reporters.pop(reporter, (0.0, ()))[1]:
            reports = self.reports.get(subject)
            if reports is not None:
                reports.pop(reporter, None)
                if not reports:
                    del self.reports[subject]
                    self.subjects.pop(subject, None)

    def _resolve_subjects(self, now: float, subjects: Iterable[int], workers: Iterable[Worker]) -> None:
        """Stores the worker and class of each reported subject.

        O(1) per subject; with unknown ones also O(workers x classes), once per INDEX_INTERVAL_S.
        """
        self.unknown_subjects.update(s for s in subjects if s not in self.index)
        if self.unknown_subjects and now >= self.next_index_at:
            self.next_index_at = now + INDEX_INTERVAL_S
            names = [c.name for c in self.settings.classes]
            self.index = {
                subject_id(w.address, w.started_at, n): (w.address, n) for w in workers for n in names
            }
            subjects = [*subjects, *self.unknown_subjects]
            # a subject that is still unknown may belong to a worker of a later endpoint list
            self.unknown_subjects = {
                s for s in self.unknown_subjects if s not in self.index and s in self.reports
            }
        for subject in subjects:
            if subject in self.reports and (found := self.index.get(subject)) is not None:
                self.subjects[subject] = found

    # --- evaluation

    def evaluate(self, now: float, worker_index: WorkerIndex, only: Worker | None = None) -> None:
        """Updates the verdicts of all workers with evidence, reports, verdicts or overrides.

        With `only`, the verdicts of that worker alone, after an attempt at it.
        """
        if now < self.next_evaluation_at and only is None:
            return
        if only is None:
            self.next_evaluation_at = now + EVALUATION_INTERVAL_S
        bad, good = log_likelihood_ratios(self._base_rate())
        doubtful = self.doubts_itself(now)
        if now >= self.next_count_at:
            self.next_count_at, self.ready_counts = now + READY_COUNT_INTERVAL_S, {}
            for worker in worker_index.workers.values():
                if worker.is_ready:
                    self.ready_counts[self._group(worker)] = self.ready_counts.get(self._group(worker), 0) + 1
        in_question: dict[str, None] = dict.fromkeys(self.evidence) | dict.fromkeys(self.verdicts)
        in_question |= dict.fromkeys(self.local_ejections)
        in_question |= dict.fromkeys(a for a, _ in self.subjects.values()) | dict.fromkeys(self.overrides)
        if only is not None:
            in_question = {only.address: None}
        scores = {
            a: self._combined_by_class(now, worker_index.workers[a], bad, good, doubtful)
            for a in in_question
            if a in worker_index.workers
        }
        for a in [a for a in in_question if a not in worker_index.workers]:
            self._remove_worker(a)
        if only is None:
            self._detect_mass_failures(now, worker_index, scores)
        worst_first = sorted(
            scores, key=lambda a: (-max((c.score for c in scores[a].values()), default=0.0), a)
        )
        for address in worst_first:
            self._evaluate_worker(now, worker_index.workers[address], scores[address], worker_index)

    def _combined_by_class(
        self, now: float, worker: Worker, bad: float, good: float, doubtful: bool
    ) -> dict[str, CombinedEvidence]:
        """Returns the combined evidence on each class of the worker.

        The evidence of a class includes that of other classes with a positive score, unless its own score is
        below SPARED_SCORE.
        """
        by_class: dict[str, list[ReceivedReport]] = {}
        for name in [c.name for c in self.settings.classes]:
            evidence = self.evidence.get(worker.address, {}).get(name)
            received = (
                self.reports.get(subject_id(worker.address, worker.started_at, name), {}).values()
                if self.reports
                else ()
            )
            if evidence is None and not received:
                continue
            verdict = self.verdicts.get(worker.address, {}).get(name)
            reports = []
            for received_at, r in received:
                age_s = r.age_s + now - received_at
                # on trial, counts of attempts that began before the trial are no evidence
                if (
                    verdict is None
                    or verdict.state is not VerdictState.TRIAL
                    or r.report.opened_s + age_s <= now - verdict.since + 0.5
                ):
                    reports.append(r._replace(age_s=age_s))
            if evidence is not None and not doubtful:
                evidence.decay(now)
                own_report = SubjectReport(0, evidence.bad, evidence.link, evidence.good, 0.0, 0.0, 0)
                reports.append(ReceivedReport(self.name, self.zone, 0.0, own_report))
            if reports:
                by_class[name] = reports
        if not by_class:
            return {}
        combined = {
            name: combine(reports, self.zone, self.zone_count, bad, good)
            for name, reports in by_class.items()
        }
        failing = [name for name, c in combined.items() if c.score > 0]
        found: dict[str, CombinedEvidence] = {}
        for name in [c.name for c in self.settings.classes]:
            own = combined.get(name, NO_EVIDENCE)
            others = [r for other in failing if other != name for r in by_class[other]]
            if own.score >= SPARED_SCORE and others:
                # merged first: a reporter of several classes has the same maximum weight as a reporter of one
                merged = merge_by_reporter([*by_class.get(name, ()), *others])
                found[name] = combine(merged, self.zone, self.zone_count, bad, good)._replace(good=own.good)
            elif name in combined:
                found[name] = own
        return found

    def _group(self, worker: Worker) -> tuple[str, str]:
        return worker.kind, worker.zone

    def _max_ejected(self, group: tuple[str, str]) -> int:
        """Returns the maximum number of workers of a kind and zone that may be ejected at one time."""
        ready = self.ready_counts.get(group, 0)
        return min(max(1, int(self.limits.max_ejected_share * ready)), ready - 1)

    def _ejected_in(self, group: tuple[str, str], worker_index: WorkerIndex) -> list[str]:
        """Returns the workers of a kind and zone that are ejected or on trial."""
        return [
            a
            for a, verdicts in self.verdicts.items()
            if a in worker_index.workers
            and self._group(worker_index.workers[a]) == group
            and any(v.state in (VerdictState.CONDEMNED, VerdictState.TRIAL) for v in verdicts.values())
        ]

    def _detect_mass_failures(
        self, now: float, worker_index: WorkerIndex, scores: dict[str, dict[str, CombinedEvidence]]
    ) -> None:
        failing: dict[tuple[str, str], int] = {}
        worst: dict[tuple[str, str], list[float]] = {}
        for a, by_class in scores.items():
            group = self._group(worker_index.workers[a])
            max_score = max((c.score for c in by_class.values()), default=0.0)
            worst.setdefault(group, []).append(max(0.0, max_score))
            if max_score >= MASS_FAILURE_SCORE:
                failing[group] = failing.get(group, 0) + 1
        # the median over all ready workers of the group; a worker without evidence has score 0
        self.median_scores = {
            group: sorted(by_worker)[len(by_worker) - 1 - self.ready_counts.get(group, 0) // 2]
            for group, by_worker in worst.items()
            if len(by_worker) > self.ready_counts.get(group, 0) // 2
        }
        for group in [g for g in self.mass_failure_since if g not in failing]:
            del self.mass_failure_since[group]
        for group, n in failing.items():
            if n + len(self._ejected_in(group, worker_index)) > max(2, self._max_ejected(group)):
                self.mass_failure_since.setdefault(group, now)
            else:
                self.mass_failure_since.pop(group, None)

    def _evaluate_worker(
        self, now: float, worker: Worker, by_class: dict[str, CombinedEvidence], worker_index: WorkerIndex
    ) -> None:
        if not worker.is_ready:
            return
        verdicts = self.verdicts.get(worker.address, {})
        group = self._group(worker)
        required_reporters = 2 if self.dispatcher_count < 6 else 3
        override = self._active_override(now, worker.address)
        scores = {name: c.score for name, c in by_class.items()}
        worst_class = max(scores, key=scores.__getitem__, default="")
        for name in [c.name for c in self.settings.classes]:
            combined, verdict = by_class.get(name, NO_EVIDENCE), verdicts.get(name)
            if combined is NO_EVIDENCE and verdict is None and override is None and not by_class:
                continue
            verdict = verdict or Verdict(now)
            state_before = verdict.state
            is_counted = any(
                v.state in (VerdictState.CONDEMNED, VerdictState.TRIAL) for v in verdicts.values()
            )
            may_eject = is_counted or len(self._ejected_in(group, worker_index)) < self._max_ejected(group)
            is_mass_failure = now < self.mass_failure_since.get(group, -MASS_FAILURE_S) + MASS_FAILURE_S
            if override is not None:
                self._apply_override(now, verdict, override, may_eject)
            else:
                score = combined.score - self.median_scores.get(group, 0.0)
                if (
                    verdict.state in (VerdictState.CLEAR, VerdictState.SUSPECTED)
                    and score >= EJECT_SCORE
                    and may_eject
                ):
                    score = self._score_at_group_rate(now, worker, name, score, worker_index)
                elif name == worst_class:
                    self.first_eject_score_at.pop(worker.address, None)
                step(
                    verdict,
                    now,
                    Observation(
                        score,
                        combined.reporters,
                        combined.good,
                        required_reporters,
                        may_eject,
                        is_mass_failure,
                    ),
                    self.limits.first_term_s,
                )
                if verdict.state in (VerdictState.CLEAR, VerdictState.SUSPECTED) and may_eject:
                    self._adopt_peer_ejections(now, verdict, worker, name, required_reporters)
            if verdict.state is VerdictState.CLEAR:
                verdicts.pop(name, None)
            else:
                verdicts[name] = verdict
                self.verdicts[worker.address] = verdicts
            if verdict.state is not state_before:
                self._on_state_change(now, worker, name, verdict, state_before)
        if not verdicts:
            self.verdicts.pop(worker.address, None)
        for name, (until, _) in list(self.local_ejections.get(worker.address, {}).items()):
            if now >= until + LOCAL_EJECTION_GRACE_S:
                del self.local_ejections[worker.address][name]
        if not verdicts and not self.local_ejections.get(worker.address):
            evidence = self.evidence.get(worker.address, {})
            is_negligible = all(e.bad + e.link + e.good < NEGLIGIBLE_COUNT for e in evidence.values())
            if is_negligible or (by_class and all(c.score <= CLEARED_SCORE for c in by_class.values())):
                self.evidence.pop(worker.address, None)
        self._update_worker(now, worker, scores, worker_index)

    def _score_at_group_rate(
        self, now: float, worker: Worker, job_class: str, score: float, worker_index: WorkerIndex
    ) -> float:
        """Returns the lower of `score` and the score at the bad rate of the other workers of the group.

        A group is a kind and zone. During a mass failure `score` is returned, as the median of the group is
        already subtracted from it; likewise from MASS_FAILURE_S after the score first sufficed for an
        ejection. O(reports on the group).
        """
        first_at = self.first_eject_score_at.setdefault(worker.address, now)
        if self._group(worker) in self.mass_failure_since or now >= first_at + MASS_FAILURE_S:
            return score
        group_rate = self._bad_rate_of_others(now, worker, job_class, worker_index)
        if group_rate <= self._base_rate():
            return score
        bad, good = log_likelihood_ratios(group_rate)
        by_class = self._combined_by_class(now, worker, bad, good, self.doubts_itself(now))
        return min(score, by_class.get(job_class, NO_EVIDENCE).score)

    def _bad_rate_of_others(
        self, now: float, worker: Worker, job_class: str, worker_index: WorkerIndex
    ) -> float:
        """Returns the share of bad attempts at the other workers of the kind and zone that are not ejected.

        Good attempts at workers without bad ones are not reported, so each worker is assumed to have had as
        many attempts as this one.
        """
        group, doubtful = self._group(worker), self.doubts_itself(now)
        bad, good = log_likelihood_ratios(self._base_rate())
        own = self._combined_by_class(now, worker, bad, good, doubtful).get(job_class, NO_EVIDENCE)
        attempts = own.bad + own.good
        ejected = set(self._ejected_in(group, worker_index))
        in_question = dict.fromkeys(self.evidence) | dict.fromkeys(a for a, _ in self.subjects.values())
        bad_elsewhere = 0.0
        for address in in_question:
            other = worker_index.workers.get(address)
            if other is None or other is worker or self._group(other) != group or address in ejected:
                continue
            combined = self._combined_by_class(now, other, bad, good, doubtful).get(job_class, NO_EVIDENCE)
            bad_elsewhere += min(combined.bad, attempts)
        others = self.ready_counts.get(group, 0) - len(ejected) - 1
        return bad_elsewhere / (attempts * others) if attempts and others > 0 else 0.0

    def _adopt_peer_ejections(
        self, now: float, verdict: Verdict, worker: Worker, job_class: str, required_reporters: int
    ) -> None:
        """Ejects a subject that enough peers have ejected; no evidence of this dispatcher is required."""
        left_s = sorted(
            r.report.left_s - (r.age_s + now - received_at)
            for received_at, r in self.reports.get(
                subject_id(worker.address, worker.started_at, job_class), {}
            ).values()
            if r.age_s + now - received_at < EJECTION_REPORT_AGE_S
            and r.report.left_s > r.age_s + now - received_at
        )
        if len(left_s) >= max(required_reporters, min(5, ceil(0.1 * self.dispatcher_count))):
            for_s = min(MAX_TERM_S, left_s[(len(left_s) - 1) // 2])
            eject(verdict, now, for_s, f"ejected by {len(left_s)} peers")
            verdict.term_s = verdict.term_s or self.limits.first_term_s

    def _on_state_change(
        self, now: float, worker: Worker, job_class: str, verdict: Verdict, before: VerdictState
    ) -> None:
        if verdict.state is VerdictState.TRIAL:
            # on trial, only attempts since its begin count
            self.evidence.get(worker.address, {}).pop(job_class, None)
        elif verdict.state is VerdictState.CONDEMNED:
            self.local_ejections.get(worker.address, {}).pop(job_class, None)
            self.log(
                f"worker {worker.address} ejected for class {job_class} for {verdict.until - now:.1f} s:"
                f" {verdict.cause}, score {verdict.score:.1f}"
            )
        elif before is VerdictState.TRIAL and verdict.state is VerdictState.CLEAR:
            self.log(f"worker {worker.address} readmitted for class {job_class}")

    def _update_worker(
        self, now: float, worker: Worker, scores: dict[str, float], worker_index: WorkerIndex
    ) -> None:
        """Stores ejection and suspicion in the worker's record, which the dispatcher reads."""
        ejected = any(
            v.state is VerdictState.CONDEMNED for v in self.verdicts.get(worker.address, {}).values()
        )
        local = self.local_ejections.get(worker.address)
        if local is not None and not local:
            del self.local_ejections[worker.address]
        until = max((until for until, _ in (local or {}).values()), default=0.0)
        if ejected:
            until = max(until, *(v.until for v in self.verdicts[worker.address].values()))
        worker.ejected_until = until
        if until and worker.is_ready:
            self.ejected[worker.address] = worker
        else:
            self.ejected.pop(worker.address, None)
        suspect = worker.address in self.verdicts or any(
            self._local_score(now, worker.address, c) > LOCAL_SUSPECT_SCORE
            for c in self.evidence.get(worker.address, ())
        )
        worker.failure_rate = 1.0 if until or worker.address in self.verdicts else 0.3 if suspect else 0.0
        worker_index.update_suspect(worker)

    # --- queries by the dispatcher

    def may_receive(self, now: float, job: Job, worker: Worker, worker_index: WorkerIndex) -> bool:
        """Whether a worker whose record marks it as suspect may receive the job.

        The record may be outdated, so the verdicts are evaluated first if an evaluation is due.
        """
        if now >= self.next_evaluation_at:
            self.evaluate(now, worker_index)
        override = self._active_override(now, worker.address)
        if override is not None and not override.is_ejected:
            return True  # the override takes precedence over local evidence too
        name = job.job_class.name
        unsafe = job.job_class.effect is Effect.UNSAFE and self.spares_unsafe
        verdict = self.verdicts.get(worker.address, {}).get(name)
        if verdict is not None and verdict.state is VerdictState.CONDEMNED:
            return False
        if verdict is not None and verdict.state is VerdictState.TRIAL:
            if unsafe and verdict.stage < len(TRIAL_SHARES):
                return False
            return worker.load == 0 and self._is_selected_for_trial(worker, verdict)
        if len(self.ejected) > MAX_EJECTED_SHARE * len(worker_index.workers):
            return True
        if (ejection := self.local_ejections.get(worker.address, {}).get(name)) is not None:
            if unsafe:  # never a trial job: sent only once the local evidence has decayed
                return (
                    now >= ejection[0] and self._local_score(now, worker.address, name) <= LOCAL_SUSPECT_SCORE
                )
            return now >= ejection[0] and worker.load == 0
        if unsafe and (
            verdict is not None or self._local_score(now, worker.address, name) > LOCAL_SUSPECT_SCORE
        ):
            return len(worker_index.suspects) > MAX_EJECTED_SHARE * len(worker_index.workers)
        return True

    def _is_selected_for_trial(self, worker: Worker, verdict: Verdict) -> bool:
        share = max(TRIAL_SHARES[verdict.stage - 1], min(1.0, 2 / self.dispatcher_count))
        position = crc32(
            f"{self.name}/{worker.address}/{worker.started_at:.3f}/{verdict.term_s:g}".encode()
        ) / (1 << 32)
        return position < share

    def forget(self, worker: Worker) -> None:
        """Removes all state of a worker that is no longer ready or has restarted."""
        super().forget(worker)
        self._remove_worker(worker.address)

    def _remove_worker(self, address: str) -> None:
        for table in (
            self.evidence,
            self.verdicts,
            self.local_ejections,
            self.outcomes,
            self.first_eject_score_at,
        ):
            table.pop(address, None)

    # --- operator overrides

    def apply_overrides(self, now: float, event: OperatorOverrides, worker_index: WorkerIndex) -> None:
        """Replaces all overrides and evaluates the workers."""
        for address, override in self.overrides.items():
            if override.is_ejected and address not in event.overrides:
                # the override has ended: so does its ejection, and the worker's trial begins
                for verdict in self.verdicts.get(address, {}).values():
                    verdict.until = min(verdict.until, now)
        self.overrides = {
            a: ActiveOverride(out, now + left_s, reason)
            for a, (out, left_s, reason) in event.overrides.items()
        }
        self.next_evaluation_at = now
        self.evaluate(now, worker_index)

    def _active_override(self, now: float, address: str) -> ActiveOverride | None:
        override = self.overrides.get(address)
        if override is not None and now >= override.until:
            del self.overrides[address]
            return None
        return override

    def _apply_override(
        self, now: float, verdict: Verdict, override: ActiveOverride, may_eject: bool
    ) -> None:
        if not override.is_ejected:
            verdict.enter(now, VerdictState.CLEAR)
        elif may_eject and verdict.state is not VerdictState.CONDEMNED:
            eject(verdict, now, override.until - now, f"operator: {override.reason}")

    def show(self, now: float, workers: dict[str, Worker]) -> list[dict[str, Any]]:
        """Returns a JSON object for each verdict that is not clear and for each local ejection.

        Times are in seconds before now (`since_s`) and after now (`left_s`).
        """
        found = []
        for address, verdicts in sorted(self.verdicts.items()):
            for name, verdict in sorted(verdicts.items()):
                started_at = workers[address].started_at if address in workers else 0.0
                reports = self.reports.get(subject_id(address, started_at, name), {}).values()
                found.append(
                    {
                        "server": address,
                        "class": name,
                        "state": verdict.state.name.lower(),
                        "by": verdict.cause,
                        "since_s": round(now - verdict.since, 3),
                        "left_s": round(max(0.0, verdict.until - now), 3),
                        "stage": verdict.stage,
                        "score": round(verdict.score, 2),
                        "against": sorted(r.reporter for _, r in reports if r.report.bad + r.report.link > 0)[
                            :8
                        ],
                    }
                )
        for address, local in sorted(self.local_ejections.items()):
            for name, (until, times) in sorted(local.items()):
                found.append(
                    {
                        "server": address,
                        "class": name,
                        "state": "alone",
                        "by": "own evidence",
                        "left_s": round(max(0.0, until - now), 3),
                        "times": times,
                    }
                )
        return found


def _score_of_class(scores: dict[str, float], job_class: str) -> float:
    """Returns a class's score plus the positive ones of others; only its own if below SPARED_SCORE."""
    own = scores.get(job_class, 0.0)
    if own < SPARED_SCORE:
        return own
    return own + sum(max(0.0, s) for name, s in scores.items() if name != job_class)


def attach(
    dispatcher: Dispatcher,
    name: str,
    limits: DetectorSettings,
    now: float,
    log: Callable[[str], None] = lambda text: None,
) -> OutlierDetector:
    """Replaces the dispatcher's outlier ejection by an outlier detector, and returns the detector."""
    detector = dispatcher.state.health = OutlierDetector(
        dispatcher.settings, dispatcher.state.health.base_ejection_s, name, limits, now, log
    )

    def on_loop_stall(event: LoopStall) -> None:
        detector.record_stall(dispatcher.now, event.duration_s)

    def on_peer_reports(event: PeerReports) -> None:
        detector.receive_reports(dispatcher.now, event, dispatcher.worker_index)

    def on_overrides(event: OperatorOverrides) -> None:
        detector.apply_overrides(dispatcher.now, event, dispatcher.worker_index)

    dispatcher.handlers[LoopStall] = on_loop_stall
    dispatcher.handlers[PeerReports] = on_peer_reports
    dispatcher.handlers[OperatorOverrides] = on_overrides
    return detector


class ReportSource:
    """Provides this dispatcher's reports to the exchange with its peers (core/peers/exchange.py)."""

    def __init__(self, detector: OutlierDetector, dispatcher: Dispatcher) -> None:
        self.detector, self.dispatcher = detector, dispatcher

    def has_urgent_report(self) -> bool:
        """Whether a bad attempt must be reported at once."""
        return self.detector.has_urgent_report()

    def is_ejected(self, subject: int) -> bool:
        """Whether this dispatcher has ejected the subject; further reports on it are then not urgent."""
        address, job_class = self.detector.subjects.get(subject, ("", ""))
        verdict = self.detector.verdicts.get(address, {}).get(job_class)
        return verdict is not None and verdict.state is VerdictState.CONDEMNED

    def own_report(self, now: float) -> OwnReport:
        """Returns the report to send; an empty one while this dispatcher doubts its own observations."""
        detector = self.detector
        if detector.doubts_itself(now):
            return OwnReport(detector.zone, 0.0, 0.0, ())
        detector.base_rate.decay(now)
        return OwnReport(
            detector.zone,
            detector.base_rate.attempts,
            detector.base_rate.bad_attempts,
            detector.subject_reports(now, self.dispatcher.workers),
        )
