"""What the operators' rule on quotas says of arrivals at workers; shares no code with what it judges."""

from typing import NamedTuple


class Arrival(NamedTuple):
    """A request that reached a worker which runs it. `time`: seconds; `cost`: units of its tenant's quota."""

    time: float
    tenant: str
    cost: int


class QuotaOracle:
    """Judges the arrivals of all dispatchers together; they may be recorded in any order."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []

    def record(self, time: float, tenant: str, cost: int) -> None:
        """A request reached a worker which runs it."""
        self.arrivals.append(Arrival(time, tenant, cost))

    def total(self, tenant: str) -> int:
        """Units of a tenant that have arrived."""
        return sum(arrival.cost for arrival in self.arrivals if arrival.tenant == tenant)

    def worst_excess(
        self, tenant: str, *, window_s: float, rate: float, burst: float, overage: float, slack: float
    ) -> float:
        """The largest excess over the rule's bound in any closed span of `window_s`; below 0: none."""
        bound = (rate * window_s + burst) * (1 + overage) + slack
        times_costs = sorted((a.time, a.cost) for a in self.arrivals if a.tenant == tenant)
        worst = in_window = first = 0
        for time, cost in times_costs:
            in_window += cost
            while time - times_costs[first][0] > window_s:
                in_window -= times_costs[first][1]
                first += 1
            worst = max(worst, in_window)
        return worst - bound
