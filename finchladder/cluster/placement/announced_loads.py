"""Recent loads from the weight store, as placement records announce them; times are passed in."""

from collections.abc import Iterable
from typing import NamedTuple

from attrs import define, field, frozen

from finchladder.cluster.types.workers import PlacementRecord


class RecordKey(NamedTuple):
    """Records of one worker under one term of the placer's lease."""

    instance: str
    token: int  # fencing token of the term


@frozen
class AnnouncedLoads:
    """When loads began, by one placement record."""

    serial: int  # of the record
    load_times: tuple[float, ...]


@define
class AnnouncedLoadLog:
    """Loads within the window that any placer announced, as each control process sees them.

    A record is older than the moment at which it is received, so a load counts for no shorter than it should.
    """

    window_s: float
    by_record: dict[RecordKey, AnnouncedLoads] = field(factory=dict)

    def record(self, now: float, placements: Iterable[PlacementRecord]) -> None:
        """Folds in the placement records that are known now. O(records)."""
        for placement in placements:
            key = RecordKey(placement.instance, placement.token)
            known = self.by_record.get(key)
            if placement.load_ages_ms and (known is None or known.serial < placement.serial):
                load_times = tuple(now - age_ms / 1000 for age_ms in placement.load_ages_ms)
                self.by_record[key] = AnnouncedLoads(placement.serial, load_times)

    def expire(self, now: float) -> None:
        """Drops entries whose loads all lie before the window."""
        window_start = now - self.window_s
        self.by_record = {
            key: announced
            for key, announced in self.by_record.items()
            if max(announced.load_times) > window_start
        }

    def recent_loads(self, now: float, instances: Iterable[str]) -> list[float]:
        """When loads at these workers began, as far as that lies in the window."""
        wanted = set(instances)
        window_start = now - self.window_s
        return [
            load_time
            for key, announced in self.by_record.items()
            if key.instance in wanted
            for load_time in announced.load_times
            if load_time > window_start
        ]
