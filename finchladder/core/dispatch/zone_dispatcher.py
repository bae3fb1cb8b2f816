"""A Dispatcher whose jobs stay in its own zone; spill.py says when a part of them goes to another one.

| a job | is asked for in turn |
| --- | --- |
| has come, and is of the part that goes away | the other zone, home |
| has come, otherwise | home |
| waits, while work goes away | home, the other zone |
| waits, while none does | home |
| has waited for LINGER | home, all zones |
| was sent before, or may not run at home | all zones |

So no job is refused for want of room at home while another zone has some. All of it holds within the kinds
and zones that the job's own pool allows.
"""

from collections.abc import Iterable
from random import Random

from finchladder.core.api import Action, Ended, Ending, Event, Log, Send, Settings
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.dispatch.records import Job, Worker
from finchladder.core.dispatch.worker_index import Pool
from finchladder.core.dispatch.zone_spillover import Spill, SpillSettings, State, Zone

LOOK_EVERY_S = 0.1
LOOK_AT = 128  # of a zone's workers at most: of more, at random points of its ring; a look costs 0.1 ms each
LINGER = 0.25  # part of its aim for which a job waits for home alone


class Zoned(Dispatcher):
    """Costs beside a Dispatcher's: a look at up to LOOK_AT workers of each zone and kind every 100 ms.

    Memory: one more place in the index for each ready worker and needed kind.
    """

    def __init__(self, settings: Settings, seed: int, spill: SpillSettings) -> None:
        self.split, self.spill = settings.zones, spill
        kinds = {c.kind for c in settings.classes}
        # by needed kind, as a kind may be full where others are not
        self.spills = {kind: Spill(spill) for kind in sorted(kinds, key=lambda kind: kind or "")}
        self.counts: dict[tuple[str | None, str], list[int]] = {}  # by kind and zone: sent, refused
        self.look_at = 0.0
        self.draws = Random(f"{seed}/zones")  # apart: the Dispatcher's own draws stay as they are
        super().__init__(settings, seed)

    def reindex(self) -> None:
        super().reindex()
        for spill in self.spills.values():
            spill.s = self.spill

    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, Ended) and event.ending is Ending.OVERLOADED:
            self._refused(event)
        actions = super().handle(now, event)
        for a in actions:
            if isinstance(a, Send) and (job := self.jobs.get(a.request)) is not None:
                self._count(job, job.attempts[-1].worker)[0] += 1
        if now >= self.look_at:
            self.look_at = now + LOOK_EVERY_S
            actions += self._look()
        return actions

    def _refused(self, e: Ended) -> None:
        attempt = self._attempt(e.request, e.attempt)
        if attempt is not None and attempt.ending is None:
            self._count(self.jobs[e.request], attempt.worker)[1] += 1

    def _count(self, job: Job, w: Worker) -> list[int]:
        return self.counts.setdefault((job.cls.kind, w.zone), [0, 0])

    def _look(self) -> list[Action]:
        told: list[Action] = []
        home = self.s.zone
        for kind, spill in self.spills.items():
            parts = self.fleet.pool(kind).parts
            if home not in parts:
                continue
            seen = {zone: self._seen(part, kind, zone) for zone, part in parts.items()}
            away = sum(load for zone, (_, load) in seen.items() if zone != home)
            others = {zone: found for zone, (found, _) in seen.items() if zone != home}
            before, before_target = spill.state, spill.target
            spill.observe(self.now, seen[home][0], others, away)
            if spill.state is not before:
                where = spill.target if spill.state is State.SPILLING else before_target
                of = f" of kind {kind!r}" if kind is not None else ""
                told.append(Log(f"zone spill{of}: {spill.state.value}, {where!r} beside {home!r}"))
        self.counts.clear()
        return told

    def _seen(self, part: Pool, kind: str | None, zone: str) -> tuple[Zone, float]:
        """The zone in slots, as far as they are known: thresholds; and this dispatcher's own load there.

        Who is ejected or cold counts as not there: it takes next to nothing.
        """
        few = part.size <= LOOK_AT
        looked = list(part.by_load(LOOK_AT) if few else part.anyone(self.draws, LOOK_AT))
        slots = free = open_ = load = 0.0
        for w in looked:
            load += w.load
            if not w.ejected_until and not self.fleet.is_cold(w, self.now):
                slots += w.t
                if self._under_t(w):
                    free += w.t - w.load
                    open_ += w.t
        scale = part.size / len(looked) if looked else 0.0
        sent, refused = self.counts.get((kind, zone), (0, 0))
        return Zone(slots * scale, free * scale, sent, refused, open_ * scale), load * scale

    def _pools(self, job: Job) -> Iterable[Pool]:
        whole = self.fleet.pool(job.pool)
        home = whole.parts.get(self.s.zone)
        if home is None or not home.size or job.attempts:
            return (whole,)
        waited = self.now - job.arrived
        if waited >= LINGER * job.cls.latency_target_s:
            return home, whole
        spill = self.spills[job.cls.kind]
        zone = spill.target if spill.state is not State.HOME else None
        if not waited:
            zone = spill.away()
        away = whole.parts.get(zone) if zone is not None else None
        if away is None or not away.size:
            return (home,)
        return (home, away) if waited else (away, home)
