"""Simulation of outlier detection by many dispatchers with faulty servers, false reports and partitions.

It extends the simulation of sim/peers.py with the program's decisions in each process and real servers whose
faults are known, and checks these rules:

| rule | what must hold |
| --- | --- |
| bound | no dispatcher ejects more than the allowed share of a zone, and never its last server |
| good | at most half of the honest dispatchers eject a server good for GOOD_S; not checked with pauses |
| left | a server that fails nearly all jobs gets at most EACH_SENDS per dispatcher + MORE_SENDS in LEFT_S |
| once | a job that may not be repeated is sent again only if it certainly never ran |
| ends | ENDS_S after the last fault no server is ejected, unless a dispatcher reports falsely |

A liar is a dispatcher that always reports failures of all real servers. A run depends only on its seed.
"""

from collections import deque
from random import Random
from typing import NamedTuple

from finchladder.core import api
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.health.detection.detector import DetectorSettings, OutlierDetector, ReportSource, attach
from finchladder.core.health.detection.reports import (
    MAX_SUBJECT_REPORTS,
    OwnReport,
    SubjectReport,
    subject_id,
)
from finchladder.core.health.detection.verdicts import VerdictState
from finchladder.sim import peers

ENDS_S = 60.0
STARTUP_S = 3.0  # startup time in which the rule "good" is not checked
GOOD_S = 45.0  # covers the longest ejection after the repair, and the trial
LEFT_S, EACH_SENDS, MORE_SENDS = 6.0, 4, 12
JOB_S = 0.05
PATIENCE_S = 4.0
GOOD_FAILURE_RATE = 0.003  # fraction of failing jobs at a good server
UNSAFE_FRACTION = 0.4
CLASSES = (
    api.JobClass("view", api.Effect.SAFE, latency_target_s=0.3, deadline_s=5.0),
    api.JobClass("confirm", api.Effect.UNSAFE, latency_target_s=0.6, deadline_s=5.0, value=10.0),
)


class Bad(NamedTuple):
    server: int
    at: float
    for_s: float
    kind: str  # all, third, class, refuse


class Scene(NamedTuple):
    world: peers.World
    servers: int
    zones: int
    rate: float  # jobs per second in total
    bads: tuple[Bad, ...]
    liar: int  # -1: none


def draw(seed: int, most: int = 9) -> Scene:
    r = Random(f"{seed}/judged")
    world = peers.draw(seed, most)._replace(for_s=45.0)
    faults = tuple(
        f._replace(at=min(f.at, 30.0), for_s=min(f.for_s, 12.0)) for f in world.faults if f.kind != "shift"
    )
    servers, zones = r.randint(4, 14), r.randint(1, 3)
    bads = [
        Bad(r.randrange(servers), r.uniform(5.0, 30.0), r.uniform(2.0, 15.0), r.choice(KINDS))
        for _ in range(r.randint(0, 3))
    ]
    liar = r.randrange(world.dispatchers) if world.dispatchers >= 4 and r.random() < 0.3 else -1
    return Scene(world._replace(faults=faults), servers, zones, r.choice((20.0, 60.0)), tuple(bads), liar)


KINDS = ("all", "all", "third", "class", "refuse")


class _FalseReporter:
    """Reports that all real servers fail, with the highest weight a report can have."""

    def __init__(self, d: Dispatcher, zone: int) -> None:
        self.d, self.zone = d, zone

    def has_urgent_report(self) -> bool:
        return True

    def is_ejected(self, subject_id: int) -> bool:
        return False

    def own_report(self, now: float) -> OwnReport:
        names = sorted(self.d.workers)
        subject_reports = [
            SubjectReport(subject_id(a, 0.0, c.name), 500.0, 500.0, 0.0, 1.0, 500.0, 0)
            for a in names
            for c in CLASSES
        ]
        return OwnReport(self.zone, 500.0, 0.0, tuple(subject_reports[:MAX_SUBJECT_REPORTS]))


