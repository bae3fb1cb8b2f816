"""Takes the place of core/health.py: one judgement of a real server, by evidence, one's own and others'.

| what is held of a real server, for a class of jobs | may a job of that class go there |
| --- | --- |
| nothing, or cleared | as the rules and its load say |
| suspected, by one's own evidence or by all that is told | one that may not be repeated: no |
| put out by oneself: own evidence above ALONE_FROM | no, for `period` x 2, 4, 8, 16; then one trial |
| condemned (verdicts.py) | no |
| on trial | of the dispatchers whose turn it is, one job each at a time, none that may not be repeated |

A class is judged by its own jobs; endings of other classes there count against it unless its own go well. So
one that fails all is left for all after few, and one that fails a class is left for that one.

Bounds: of each kind and zone at most `most_out` of the ready ones is condemned here at one time, and never
the last. More that look bad than that at one moment (BREWING, a first bad ending each) is a *mass*: taken for
the network's or one's own fault until MASS_S later, and evidence counts beyond the median of the kind and
zone: where most are alike, who goes must be far worse. Who is in doubt about itself (it was late, has just
started, or over half of the real servers that it hears of look bad to it alone) tells nothing.

The fleet's own rate of bad endings follows what happens by some seconds. Where many begin to fail alike, one
of them may look bad by chance before that: so for MASS_S from when one would be condemned its endings are
weighed once more, against the rate at which all others of its kind and zone fail by the same words.

O(1) for each ending; a look at open cases O(words told of them), at most each LOOK_S. Memory: a case for each
real server and class at the most, words of MAX_WORKER_REPORTS subjects from each other dispatcher.
"""

from collections.abc import Callable, Iterable
from math import ceil
from typing import Any, NamedTuple
from zlib import crc32

from finchladder.core.api import Effect, JobClass, LoopStall, OperatorOverrides, PeerReports, Settings
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.dispatch.records import Job, Worker
from finchladder.core.dispatch.worker_index import WorkerIndex
from finchladder.core.health.detection.aggregation import NOTHING, SILENT_S, Sum, Word, merged, weigh
from finchladder.core.health.detection.evidence import HALF, WEIGHTS, Case, Rate, Usual, weights
from finchladder.core.health.detection.reports import (
    MAX_WORKER_REPORTS,
    MIN_URGENT_BAD_ATTEMPTS,
    MOST_COUNT,
    MOST_S,
    OwnReport,
    WorkerReport,
    subject_id,
    zone_number,
)
from finchladder.core.health.detection.verdicts import (
    CONDEMNED_FROM,
    LONGEST_S,
    SHARES,
    Facts,
    Verdict,
    VerdictState,
    condemn,
    step,
)
from finchladder.core.health.outlier_ejection import (
    MAX_DOUBLINGS,
    MAX_EJECTED_SHARE,
    AttemptSignal,
    OutlierEjection,
)

LOOK_S = 0.1  # between looks at what is open
ALONE_FROM = 6.0  # own evidence from which on it is put out by oneself: two bad endings of few
SUSPECT_FROM = 2.0  # own evidence from which on no job goes there that may not be repeated
BREWING = 3.0  # as verdicts.SUSPECTED_FROM: a first bad ending of one
MASS_S = 2.5
START_S, LATE_S = 2.0, 1.0  # after a start, and after it was late, a dispatcher is in doubt about itself
LATE_FROM_S = 0.3
LAST_S, LAST_FEW, LAST_MOST = (
    5.0,
    4,
    16,
)  # own latest endings at so many real servers tell whether all look bad
FADED = 0.05  # endings, in a case that says nothing any more
CLEARED_FROM = -2.0  # a case is closed once all that is told of it adds up to this
FRESH_S = 3.0  # others' verdicts that are older say nothing
COUNT_S = 1.0  # between counts of the ready ones
SPARED = -1.0  # a class whose own evidence is below this is not judged by others' there
FIND_S = 1.0
FORGET_S = 15.0  # own evidence alone that is not renewed so long after its time is over
MOST_TELLERS, PURGE_S = 2048, 1.0  # as many as can be listed; those that are silent are dropped


