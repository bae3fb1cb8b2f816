"""Figures of many plays of quotas: what was refused below the limits, and how long there was no account."""

from collections import Counter
from statistics import median

from attrs import define, field

from finchladder.lab.cluster.plays import play, play_overlapping
from finchladder.lab.cluster.quota_figures import QuotaFigures, Refusal
from finchladder.lab.cluster.quota_play import ALL
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.world import World


@define
class TenantReport:
    """One tenant over all plays: requests below its limit, and those of them that no worker ran, by reason.

    `owed_units` and `missing_units`: what was below the limit, and what of it no request of the tenant got.
    """

    name: str
    owed: int = 0
    refused: Counter[Refusal] = field(factory=Counter)
    owed_units: float = 0.0
    missing_units: float = 0.0

    def add(self, figures: QuotaFigures) -> None:
        """One play more."""
        self.owed += figures.owed(self.name)
        self.refused += figures.refused_below_limit(self.name)
        units = figures.owed_units(self.name)
        self.owed_units += units
        self.missing_units += units * figures.shortfall(self.name)

    def line(self) -> str:
        """For people."""
        reasons = ", ".join(f"{count} {reason.value}" for reason, count in sorted(self.refused.items()))
        missing = self.missing_units / self.owed_units if self.owed_units else 0.0
        return (
            f"{self.name}: {self.refused.total()} of {self.owed} requests below the limit not run"
            f" ({reasons or 'none'}); {missing:.1%} of the units missing"
        )


@define
class QuotaReport:
    """Several plays. `gaps_s`: times without a grant around each change of the term."""

    tenants: list[TenantReport] = field(factory=lambda: [TenantReport(clients.name) for clients in ALL])
    gaps_s: list[float] = field(factory=list)

    def lines(self) -> list[str]:
        """For people."""
        lines = [tenant.line() for tenant in self.tenants]
        if not self.gaps_s:
            return [*lines, "no takeover"]
        gaps = f"median {median(self.gaps_s):.2f} s, worst {max(self.gaps_s):.2f} s"
        return [*lines, f"{len(self.gaps_s)} takeovers, without a grant {gaps}"]


def measure(first: int, seeds: int, faults: int, edges: int, *, fenced: bool) -> QuotaReport:
    """Plays seeds with so many episodes of faults, none for calm; Violation if a rule was broken."""
    report = QuotaReport()
    for seed in range(first, first + seeds):
        world = World(seed, freezes=True, overlaps=True, edges=edges, fenced=fenced, quotas=True)
        run(play_overlapping(world, faults) if faults else play(world, 0))
        assert world.quota_play is not None
        figures = world.quota_play.figures
        for tenant in report.tenants:
            tenant.add(figures)
        report.gaps_s += [takeover.gap_s for takeover in figures.takeovers]
    return report
