"""What clients ask for on an emulated day: a few models of many, which change, and many rarely.

All of it follows from the seed: the same seed gives the same arrivals whatever the system does.
"""

from random import Random

from attrs import frozen

from finchladder.lab.cluster.emulator.engines import Work

CLUMP = 3.0  # requests that come at one moment, on average
SHARES = (0.174, 0.0644, 0.0482, 0.04, 0.0348, 0.0312, 0.0285, 0.0263, 0.0246, 0.0231, 0.0219)
SIZE_SPREAD = 0.8  # of the logarithm of a prompt's size
LARGEST = 3.8  # times the mean


@frozen
class Catalogue:
    """Models of a day. `busy`: in the order in which they come into demand."""

    busy: tuple[str, ...]
    rare: tuple[str, ...]
    adapters: int = 8  # of every second busy model


@frozen
class RequestClass:
    """Requests of one kind. Times in seconds; `rate` a second; sizes in tokens."""

    name: str
    rate: float
    aim_s: float
    deadline_s: float
    worth: float
    late_worth: float
    priority: int
    prompt: float
    shared: tuple[tuple[int, int], ...]  # parts of prompts: how many there are, and their size
    output: float
    is_rare: bool = False
    adapter_share: float = 0.0


@frozen
class Shift:
    """From `at` on, over `for_s`, demand moves on by `count` places in the list of busy models."""

    at: float
    for_s: float
    count: int


@frozen
class Burst:
    """A class is asked for `times` as often."""

    name: str
    at: float
    for_s: float
    times: float


@frozen
class Arrival:
    """A request of a client. `at`: seconds from the start of traffic."""

    at: float
    kind: RequestClass
    work: Work


@frozen
class DayPlan:
    """What happens on a day."""

    length_s: float
    classes: tuple[RequestClass, ...]
    catalogue: Catalogue
    shifts: tuple[Shift, ...] = ()
    bursts: tuple[Burst, ...] = ()

    def shares(self, at: float) -> dict[str, float]:
        """Of the busy models, of all requests to them."""
        offset, moved = 0, 0.0
        for shift in self.shifts:
            part = min(1.0, max(0.0, (at - shift.at) / shift.for_s))
            if part < 1.0:
                moved = part
                count = shift.count
                break
            offset += shift.count
        else:
            count = 0
        total, found = sum(SHARES), dict[str, float]()
        for place, share in enumerate(SHARES):
            for start, weight in ((offset, 1 - moved), (offset + count, moved)):
                model = self.catalogue.busy[(start + place) % len(self.catalogue.busy)]
                found[model] = found.get(model, 0.0) + weight * share / total
        return found

    def rate(self, kind: RequestClass, at: float) -> float:
        """Requests of a class a second at that moment."""
        times = [b.times for b in self.bursts if b.name == kind.name and b.at <= at < b.at + b.for_s]
        return kind.rate * max(times, default=1.0)


def arrivals(plan: DayPlan, seed: int) -> list[Arrival]:
    """All requests of a day in their order."""
    found: list[Arrival] = []
    for kind in plan.classes:
        random = Random(f"{seed} {kind.name}")
        at = 0.0
        while (at := at + random.expovariate(plan.rate(kind, at) / CLUMP)) < plan.length_s:
            for _ in range(_clump(random)):
                found.append(Arrival(at, kind, _work(plan, kind, at, random)))
    return sorted(found, key=lambda arrival: arrival.at)


def _clump(random: Random) -> int:
    size = 1
    while random.random() > 1 / CLUMP:
        size += 1
    return size


def _work(plan: DayPlan, kind: RequestClass, at: float, random: Random) -> Work:
    catalogue = plan.catalogue
    if kind.is_rare:
        model = random.choice(catalogue.rare)
    else:
        shares = plan.shares(at)
        model = random.choices(list(shares), list(shares.values()))[0]
    adapter = ""
    has_adapters = model in catalogue.busy and catalogue.busy.index(model) % 2 == 0
    if has_adapters and random.random() < kind.adapter_share:
        adapter = f"a{1 + int(catalogue.adapters * random.random() ** 2)}"
    parts = tuple(
        (f"{kind.name}-{depth}-{random.randrange(count)}", size)
        for depth, (count, size) in enumerate(kind.shared)
    )
    own = kind.prompt * min(LARGEST, random.lognormvariate(-(SIZE_SPREAD**2) / 2, SIZE_SPREAD))
    output = 1 + int(random.expovariate(1 / kind.output))
    prompt = int(own) + sum(size for _, size in parts)
    return Work(model, adapter, max(1, prompt), output, kind.priority, parts)
