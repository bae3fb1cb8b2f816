"""How long orders take, learned from those that were carried out; seconds."""

from attrs import define

STEP = 0.3  # weight of a new observation
FIRST_WARM_SHARE = 0.25
FIRST_ADAPTER_S = 0.02
EVICT_S = 0.05


@define
class Durations:
    """Of one service. `warm_share`: a load from the worker's own disk over one from the store."""

    warm_share: float = FIRST_WARM_SHARE
    cold_share: float = 1.0  # a load from the store over what the configuration says
    adapter_s: float = FIRST_ADAPTER_S

    def expected_s(self, load_s: float, adapter: bool, warm: bool) -> float:
        """Of one load."""
        if adapter:
            return self.adapter_s
        return load_s * (self.warm_share if warm else self.cold_share)

    def learn(self, load_s: float, adapter: bool, warm: bool, took_s: float) -> None:
        """One load took so long."""
        if adapter:
            self.adapter_s += STEP * (took_s - self.adapter_s)
        elif load_s > 0 and warm:
            self.warm_share += STEP * (took_s / load_s - self.warm_share)
        elif load_s > 0:
            self.cold_share += STEP * (took_s / load_s - self.cold_share)