class DetectorSettings(NamedTuple):
    most_out: float = 0.3  # share of each kind and zone
    term_s: float = 2.0  # of a first condemnation


class ActiveOverride(NamedTuple):
    """The operator's word of one real server, until then."""

    out: bool
    until: float
    why: str


class OutlierDetector(OutlierEjection):
    __slots__ = (
        "name",
        "rules",
        "zone",
        "zones",
        "cases",
        "verdicts",
        "words",
        "rate",
        "usual",
        "alive",
        "unwell",
        "look_at",
        "began",
        "late_until",
        "last",
        "mass_at",
        "witnesses",
        "orders",
        "subjects",
        "log",
        "alone",
        "untold",
        "ready",
        "ready_at",
        "tellers",
        "usual_score",
        "index",
        "index_at",
        "strange",
        "purge_at",
        "questioned_at",
    )

    def __init__(
        self,
        settings: Settings,
        period: float,
        own: str,
        rules: DetectorSettings,
        now: float,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        """`log`: gets a line for each judgement that changes whom jobs go to."""
        super().__init__(settings, period)
        self.name, self.rules, self.log = own, rules, log
        self.zone, self.zones = zone_number(settings.zone), len(settings.zones)
        self.cases: dict[str, dict[str, Case]] = {}  # by real server and class
        self.verdicts: dict[str, dict[str, Verdict]] = {}  # those that are not clear
        self.alone: dict[str, dict[str, tuple[float, int]]] = {}  # put out by oneself: until when, how often
        self.words: dict[int, dict[str, tuple[float, Word]]] = {}  # by subject and teller: when it came
        self.tellers: dict[str, tuple[float, tuple[int, ...]]] = {}  # as of when, and of whom
        self.purge_at = now
        self.index: dict[int, tuple[str, str]] = {}  # of all real servers, as they were then
        self.index_at = now
        self.strange: set[int] = set()  # subjects that are none of these
        self.subjects: dict[int, tuple[str, str]] = {}  # of whom something is told
        self.witnesses: tuple[float, float] = (0.0, 0.0)  # endings that all others tell of, and bad ones
        # the median of a kind and zone, where it is above 0
        self.usual_score: dict[tuple[str, str], float] = {}
        self.rate, self.usual = Rate(now), Usual()
        self.alive, self.unwell = 1, False
        self.look_at = now
        self.began, self.late_until = now, 0.0
        self.last: dict[str, tuple[float, bool]] = {}
        self.mass_at: dict[tuple[str, str], float] = {}  # by kind and zone: since when a mass looks bad
        self.orders: dict[str, ActiveOverride] = {}
        self.questioned_at: dict[str, float] = {}  # when it would have been condemned but for the others
        self.untold = False
        self.ready: dict[tuple[str, str], int] = {}  # by kind and zone
        self.ready_at = now

    # --- own evidence

    def record_ending(
        self,
        now: float,
        w: Worker,
        cls: JobClass,
        sign: AttemptSignal,
        sent: float,
        ran: float,
        fleet: WorkerIndex,
    ) -> None:
        cold = fleet.is_slow_starting(w, now)
        weight = WEIGHTS.get(sign, 0.0)
        if sign is AttemptSignal.GOOD and not cold and self.usual.slow(cls.name, w.kind, ran):
            weight = HALF
        elif cold and sign in (AttemptSignal.SILENT, AttemptSignal.OVERTAKEN):
            return  # it is slow for another cause
        bad = weight > 0
        verdict = self.verdicts.get(w.address, {}).get(cls.name)
        if verdict is not None and verdict.state is VerdictState.CONDEMNED:
            return  # what was on its way when it was condemned proves nothing more
        if verdict is not None and verdict.state is VerdictState.TRIAL and sent < verdict.since:
            return
        self.last.pop(w.address, None)
        self.last[w.address] = now, bad
        if len(self.last) > LAST_MOST:
            del self.last[next(iter(self.last))]
        if self.mass_at or w.address not in self.verdicts:
            # what one does that is in question already is no part of the fleet's own rate, unless most are
            self.rate.add(now, bad)
        cases = self.cases.get(w.address, {})
        case = cases.get(cls.name)
        if case is None:
            open_ = bad or (self.words and subject_id(w.address, w.started_at, cls.name) in self.words)
            if not open_ and not cases:
                return
            case = self.cases.setdefault(w.address, {})[cls.name] = Case(now)
        case.add(now, sign, weight)
        self.untold = self.untold or case.bad + case.link > MIN_URGENT_BAD_ATTEMPTS and bad
        self._alone(now, w, cls.name, bad)
        self.evaluate(now, fleet, w)

    def _score_alone(self, now: float, address: str, job_class: str) -> float:
        """Own evidence alone, of all kinds."""
        bad, good = weights(self._rate())
        scores = {}
        for name, case in self.cases.get(address, {}).items():
            case.fade(now)
            scores[name] = (case.bad + case.link) * bad + case.good * good
        return _of_class(scores, job_class)

    def _alone(self, now: float, w: Worker, job_class: str, bad: bool) -> None:
        held = self.alone.get(w.address, {}).get(job_class)
        if not bad:
            if held is not None and now >= held[0]:  # a trial that went well
                self.alone[w.address].pop(job_class)
                if (case := self.cases.get(w.address, {}).get(job_class)) is not None:
                    # one good ending is no proof yet: it stays a suspect for a while
                    case.bad, case.link, case.good = min(case.bad, 1.0), 0.0, case.good
        elif held is not None or self._score_alone(now, w.address, job_class) >= ALONE_FROM:
            times = held[1] + 1 if held is not None else 1
            until = now + self.base_ejection_s * 2 ** min(times, MAX_DOUBLINGS)
            self.alone.setdefault(w.address, {})[job_class] = until, times

    def _rate(self) -> float:
        return self.rate.of(*self.witnesses)

    # --- what others say

    def late(self, now: float, seconds: float) -> None:
        if seconds >= LATE_FROM_S:
            self.late_until = now + LATE_S

    def doubtful(self, now: float) -> bool:
        """Whether what it sees may be its own fault."""
        if now < self.began + START_S or now < self.late_until or self.unwell:
            return True
        last = [bad for at, bad in self.last.values() if now - at < LAST_S]
        return len(last) >= LAST_FEW and 2 * sum(last) > len(last)

    def says(self, now: float, workers: dict[str, Worker]) -> tuple[WorkerReport, ...]:
        """One's own word, to be told."""
        self.untold = False
        if self.doubtful(now):
            return ()
        found = []
        names = [*self.cases, *(a for a in self.verdicts if a not in self.cases)]
        for address in names:
            if (w := workers.get(address)) is None:
                continue
            cases, held = self.cases.get(address, {}), self.verdicts.get(address, {})
            for name in {*cases, *held}:
                case, v = cases.get(name), held.get(name)
                if case is not None:
                    case.fade(now)
                    counts = case.bad, case.link, case.good
                    opened = now - case.opened
                else:
                    counts, opened = (0.0, 0.0, 0.0), 0.0
                out = v is not None and v.state is VerdictState.CONDEMNED
                left = max(0.0, v.until - now) if v is not None and out else 0.0
                stage = v.stage if v is not None and v.state is VerdictState.TRIAL else 0
                if max(counts) < 0.05 and not (left or stage):
                    continue
                worst, link, good = (min(MOST_COUNT, c) for c in counts)
                number = subject_id(address, w.started_at, name)
                found.append(
                    WorkerReport(number, worst, link, good, min(MOST_S, opened), min(MOST_S, left), stage)
                )
        found.sort(key=lambda s: (-(s.left_s > 0), -(s.bad + s.link), s.subject_id))
        return tuple(found[:MAX_WORKER_REPORTS])

    def has_urgent_report(self) -> bool:
        """Whether there is a bad ending to be told at once."""
        return self.untold

    def hear(self, now: float, e: PeerReports, fleet: WorkerIndex) -> None:
        self.alive, self.unwell = max(1, e.dispatchers), e.is_degraded
        self.witnesses = e.attempts, e.bad_attempts
        new = []
        for w in e.reports:
            self._unsay(w.reporter)
            if len(self.tellers) >= MOST_TELLERS or not w.worker_reports or w.age_s >= SILENT_S:
                continue
            self.tellers[w.reporter] = now - w.age_s, tuple(s.subject_id for s in w.worker_reports)
            for s in w.worker_reports:
                words = self.words.get(s.subject_id)
                if words is None:
                    words = self.words[s.subject_id] = {}
                    new.append(s.subject_id)
                words[w.reporter] = now, Word(w.reporter, w.zone, w.age_s, s)
        if self.strange:
            self._find(now, (), fleet.workers.values())
        if now >= self.purge_at:
            self.purge_at = now + PURGE_S
            for owner in [o for o, (at, _) in self.tellers.items() if now - at >= SILENT_S]:
                self._unsay(owner)
        if new:
            self._find(now, new, fleet.workers.values())
        self.evaluate(now, fleet)

    def _unsay(self, owner: str) -> None:
        for number in self.tellers.pop(owner, (0.0, ()))[1]:
            words = self.words.get(number)
            if words is not None:
                words.pop(owner, None)
                if not words:
                    del self.words[number]
                    self.subjects.pop(number, None)

    def _find(self, now: float, numbers: Iterable[int], workers: Iterable[Worker]) -> None:
        """Whom subjects stand for. O(1) each, but for strange ones: O(real servers x classes) each FIND_S."""
        self.strange.update(n for n in numbers if n not in self.index)
        if self.strange and now >= self.index_at:
            self.index_at = now + FIND_S
            names = [c.name for c in self.settings.classes]
            self.index = {
                subject_id(w.address, w.started_at, n): (w.address, n) for w in workers for n in names
            }
            numbers = [*numbers, *self.strange]
            # a list that comes later may know them
            self.strange = {n for n in self.strange if n not in self.index and n in self.words}
        for n in numbers:
            if n in self.words and (found := self.index.get(n)) is not None:
                self.subjects[n] = found

    # --- judging

    def evaluate(self, now: float, fleet: WorkerIndex, only: Worker | None = None) -> None:
        """At all that is open, or at what has just changed of one."""
        if now < self.look_at and only is None:
            return
        if only is None:
            self.look_at = now + LOOK_S
        bad, good = weights(self._rate())
        doubtful = self.doubtful(now)
        if now >= self.ready_at:
            self.ready_at, self.ready = now + COUNT_S, {}
            for w in fleet.workers.values():
                if w.is_ready:
                    self.ready[self._group(w)] = self.ready.get(self._group(w), 0) + 1
        open_: dict[str, None] = dict.fromkeys(self.cases) | dict.fromkeys(self.verdicts)
        open_ |= dict.fromkeys(self.alone)
        open_ |= dict.fromkeys(address for address, _ in self.subjects.values()) | dict.fromkeys(self.orders)
        if only is not None:
            open_ = {only.address: None}
        scores = {
            a: self._scores(now, fleet.workers[a], bad, good, doubtful) for a in open_ if a in fleet.workers
        }
        for a in [a for a in open_ if a not in fleet.workers]:
            self._forget(a)
        if only is None:
            self._masses(now, fleet, scores)
        worst = sorted(scores, key=lambda a: (-max((s.score for s in scores[a].values()), default=0.0), a))
        for address in worst:
            self._judge(now, fleet.workers[address], scores[address], fleet)

    def _scores(self, now: float, w: Worker, bad: float, good: float, doubtful: bool) -> dict[str, Sum]:
        """By class: its own words, and those of classes that go badly there unless its own go well."""
        spoken: dict[str, list[Word]] = {}
        for name in [c.name for c in self.settings.classes]:
            case = self.cases.get(w.address, {}).get(name)
            heard = (
                self.words.get(subject_id(w.address, w.started_at, name), {}).values() if self.words else ()
            )
            if case is None and not heard:
                continue
            v = self.verdicts.get(w.address, {}).get(name)
            words = []
            for came, word in heard:
                age = word.age_s + now - came
                # what was counted before it went out proves nothing for its trial
                if (
                    v is None
                    or v.state is not VerdictState.TRIAL
                    or word.said.opened_s + age <= now - v.since + 0.5
                ):
                    words.append(word._replace(age_s=age))
            if case is not None and not doubtful:
                case.fade(now)
                said = WorkerReport(0, case.bad, case.link, case.good, 0.0, 0.0, 0)
                words.append(Word(self.name, self.zone, 0.0, said))
            if words:
                spoken[name] = words
        if not spoken:
            return {}
        sums = {name: weigh(words, self.zone, self.zones, bad, good) for name, words in spoken.items()}
        badly = [name for name, s in sums.items() if s.score > 0]
        found: dict[str, Sum] = {}
        for name in [c.name for c in self.settings.classes]:
            own = sums.get(name, NOTHING)
            others = [w for other in badly if other != name for w in spoken[other]]
            if own.score >= SPARED and others:
                # a teller weighs no more by naming many classes
                whole = merged([*spoken.get(name, ()), *others])
                found[name] = weigh(whole, self.zone, self.zones, bad, good)._replace(good=own.good)
            elif name in sums:
                found[name] = own
        return found

    def _group(self, w: Worker) -> tuple[str, str]:
        return w.kind, w.zone

    def _allowed(self, group: tuple[str, str]) -> int:
        """How many of a kind and zone may be out at one time."""
        ready = self.ready.get(group, 0)
        return min(max(1, int(self.rules.most_out * ready)), ready - 1)

    def _out(self, group: tuple[str, str], fleet: WorkerIndex) -> list[str]:
        return [
            a
            for a, held in self.verdicts.items()
            if a in fleet.workers
            and self._group(fleet.workers[a]) == group
            and any(v.state in (VerdictState.CONDEMNED, VerdictState.TRIAL) for v in held.values())
        ]

    def _masses(self, now: float, fleet: WorkerIndex, scores: dict[str, dict[str, Sum]]) -> None:
        groups: dict[tuple[str, str], int] = {}
        worst: dict[tuple[str, str], list[float]] = {}
        for a, of in scores.items():
            group = self._group(fleet.workers[a])
            most = max((s.score for s in of.values()), default=0.0)
            worst.setdefault(group, []).append(max(0.0, most))
            if most >= BREWING:
                groups[group] = groups.get(group, 0) + 1
        # who is not in question counts as 0
        self.usual_score = {
            group: sorted(of)[len(of) - 1 - self.ready.get(group, 0) // 2]
            for group, of in worst.items()
            if len(of) > self.ready.get(group, 0) // 2
        }
        for group in [g for g in self.mass_at if g not in groups]:
            del self.mass_at[group]
        for group, n in groups.items():
            if n + len(self._out(group, fleet)) > max(2, self._allowed(group)):
                self.mass_at.setdefault(group, now)
            else:
                self.mass_at.pop(group, None)

    def _judge(self, now: float, w: Worker, of: dict[str, Sum], fleet: WorkerIndex) -> None:
        if not w.is_ready:
            return
        held = self.verdicts.get(w.address, {})
        group = self._group(w)
        needed = 2 if self.alive < 6 else 3
        order = self._order(now, w.address)
        plain = {name: s.score for name, s in of.items()}
        worst_class = max(plain, key=plain.__getitem__, default="")
        for name in [c.name for c in self.settings.classes]:
            s, v = of.get(name, NOTHING), held.get(name)
            if s is NOTHING and v is None and order is None and not of:
                continue
            v = v or Verdict(now)
            before = v.state
            free = any(x.state in (VerdictState.CONDEMNED, VerdictState.TRIAL) for x in held.values())
            room = free or len(self._out(group, fleet)) < self._allowed(group)
            mass = now < self.mass_at.get(group, -MASS_S) + MASS_S
            if order is not None:
                self._obey(now, v, order, room)
            else:
                score = s.score - self.usual_score.get(group, 0.0)
                if (
                    v.state in (VerdictState.CLEAR, VerdictState.SUSPECTED)
                    and score >= CONDEMNED_FROM
                    and room
                ):
                    score = self._score_beside_others(now, w, name, score, fleet)
                elif name == worst_class:
                    self.questioned_at.pop(w.address, None)
                step(v, now, Facts(score, s.tellers, s.good, needed, room, mass), self.rules.term_s)
                if v.state in (VerdictState.CLEAR, VerdictState.SUSPECTED) and room:
                    self._believe(now, v, w, name, needed)
            if v.state is VerdictState.CLEAR:
                held.pop(name, None)
            else:
                held[name] = v
                self.verdicts[w.address] = held
            if v.state is not before:
                self._changed(now, w, name, v, before)
        if not held:
            self.verdicts.pop(w.address, None)
        for name, (until, _) in list(self.alone.get(w.address, {}).items()):
            if now >= until + FORGET_S:
                del self.alone[w.address][name]
        if not held and not self.alone.get(w.address):
            cases = self.cases.get(w.address, {})
            faded = all(c.bad + c.link + c.good < FADED for c in cases.values())
            if faded or (of and all(s.score <= CLEARED_FROM for s in of.values())):
                self.cases.pop(w.address, None)
        self._mark(now, w, plain, fleet)

    def _score_beside_others(
        self, now: float, w: Worker, job_class: str, score: float, fleet: WorkerIndex
    ) -> float:
        """The score of a class, weighed by the rate at which the others of its kind and zone fail now.

        A mass that was recognised is judged by its median instead. O(words of the kind and zone).
        """
        questioned_at = self.questioned_at.setdefault(w.address, now)
        if self._group(w) in self.mass_at or now >= questioned_at + MASS_S:
            return score
        elsewhere = self._rate_elsewhere(now, w, job_class, fleet)
        if elsewhere <= self._rate():
            return score
        bad, good = weights(elsewhere)
        scores = self._scores(now, w, bad, good, self.doubtful(now))
        return min(score, scores.get(job_class, NOTHING).score)

    def _rate_elsewhere(self, now: float, w: Worker, job_class: str, fleet: WorkerIndex) -> float:
        """Bad endings at the other ready ones of its kind and zone that are not out, as a share.

        Of one without bad endings nothing is told, so each counts as having had as many endings as this one.
        """
        group, doubtful = self._group(w), self.doubtful(now)
        bad, good = weights(self._rate())
        own = self._scores(now, w, bad, good, doubtful).get(job_class, NOTHING)
        endings = own.bad + own.good
        held_out = set(self._out(group, fleet))
        in_question = dict.fromkeys(self.cases) | dict.fromkeys(a for a, _ in self.subjects.values())
        bad_elsewhere = 0.0
        for address in in_question:
            other = fleet.workers.get(address)
            if other is None or other is w or self._group(other) != group or address in held_out:
                continue
            of_other = self._scores(now, other, bad, good, doubtful).get(job_class, NOTHING)
            bad_elsewhere += min(of_other.bad, endings)
        others = self.ready.get(group, 0) - len(held_out) - 1
        return bad_elsewhere / (endings * others) if endings and others > 0 else 0.0

    def _believe(self, now: float, v: Verdict, w: Worker, job_class: str, needed: int) -> None:
        """Enough others hold it out already: who has just started need not be hurt first."""
        left = sorted(
            word.said.left_s - (word.age_s + now - came)
            for came, word in self.words.get(subject_id(w.address, w.started_at, job_class), {}).values()
            if word.age_s + now - came < FRESH_S and word.said.left_s > word.age_s + now - came
        )
        if len(left) >= max(needed, min(5, ceil(0.1 * self.alive))):
            for_s = min(LONGEST_S, left[(len(left) - 1) // 2])
            condemn(v, now, for_s, f"{len(left)} others' word")
            v.term_s = v.term_s or self.rules.term_s

    def _changed(self, now: float, w: Worker, job_class: str, v: Verdict, before: VerdictState) -> None:
        if v.state is VerdictState.TRIAL:
            self.cases.get(w.address, {}).pop(job_class, None)  # what comes from now on counts anew
        elif v.state is VerdictState.CONDEMNED:
            self.alone.get(w.address, {}).pop(job_class, None)
            self.log(
                f"{w.address} is out for {job_class}, {v.until - now:.1f} s: {v.by}, score {v.score:.1f}"
            )
        elif before is VerdictState.TRIAL and v.state is VerdictState.CLEAR:
            self.log(f"{w.address} is back for {job_class}")

    def _mark(self, now: float, w: Worker, plain: dict[str, float], fleet: WorkerIndex) -> None:
        """Puts what is held where the decisions look."""
        out = any(v.state is VerdictState.CONDEMNED for v in self.verdicts.get(w.address, {}).values())
        alone = self.alone.get(w.address)
        if alone is not None and not alone:
            del self.alone[w.address]
        until = max((until for until, _ in (alone or {}).values()), default=0.0)
        if out:
            until = max(until, *(v.until for v in self.verdicts[w.address].values()))
        w.ejected_until = until
        if until and w.is_ready:
            self.ejected[w.address] = w
        else:
            self.ejected.pop(w.address, None)
        suspect = w.address in self.verdicts or any(
            self._score_alone(now, w.address, c) > SUSPECT_FROM for c in self.cases.get(w.address, ())
        )
        w.failure_share = 1.0 if until or w.address in self.verdicts else 0.3 if suspect else 0.0
        fleet.update_suspect(w)

    # --- the decisions ask

    def may_receive(self, now: float, job: Job, w: Worker, fleet: WorkerIndex) -> bool:
        """Asked of those that are marked: a mark may be older than what is held now."""
        if now >= self.look_at:
            self.evaluate(now, fleet)
        order = self._order(now, w.address)
        if order is not None and not order.out:
            return True  # own evidence counts as little as others'
        name = job.job_class.name
        unsafe = job.job_class.effect is Effect.UNSAFE and self.spares_unsafe
        v = self.verdicts.get(w.address, {}).get(name)
        if v is not None and v.state is VerdictState.CONDEMNED:
            return False
        if v is not None and v.state is VerdictState.TRIAL:
            if unsafe and v.stage < len(SHARES):
                return False
            return w.load == 0 and self._turn(w, v)
        if len(self.ejected) > MAX_EJECTED_SHARE * len(fleet.workers):
            return True
        if (held := self.alone.get(w.address, {}).get(name)) is not None:
            if unsafe:  # no trial; what speaks against it fades
                return now >= held[0] and self._score_alone(now, w.address, name) <= SUSPECT_FROM
            return now >= held[0] and w.load == 0
        if unsafe and (v is not None or self._score_alone(now, w.address, name) > SUSPECT_FROM):
            return len(fleet.suspects) > MAX_EJECTED_SHARE * len(fleet.workers)
        return True

    def _turn(self, w: Worker, v: Verdict) -> bool:
        share = max(SHARES[v.stage - 1], min(1.0, 2 / self.alive))
        place = crc32(f"{self.name}/{w.address}/{w.started_at:.3f}/{v.term_s:g}".encode()) / (1 << 32)
        return place < share

    def forget(self, w: Worker) -> None:
        super().forget(w)
        self._forget(w.address)

    def _forget(self, address: str) -> None:
        for table in (self.cases, self.verdicts, self.alone, self.last, self.questioned_at):
            table.pop(address, None)

    # --- the operator

    def order(self, now: float, e: OperatorOverrides, fleet: WorkerIndex) -> None:
        """These hold and no others; who is not named is left to the evidence."""
        for address, order in self.orders.items():
            if order.out and address not in e.overrides:  # it is let back as after a judgement, on trial
                for v in self.verdicts.get(address, {}).values():
                    v.until = min(v.until, now)
        self.orders = {a: ActiveOverride(out, now + left, why) for a, (out, left, why) in e.overrides.items()}
        self.look_at = now
        self.evaluate(now, fleet)

    def _order(self, now: float, address: str) -> ActiveOverride | None:
        order = self.orders.get(address)
        if order is not None and now >= order.until:
            del self.orders[address]
            return None
        return order

    def _obey(self, now: float, v: Verdict, order: ActiveOverride, room: bool) -> None:
        if not order.out:
            v.enter(now, VerdictState.CLEAR)
        elif room and v.state is not VerdictState.CONDEMNED:
            condemn(v, now, order.until - now, f"the operator: {order.why}")

    def show(self, now: float, workers: dict[str, Worker]) -> list[dict[str, Any]]:
        """Who is out or in question, why, by whose word, since when, until when; times are ages."""
        found = []
        for address, held in sorted(self.verdicts.items()):
            for name, v in sorted(held.items()):
                born = workers[address].started_at if address in workers else 0.0
                words = self.words.get(subject_id(address, born, name), {}).values()
                found.append(
                    {
                        "server": address,
                        "class": name,
                        "state": v.state.name.lower(),
                        "by": v.by,
                        "since_s": round(now - v.since, 3),
                        "left_s": round(max(0.0, v.until - now), 3),
                        "stage": v.stage,
                        "score": round(v.score, 2),
                        "against": sorted(w.teller for _, w in words if w.said.bad + w.said.link > 0)[:8],
                    }
                )
        for address, alone in sorted(self.alone.items()):
            for name, (until, times) in sorted(alone.items()):
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


def _of_class(scores: dict[str, float], job_class: str) -> float:
    """A class is judged by its own, and by others' that go badly unless its own go well."""
    own = scores.get(job_class, 0.0)
    if own < SPARED:
        return own
    return own + sum(max(0.0, s) for name, s in scores.items() if name != job_class)


def attach(
    d: Dispatcher,
    own: str,
    rules: DetectorSettings,
    now: float,
    log: Callable[[str], None] = lambda text: None,
) -> OutlierDetector:
    """Has these decisions judge by evidence; without it they are as ever."""
    judging = d.state.health = OutlierDetector(
        d.settings, d.state.health.base_ejection_s, own, rules, now, log
    )

    def unseen(e: LoopStall) -> None:
        judging.late(d.now, e.duration_s)

    def heard(e: PeerReports) -> None:
        judging.hear(d.now, e, d.worker_index)

    def ordered(e: OperatorOverrides) -> None:
        judging.order(d.now, e, d.worker_index)

    d.handlers[LoopStall] = unseen
    d.handlers[PeerReports] = heard
    d.handlers[OperatorOverrides] = ordered
    return judging


class ReportSource:
    """What these decisions have to say to peers."""

    def __init__(self, judging: OutlierDetector, d: Dispatcher) -> None:
        self.judging, self.d = judging, d

    def has_urgent_report(self) -> bool:
        return self.judging.has_urgent_report()

    def is_ejected(self, subject_id: int) -> bool:
        address, job_class = self.judging.subjects.get(subject_id, ("", ""))
        verdict = self.judging.verdicts.get(address, {}).get(job_class)
        return verdict is not None and verdict.state is VerdictState.CONDEMNED

    def own_report(self, now: float) -> OwnReport:
        j = self.judging
        if j.doubtful(now):
            return OwnReport(j.zone, 0.0, 0.0, ())
        j.rate.fade(now)
        return OwnReport(j.zone, j.rate.ended, j.rate.bad, j.says(now, self.d.workers))
