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
from finchladder.core.dispatch.worker_index import PoolIndex
from finchladder.core.dispatch.zone_spillover import (
    SpilloverSettings,
    SpilloverState,
    ZoneLoad,
    ZoneSpillover,
)

OBSERVATION_INTERVAL_S = 0.1
MAX_OBSERVED_WORKERS = (
    128  # of a zone's workers at most: of more, at random points of its ring; a look costs 0.1 ms each
)
HOME_ONLY_SHARE = 0.25  # part of its aim for which a job waits for home alone


class ZoneDispatcher(Dispatcher):
    """Costs beside a Dispatcher's: a look at up to LOOK_AT workers of each zone and kind every 100 ms.

    Memory: one more place in the index for each ready worker and needed kind.
    """

    def __init__(self, settings: Settings, seed: int, spill: SpilloverSettings) -> None:
        self.pool_zones, self.spillover_settings = settings.zones, spill
        kinds = {c.kind for c in settings.classes}
        # by needed kind, as a kind may be full where others are not
        self.spillovers = {kind: ZoneSpillover(spill) for kind in sorted(kinds, key=lambda kind: kind or "")}
        self.send_counts: dict[tuple[str | None, str], list[int]] = {}  # by kind and zone: sent, refused
        self.next_observation_at = 0.0
        self.zone_random = Random(f"{seed}/zones")  # apart: the Dispatcher's own draws stay as they are
        super().__init__(settings, seed)

    def reindex(self) -> None:
        super().reindex()
        for spill in self.spillovers.values():
            spill.settings = self.spillover_settings

    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, Ended) and event.ending is Ending.OVERLOADED:
            self._count_rejection(event)
        actions = super().handle(now, event)
        for a in actions:
            if isinstance(a, Send) and (job := self.jobs.get(a.request)) is not None:
                self._count(job, job.attempts[-1].worker)[0] += 1
        if now >= self.next_observation_at:
            self.next_observation_at = now + OBSERVATION_INTERVAL_S
            actions += self._observe_zones()
        return actions

    def _count_rejection(self, e: Ended) -> None:
        attempt = self.state.attempt(e.request, e.attempt)
        if attempt is not None and attempt.ending is None:
            self._count(self.jobs[e.request], attempt.worker)[1] += 1

    def _count(self, job: Job, w: Worker) -> list[int]:
        return self.send_counts.setdefault((job.job_class.kind, w.zone), [0, 0])

    def _observe_zones(self) -> list[Action]:
        told: list[Action] = []
        home = self.settings.zone
        for kind, spill in self.spillovers.items():
            parts = self.worker_index.pool(kind).by_zone
            if home not in parts:
                continue
            seen = {zone: self._measure_zone(part, kind, zone) for zone, part in parts.items()}
            away = sum(load for zone, (_, load) in seen.items() if zone != home)
            others = {zone: found for zone, (found, _) in seen.items() if zone != home}
            before, before_target = spill.state, spill.target
            spill.observe(self.now, seen[home][0], others, away)
            if spill.state is not before:
                where = spill.target if spill.state is SpilloverState.SPILLING else before_target
                of = f" of kind {kind!r}" if kind is not None else ""
                told.append(Log(f"zone spill{of}: {spill.state.value}, {where!r} beside {home!r}"))
        self.send_counts.clear()
        return told

    def _measure_zone(self, part: PoolIndex, kind: str | None, zone: str) -> tuple[ZoneLoad, float]:
        """The zone in slots, as far as they are known: thresholds; and this dispatcher's own load there.

        Who is ejected or cold counts as not there: it takes next to nothing.
        """
        few = part.size <= MAX_OBSERVED_WORKERS
        looked = list(
            part.by_load(MAX_OBSERVED_WORKERS)
            if few
            else part.random_workers(self.zone_random, MAX_OBSERVED_WORKERS)
        )
        slots = free = open_ = load = 0.0
        for w in looked:
            load += w.load
            if not w.ejected_until and not self.worker_index.is_slow_starting(w, self.now):
                slots += w.load_threshold
                if self.placement.is_under_threshold(w):
                    free += w.load_threshold - w.load
                    open_ += w.load_threshold
        scale = part.size / len(looked) if looked else 0.0
        sent, refused = self.send_counts.get((kind, zone), (0, 0))
        return ZoneLoad(slots * scale, free * scale, sent, refused, open_ * scale), load * scale

    def _pools_of(self, job: Job) -> Iterable[PoolIndex]:
        whole = self.worker_index.pool(job.needed_pool)
        home = whole.by_zone.get(self.settings.zone)
        if home is None or not home.size or job.attempts:
            return (whole,)
        waited = self.now - job.arrived_at
        if waited >= HOME_ONLY_SHARE * job.job_class.latency_target_s:
            return home, whole
        spill = self.spillovers[job.job_class.kind]
        zone = spill.target if spill.state is not SpilloverState.HOME else None
        if not waited:
            zone = spill.next_zone()
        away = whole.by_zone.get(zone) if zone is not None else None
        if away is None or not away.size:
            return (home,)
        return (home, away) if waited else (away, home)