class Process(peers.Process):
    """One incarnation of a dispatcher, with its decisions."""

    def __init__(self, play: "Play", index: int, incarnation: int) -> None:
        super().__init__(play, index, incarnation)
        scene = self.scene = play.scene
        zones = tuple(f"z{n}" for n in range(scene.zones))
        settings = api.Settings(
            CLASSES,
            zones=zones,
            zone=zones[index % scene.zones],
            index=index,
            dispatchers=scene.world.dispatchers,
            reports_start=True,
            may_cancel=True,
        )
        self.d = Dispatcher(settings, Random(f"{play.seed}/{index}/{incarnation}/d").getrandbits(60))
        self.judging: OutlierDetector = attach(self.d, self.name, DetectorSettings(), self.clock())
        lies = scene.liar == index
        self.peers.evidence = (
            _FalseReporter(self.d, self.judging.zone) if lies else ReportSource(self.judging, self.d)
        )
        self.paused_at = 0.0
        entries = tuple(
            api.WorkerEntry(f"w{n}", api.WorkerStatus.READY, zones[n % scene.zones])
            for n in range(scene.servers)
        )
        self.tell(api.WorkerList(api.ListKind.FULL, entries))

    def turn(self) -> None:
        super().turn()
        if not self.paused and (hearsay := self.peers.take_reports(self.clock())) is not None:
            self.tell(hearsay)

    def tell(self, event: api.Event) -> None:
        play: Play = self.play  # type: ignore[assignment]
        for a in self.d.handle(self.clock(), event):
            if isinstance(a, api.SetTimer):
                play.at(play.now + max(a.delay_s, 0.01), lambda t=a.token: self.later(api.Timer(t)))  # type: ignore[misc]
            elif isinstance(a, api.Send):
                play.sent_job(self, a)

    def later(self, event: api.Event) -> None:
        """Handles an event, or delays it while the process is paused."""
        play: Play = self.play  # type: ignore[assignment]
        if play.alive.get(self.index) is not self:
            return
        if self.paused:
            play.at(play.now + 0.1, lambda: self.later(event))
        else:
            self.tell(event)


