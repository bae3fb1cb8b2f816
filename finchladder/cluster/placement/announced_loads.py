"""Tracks recent loads from the weight store that placement records announce; callers pass the time."""

from collections.abc import Iterable
from typing import NamedTuple

from attrs import define, field, frozen

from finchladder.cluster.types.workers import PlacementRecord


class RecordKey(NamedTuple):
    """Identifies the records of one worker under one term of the placer's lease."""

    instance: str
    token: int  # fencing token of the term


@frozen
class AnnouncedLoads:
    """Start times of the loads that one placement record announces."""

    serial: int  # serial number of the placement record
    load_times: tuple[float, ...]


@define
class AnnouncedLoadLog:
    """Loads that any placer announced and that started within the last `window_s` seconds.

    Load ages are subtracted from the time at which a record is received. The record is older than that, so
    that each load counts for at least `window_s`.
    """

    window_s: float
    by_record: dict[RecordKey, AnnouncedLoads] = field(factory=dict)

    def record(self, now: float, placements: Iterable[PlacementRecord]) -> None:
        """Records the loads of the currently known placement records. O(records)."""
        for placement in placements:
            key = RecordKey(placement.instance, placement.token)
            known = self.by_record.get(key)
            if placement.load_ages_ms and (known is None or known.serial < placement.serial):
                load_times = tuple(now - age_ms / 1000 for age_ms in placement.load_ages_ms)
                self.by_record[key] = AnnouncedLoads(placement.serial, load_times)

    def expire(self, now: float) -> None:
        """Removes records whose loads all started more than `window_s` ago."""
        window_start = now - self.window_s
        self.by_record = {
            key: announced
            for key, announced in self.by_record.items()
            if max(announced.load_times) > window_start
        }

    def recent_loads(self, now: float, instances: Iterable[str]) -> list[float]:
        """Start times of the loads that began at the given workers within the last `window_s` seconds."""
        selected = set(instances)
        window_start = now - self.window_s
        return [
            load_time
            for key, announced in self.by_record.items()
            if key.instance in selected
            for load_time in announced.load_times
            if load_time > window_start
        ]
