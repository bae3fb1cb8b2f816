"""How long orders take, learned from those that were carried out; seconds."""

from math import exp

from attrs import define

SMOOTHING_FACTOR = 0.3  # weight of a new observation
INITIAL_WARM_FRACTION = 0.25
INITIAL_ADAPTER_LOAD_S = 0.02
EVICTION_S = 0.03


@define
class LoadDurations:
    """Of one service. `warm_share`: a load from the worker's own disk over one from the store."""

    warm_fraction: float = INITIAL_WARM_FRACTION
    cold_fraction: float = 1.0  # a load from the store over what the configuration says
    adapter_load_s: float = INITIAL_ADAPTER_LOAD_S

    def expected_s(self, configured_load_s: float, is_adapter: bool, is_warm: bool) -> float:
        """Of one load."""
        if is_adapter:
            return self.adapter_load_s
        return configured_load_s * (self.warm_fraction if is_warm else self.cold_fraction)

    def record(
        self, configured_load_s: float, is_adapter: bool, is_warm: bool, load_duration_s: float
    ) -> None:
        """One load took so long."""
        if is_adapter:
            self.adapter_load_s += SMOOTHING_FACTOR * (load_duration_s - self.adapter_load_s)
        elif configured_load_s > 0 and is_warm:
            self.warm_fraction += SMOOTHING_FACTOR * (
                load_duration_s / configured_load_s - self.warm_fraction
            )
        elif configured_load_s > 0:
            self.cold_fraction += SMOOTHING_FACTOR * (
                load_duration_s / configured_load_s - self.cold_fraction
            )


OCCUPANCY_TIME_CONSTANT_S = 10.0  # time constant with which the places that first copies take are averaged
FIRST_USE_S = 1.0  # for which a place is in use once its model is there


@define
class ColdStartOccupancy:
    """Loads of models of which there was no copy: how many places they take at once, on average."""

    average_slots: float = 0.0  # a second, decayed
    updated_at: float = 0.0

    def record_cold_start(self, now: float, load_s: float) -> None:
        """One begins."""
        self.occupied_slots(now)
        self.average_slots += (load_s + FIRST_USE_S) / OCCUPANCY_TIME_CONSTANT_S

    def occupied_slots(self, now: float) -> float:
        """Places taken on average lately."""
        self.average_slots *= exp(-(now - self.updated_at) / OCCUPANCY_TIME_CONSTANT_S)
        self.updated_at = now
        return self.average_slots
