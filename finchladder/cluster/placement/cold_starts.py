"""Average number of model slots that cold starts occupy at all workers; callers pass the time."""

from math import exp

from attrs import define

OCCUPANCY_TIME_CONSTANT_S = 10.0
FIRST_USE_S = 1.0  # time after the load in which the slot still counts as occupied by the cold start


@define
class ColdStartOccupancy:
    """Average number of model slots that cold starts occupy: loads of models without a replica.

    By Little's law it is the rate of cold starts times the duration for which each of them occupies a slot.
    """

    average_slots: float = 0.0
    updated_at: float = 0.0

    def record_cold_start(self, now: float, load_s: float) -> None:
        """Adds a cold start that begins now to the average."""
        self.occupied_slots(now)
        self.average_slots += (load_s + FIRST_USE_S) / OCCUPANCY_TIME_CONSTANT_S

    def occupied_slots(self, now: float) -> float:
        """Decays the average to the time `now` and returns it."""
        self.average_slots *= exp(-(now - self.updated_at) / OCCUPANCY_TIME_CONSTANT_S)
        self.updated_at = now
        return self.average_slots
