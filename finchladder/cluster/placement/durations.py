"""How long orders take, learned from those that were carried out; seconds."""

from math import exp

from attrs import define

STEP = 0.3  # weight of a new observation
FIRST_WARM_SHARE = 0.25
FIRST_ADAPTER_S = 0.02
EVICT_S = 0.03


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


CHANGE_S = 10.0  # time constant with which the places that first copies take are averaged
USE_S = 1.0  # for which a place is in use once its model is there


@define
class FirstCopies:
    """Loads of models of which there was no copy: how many places they take at once, on average."""

    place_seconds: float = 0.0  # a second, decayed
    at: float = 0.0

    def begin(self, now: float, load_s: float) -> None:
        """One begins."""
        self.at_once(now)
        self.place_seconds += (load_s + USE_S) / CHANGE_S

    def at_once(self, now: float) -> float:
        """Places taken on average lately."""
        self.place_seconds *= exp(-(now - self.at) / CHANGE_S)
        self.at = now
        return self.place_seconds