class Play(peers.Play):
    heal_s = ENDS_S

    def __init__(self, seed: int, scene: Scene | None = None) -> None:
        self.scene = scene or draw(seed)
        super().__init__(seed, self.scene.world)
        self.job_random = Random(f"{seed}/jobs")
        self.jobs = 0
        self.sends: dict[
            str, list[bool]
        ] = {}  # for each job that may not be repeated: whether each send may have run
        self.sends_to_bad: dict[int, deque[float]] = {}
        self.failed = 0
        self.last_bad_at = [0.0] * self.scene.servers  # time at which each server was last seen bad; 0: never
        self.most_out = 0

    def start(self, index: int) -> None:
        self.incarnations[index] += 1
        self.alive[index] = process = Process(self, index, self.incarnations[index])
        self._run_turns(process)

    def _wake(self, process: peers.Process) -> None:
        super()._wake(process)
        if isinstance(process, Process) and self.alive.get(process.index) is process:
            process.tell(api.LoopStall(1.0))

    def bad(self, server: int) -> Bad | None:
        return next(
            (b for b in self.scene.bads if b.server == server and b.at <= self.now < b.at + b.for_s), None
        )

    # --- jobs

    def _take(self) -> None:
        r = self.job_random
        index = r.randrange(self.world.dispatchers)
        process = self.alive.get(index)
        if isinstance(process, Process) and not process.paused:
            self.jobs += 1
            name = "confirm" if r.random() < UNSAFE_FRACTION else "view"
            key = r.getrandbits(30) if r.random() < 0.7 else None
            process.tell(api.Request(f"j{self.jobs}", name, PATIENCE_S, key=key))
        if (
            self.now < self.world.for_s + ENDS_S - 1.0
        ):  # jobs continue after the faults, so that ejected servers can return
            self.at(self.now + r.expovariate(self.scene.rate), self._take)

    def sent_job(self, process: Process, a: api.Send) -> None:
        r, n = self.job_random, int(a.worker[1:])
        job = process.d.jobs[a.request]
        attempt = len(job.attempts) - 1
        bad, unsafe = self.bad(n), job.job_class.effect is api.Effect.UNSAFE
        if bad is not None and bad.kind in ("all", "refuse"):
            self._record_bad_send(n)
        ending, took = api.Ending.OK, JOB_S * r.uniform(0.5, 1.5)
        rate = 0.0
        if bad is not None:
            rate = {"all": 0.95, "third": 0.34, "class": 0.95 * unsafe, "refuse": 0.0}[bad.kind]
            if bad.kind == "refuse":
                ending, took = api.Ending.UNREACHABLE, 0.005
        if ending is api.Ending.OK and r.random() < max(rate, GOOD_FAILURE_RATE):
            ending = api.Ending.ERROR
        self.failed += ending is not api.Ending.OK
        if unsafe:
            runs = self.sends.setdefault(a.request, [])
            if any(runs):
                self.break_("once", f"{a.request} is sent again, and may have run")
            runs.append(ending not in api.NEVER_RAN)
        if ending in (api.Ending.OK, api.Ending.ERROR):
            self.at(self.now + 0.002, lambda: process.later(api.Started(a.request, attempt)))
        self.at(
            self.now + took,
            lambda: process.later(api.Ended(a.request, attempt, ending, ending is api.Ending.OK, 0.0)),
        )

    # --- rules

    def _record_bad_send(self, server: int) -> None:
        """Records a send to a bad server, and checks the rule `left`, which limits the sends in LEFT_S.

        The limit allows each dispatcher some attempts of its own, and some more for trials.
        """
        times = self.sends_to_bad.setdefault(server, deque())
        times.append(self.now)
        while times[0] < self.now - LEFT_S:
            times.popleft()
        bad = self.bad(server)
        most = EACH_SENDS * self.world.dispatchers + MORE_SENDS
        if bad is not None and self.now > bad.at + 2 * LEFT_S and len(times) > most:
            self.break_(
                "left",
                f"w{server} fails since {self.now - bad.at:.1f} s and got {len(times)} in {LEFT_S:g} s",
            )

    def _check_window(self) -> None:
        """Does nothing, as budgets are not checked here."""

    def _check_state(self) -> None:
        honest = [p for i, p in self.alive.items() if isinstance(p, Process) and i != self.scene.liar]
        out: dict[str, int] = {}
        for p in honest:
            groups: dict[str, int] = {}
            for address, held in p.judging.verdicts.items():
                if any(v.state in (VerdictState.CONDEMNED, VerdictState.TRIAL) for v in held.values()):
                    zone = p.d.workers[address].zone
                    groups[zone] = groups.get(zone, 0) + 1
                    out[address] = out.get(address, 0) + 1
            for zone, n in groups.items():
                ready = sum(w.zone == zone for w in p.d.workers.values())
                if n > min(max(1, int(0.3 * ready)), ready - 1):
                    return self.break_("bound", f"{p.name} holds {n} of {ready} out in {zone}")
            self.most_out = max(self.most_out, sum(groups.values()))
        for n in range(self.scene.servers):
            if self.bad(n) is not None:
                self.last_bad_at[n] = self.now
            since_good = (
                self.now - self.last_bad_at[n] if self.last_bad_at[n] or self.now < 1.0 else float("inf")
            )
            good = since_good > GOOD_S and not any(f.kind == "pause" for f in self.world.faults)
            if good and self.now > STARTUP_S and 2 * out.get(f"w{n}", 0) > len(honest):
                return self.break_("good", f"w{n} is good, and out at {out[f'w{n}']} of {len(honest)}")

    def _healed(self) -> None:
        if self.scene.liar >= 0:
            return
        for p in self.alive.values():
            assert isinstance(p, Process)
            p.judging.evaluate(p.clock(), p.d.worker_index)
            held = {
                a: h
                for a, h in p.judging.verdicts.items()
                if any(v.state is VerdictState.CONDEMNED for v in h.values())
            }
            if held:
                return self.break_("ends", f"{p.name} still holds {sorted(held)} out")


def play_seed(seed: int) -> tuple[int, peers.Found]:
    play = Play(seed)
    broken = play.run()
    return seed, peers.Found(play.steps, broken)
