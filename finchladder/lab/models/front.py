"""The layer in front: spreads the clients' new connections over the dispatchers of their zone, in turn."""

from collections.abc import Mapping
from random import Random

from finchladder.lab.experiment import Front
from finchladder.lab.models.realserver import draw


class FrontModel:
    """Knows a dispatcher as up from its first good health answer, and as down some time after its death.

    `zone_of`: {dispatcher: zone}. Turns begin at a place drawn for each zone, so that several fronts are not
    in step. Cost of a choice: O(dispatchers of the zone); of one across zones: O(dispatchers).
    """

    def __init__(self, config: Front, zone_of: Mapping[str, str], rng: Random) -> None:
        self.config, self.rng = config, rng
        self.zone_of = dict(zone_of)
        self._zones: dict[str, list[str]] = {}
        for name, zone in self.zone_of.items():
            self._zones.setdefault(zone, []).append(name)
        self._all = list(self.zone_of)
        self._turn = {zone: rng.randrange(len(names)) for zone, names in self._zones.items()}
        self._turn[""] = rng.randrange(len(self._all)) if self._all else 0
        self._admitted: set[str] = set()
        self._leaves: dict[str, float] = {}  # when it will be noticed that they died

    def healthy(self, now: float, name: str) -> None:
        """Its health was answered with 200 after its start. A death not noticed yet never will be."""
        self._leaves.pop(name, None)
        self._admitted.add(name)

    def died(self, now: float, name: str, notices_s: float | None = None) -> None:
        """It died or leaves; None: noticed after `notices_death_s`, drawn. The first notice counts."""
        delay_s = draw(self.config.notices_death_s, self.rng) if notices_s is None else notices_s
        if name in self._admitted:
            self._leaves[name] = min(self._leaves.get(name, now + delay_s), now + delay_s)

    def admitted(self, now: float, zone: str) -> list[str]:
        """Dispatchers of the zone that the front holds to be up."""
        return [n for n in self._zones.get(zone, []) if self._up(now, n)]

    def pick(self, now: float, zone: str) -> str:
        """The dispatcher for a new connection of a client in `zone`; "": there is none."""
        for turn, names in ((zone, self._zones.get(zone, [])), ("", self._all)):
            for step in range(len(names)):
                place = (self._turn[turn] + step) % len(names)
                if self._up(now, names[place]):
                    self._turn[turn] = place + 1
                    return names[place]
            if not self.config.across_zones:
                break
        return ""

    def _up(self, now: float, name: str) -> bool:
        if name in self._leaves and self._leaves[name] <= now:
            del self._leaves[name]
            self._admitted.discard(name)
        return name in self._admitted
