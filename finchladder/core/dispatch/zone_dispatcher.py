"""A Dispatcher that prefers workers in its own zone, the home zone.

`zone_spillover` decides when a share of the jobs goes to another zone, the target zone. The last row that
matches a job applies:

| job | zones in the order tried |
| --- | --- |
| new | home zone |
| new, selected by `ZoneSpillover.next_zone` | target zone, home zone |
| queued, no spillover | home zone |
| queued, spillover in progress | home zone, target zone |
| queued for at least HOME_ONLY_S | home zone, all zones |
| sent before, or no worker in the home zone | all zones |

So no job is rejected because the home zone is full while another zone is not. Only workers of the kinds and
zones that the job's pool allows are used in any case.
"""

from collections.abc import Iterable, Mapping
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
MAX_OBSERVED_WORKERS = 128  # of a zone, drawn at random if it has more; observing them takes 0.1 ms
# A job that has been queued for this long may be sent to any zone: that takes it less than to wait longer.
HOME_ONLY_S = 0.075


class ZoneDispatcher(Dispatcher):
    """A Dispatcher with zone spillover.

    CPU time in addition to the base class: every 100 ms up to MAX_OBSERVED_WORKERS workers of each zone and
    kind are examined. Memory in addition: one more index entry per ready worker and kind that jobs need.
    """

    def __init__(self, settings: Settings, seed: int, spillover_settings: SpilloverSettings) -> None:
        """`seed`: seeds all random draws."""
        self.pool_zones = settings.zones
        self.spillover_settings = spillover_settings
        kinds = {c.kind for c in settings.classes}
        # one spillover per kind that jobs need, as a zone may be full for some kinds only
        sorted_kinds = sorted(kinds, key=lambda kind: kind or "")
        self.spillovers = {kind: ZoneSpillover(spillover_settings) for kind in sorted_kinds}
        # numbers of attempts sent and rejected since the last observation, by kind and zone
        self.send_counts: dict[tuple[str | None, str], list[int]] = {}
        self.next_observation_at = 0.0
        self.zone_random = Random(f"{seed}/zones")  # separate, so the base class's draws do not change
        super().__init__(settings, seed)

    def reindex(self) -> None:
        """Rebuilds the indexes, and applies the current settings to the spillovers."""
        super().reindex()
        for spillover in self.spillovers.values():
            spillover.settings = self.spillover_settings

    def handle(self, now: float, event: Event) -> list[Action]:
        """Returns the actions for an event, and observes the zones at intervals."""
        if isinstance(event, Ended) and event.ending is Ending.OVERLOADED:
            self._count_rejection(event)
        actions = super().handle(now, event)
        for action in actions:
            if isinstance(action, Send) and (job := self.jobs.get(action.request)) is not None:
                self._count(job, job.attempts[-1].worker)[0] += 1
        if now >= self.next_observation_at:
            self.next_observation_at = now + OBSERVATION_INTERVAL_S
            actions += self._observe_zones()
        return actions

    def _count_rejection(self, event: Ended) -> None:
        attempt = self.state.attempt(event.request, event.attempt)
        if attempt is not None and attempt.ending is None:
            self._count(self.jobs[event.request], attempt.worker)[1] += 1

    def _count(self, job: Job, worker: Worker) -> list[int]:
        return self.send_counts.setdefault((job.job_class.kind, worker.zone), [0, 0])

    def _observe_zones(self) -> list[Action]:
        changes: list[Action] = []
        for kind, spillover in self.spillovers.items():
            by_zone = self.worker_index.pool(kind).by_zone
            if self.settings.zone in by_zone:
                changes += self._observe_kind(kind, spillover, by_zone)
        self.send_counts.clear()
        return changes

    def _observe_kind(
        self, kind: str | None, spillover: ZoneSpillover, by_zone: Mapping[str, PoolIndex]
    ) -> list[Action]:
        """Updates the spillover of a kind; returns a log line if its state changes."""
        home = self.settings.zone
        measured = {zone: self._measure_zone(pool, kind, zone) for zone, pool in by_zone.items()}
        load_away = sum(own_load for zone, (_, own_load) in measured.items() if zone != home)
        others = {zone: zone_load for zone, (zone_load, _) in measured.items() if zone != home}
        state_before = spillover.state
        target_before = spillover.target
        spillover.observe(self.now, measured[home][0], others, load_away)
        if spillover.state is state_before:
            return []
        target = spillover.target if spillover.state is SpilloverState.SPILLING else target_before
        of_kind = f" of kind {kind!r}" if kind is not None else ""
        return [Log(f"zone spill{of_kind}: {spillover.state.value}, {target!r} beside {home!r}")]

    def _measure_zone(self, pool: PoolIndex, kind: str | None, zone: str) -> tuple[ZoneLoad, float]:
        """Returns the load of a zone, and the slots in flight there from this dispatcher.

        The zone's slots are estimated as the sum of its workers' load thresholds. Ejected workers and workers
        in slow start are not counted as capacity, as they accept almost no jobs.
        """
        if pool.size <= MAX_OBSERVED_WORKERS:
            observed = list(pool.workers_by_load(MAX_OBSERVED_WORKERS))
        else:
            observed = list(pool.random_workers(self.zone_random, MAX_OBSERVED_WORKERS))
        slots = free = open_slots = own_load = 0.0
        for worker in observed:
            own_load += worker.load
            if worker.ejected_until or self.worker_index.is_slow_starting(worker, self.now):
                continue
            slots += worker.load_threshold
            if self.placement.is_under_threshold(worker):
                free += worker.load_threshold - worker.load
                open_slots += worker.load_threshold
        scale = pool.size / len(observed) if observed else 0.0
        sent, rejected = self.send_counts.get((kind, zone), (0, 0))
        zone_load = ZoneLoad(slots * scale, free * scale, sent, rejected, open_slots * scale)
        return zone_load, own_load * scale

    def _pools_of(self, job: Job) -> Iterable[PoolIndex]:
        all_zones = self.worker_index.pool(job.needed_pool)
        home = all_zones.by_zone.get(self.settings.zone)
        if home is None or not home.size or job.attempts:
            return (all_zones,)
        waited_s = self.now - job.arrived_at
        if waited_s >= HOME_ONLY_S:
            return home, all_zones
        spillover = self.spillovers[job.job_class.kind]
        if not waited_s:
            zone = spillover.next_zone()
        else:
            zone = spillover.target if spillover.state is not SpilloverState.HOME else None
        away = all_zones.by_zone.get(zone) if zone is not None else None
        if away is None or not away.size:
            return (home,)
        return (home, away) if waited_s else (away, home)
