"""Expected durations of loads and evictions, learned from completed loads; without I/O and clock."""

from attrs import define

SMOOTHING_FACTOR = 0.3  # weight of a new observation in the moving averages
INITIAL_WARM_FRACTION = 0.25
INITIAL_ADAPTER_LOAD_S = 0.02
EXPECTED_EVICTION_S = 0.03


@define
class LoadDurations:
    """Moving averages of load durations at the workers of one service.

    `warm_fraction` and `cold_fraction` are the durations of loads from the local disk and from the weight
    store as fractions of the duration that is configured for the model.
    """

    warm_fraction: float = INITIAL_WARM_FRACTION
    cold_fraction: float = 1.0
    adapter_load_s: float = INITIAL_ADAPTER_LOAD_S

    def expected_s(self, configured_load_s: float, is_adapter: bool, is_warm: bool) -> float:
        """Expected duration of a load in seconds; a warm load is from the worker's local disk."""
        if is_adapter:
            return self.adapter_load_s
        return configured_load_s * (self.warm_fraction if is_warm else self.cold_fraction)

    def record(
        self, configured_load_s: float, is_adapter: bool, is_warm: bool, load_duration_s: float
    ) -> None:
        """Adds the duration of a completed load to the averages."""
        if is_adapter:
            self.adapter_load_s += SMOOTHING_FACTOR * (load_duration_s - self.adapter_load_s)
            return
        if configured_load_s <= 0:
            return
        observed_fraction = load_duration_s / configured_load_s
        if is_warm:
            self.warm_fraction += SMOOTHING_FACTOR * (observed_fraction - self.warm_fraction)
        else:
            self.cold_fraction += SMOOTHING_FACTOR * (observed_fraction - self.cold_fraction)
