"""Figures of a play of quotas: what was refused below the limit, and how long there was no account."""

from collections import Counter
from enum import Enum

from attrs import define, field


class Refusal(str, Enum):
    """Why a request reached no worker."""

    NO_DISPATCHER = "no dispatcher"  # its process does not run, or ends meanwhile, or knows no configuration
    NO_ACCOUNT = "no account"
    EXHAUSTED = "exhausted"


@define
class IdealBucket:
    """What one count that sees all requests in order, and is never away, would let through."""

    rate_per_s: float
    burst: float
    level: float
    at: float

    def admits(self, cost: int, now: float) -> bool:
        """Takes the cost if it is there; one above the burst needs a full bucket."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate_per_s)
        self.at = now
        if self.level < min(cost, self.burst):
            return False
        self.level -= cost
        return True


@define
class Outcome:
    """What became of one request.

    Attributes:
        is_owed: Whether it was below the limit, by the ideal bucket.
        is_served: Whether it reached a worker that ran it.
        refusal: Why it reached none, if it did not.
    """

    tenant: str
    cost: int
    is_owed: bool
    is_served: bool = False
    refusal: Refusal = Refusal.NO_DISPATCHER


@define
class Takeover:
    """A new term's first grant after the last one of the term before."""

    former: str
    holder: str
    gap_s: float


@define
class QuotaFigures:
    """Collects the requests and grants of one play, in the order of time."""

    outcomes: list[Outcome] = field(factory=list)
    takeovers: list[Takeover] = field(factory=list)
    _ideal: dict[str, IdealBucket] = field(factory=dict)
    _holder: str = ""
    _term: int = 0
    _granted_at: float = 0.0

    def add_tenant(self, name: str, rate_per_s: float, burst: float, now: float) -> None:
        """A tenant with a full ideal bucket."""
        self._ideal[name] = IdealBucket(rate_per_s, burst, burst, now)

    def begin(self, tenant: str, cost: int, now: float) -> Outcome:
        """A client sends a request."""
        outcome = Outcome(tenant, cost, self._ideal[tenant].admits(cost, now))
        self.outcomes.append(outcome)
        return outcome

    def granted(self, holder: str, term: int, now: float) -> None:
        """The account granted something."""
        if self._term and term != self._term:
            self.takeovers.append(Takeover(self._holder, holder, now - self._granted_at))
        self._holder, self._term, self._granted_at = holder, term, now

    def owed(self, tenant: str) -> int:
        """Requests below the limit."""
        return sum(outcome.is_owed for outcome in self.outcomes if outcome.tenant == tenant)

    def shortfall(self, tenant: str) -> float:
        """Share of the units below the limit that no worker ran, whichever requests ran instead."""
        owed = self.owed_units(tenant)
        served = sum(o.cost for o in self.outcomes if o.tenant == tenant and o.is_served)
        return max(0.0, 1 - served / owed) if owed else 0.0

    def owed_units(self, tenant: str) -> int:
        """Units below the limit that were asked for."""
        return sum(o.cost for o in self.outcomes if o.tenant == tenant and o.is_owed)

    def refused_below_limit(self, tenant: str) -> Counter[Refusal]:
        """Those of them that no worker ran, by reason."""
        return Counter(
            outcome.refusal
            for outcome in self.outcomes
            if outcome.tenant == tenant and outcome.is_owed and not outcome.is_served
        )
