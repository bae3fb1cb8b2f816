"""How many model slots of the fleet cold starts take, on average; times are passed in."""

from math import exp

from attrs import define

OCCUPANCY_TIME_CONSTANT_S = 10.0
FIRST_USE_S = 1.0  # for which a model's slot counts as in use once the model is loaded


@define
class ColdStartOccupancy:
    """Average number of model slots that are taken by loads of models without a replica.

    By Little's law it is the rate of cold starts times how long each takes its slot.
    """

    average_slots: float = 0.0
    updated_at: float = 0.0

    def record_cold_start(self, now: float, load_s: float) -> None:
        """Folds in a cold start that begins now."""
        self.occupied_slots(now)
        self.average_slots += (load_s + FIRST_USE_S) / OCCUPANCY_TIME_CONSTANT_S

    def occupied_slots(self, now: float) -> float:
        """Decays the average to this moment and returns it."""
        self.average_slots *= exp(-(now - self.updated_at) / OCCUPANCY_TIME_CONSTANT_S)
        self.updated_at = now
        return self.average_slots
