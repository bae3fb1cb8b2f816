"""Command line of the control world: `python -m finchladder.lab.cluster hunt --help`."""

import sys
from pathlib import Path
from typing import Any, NoReturn

import click

from finchladder.lab.cluster import agreement_model, chain_model, comparing, gaps, lease_model, quota_report
from finchladder.lab.cluster.emulator import days
from finchladder.lab.cluster.hunt import Case, hunt
from finchladder.lab.cluster.mutants import play_all
from finchladder.lab.cluster.planted_faults import MUTANTS
from finchladder.lab.cluster.search import Explored, explore


def _tell(found: Explored[Any], problem: str) -> NoReturn:
    """Prints how far a search went and the way to what broke the rule; ends with status 1 if anything did."""
    extent = "all of them" if found.complete else "not all"
    click.echo(f"{found.states} states, {extent}, up to {found.depth} steps away")
    if found.broken is not None:
        click.echo(f"{problem} after:\n" + "\n".join(found.broken))
    sys.exit(0 if found.broken is None else 1)


@click.group()
def main() -> None:
    """Plays the control state on a virtual clock, with faults drawn from seeds."""


@main.command("hunt")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--seeds", default=100, show_default=True, help="How many seeds are played.")
@click.option("--machines", default=3, show_default=True, help="Core machines at the start.")
@click.option("--losses", default=1, show_default=True, help="How many may lose their disks at once.")
@click.option("--faults", default=6, show_default=True, help="Faults in each play.")
@click.option("--freezes/--no-freezes", default=True, show_default=True, help="Processes stand still, too.")
@click.option("--overlaps/--no-overlaps", default=False, show_default=True, help="Several faults at once.")
@click.option("--edges", default=0, show_default=True, help="Dispatchers, each with a worker beside it.")
@click.option("--fenced/--not-fenced", default=False, show_default=True, help="Workers check fences.")
@click.option("--places/--no-places", default=False, show_default=True, help="Models are placed, too.")
@click.option("--scale", default=1.0, show_default=True, help="Factor of all bounds of the rules.")
@click.option("--quotas/--no-quotas", default=False, show_default=True, help="Requests need quota.")
@click.option("--stalls/--no-stalls", default=False, show_default=True, help="Requests with quota wait, too.")
@click.option("--turnovers/--no-turnovers", default=False, show_default=True, help="All cores are replaced.")
@click.option("--jobs", default=1, show_default=True, help="Processes.")
def hunt_seeds(
    first: int,
    seeds: int,
    machines: int,
    losses: int,
    faults: int,
    freezes: bool,
    overlaps: bool,
    edges: int,
    fenced: bool,
    places: bool,
    scale: float,
    quotas: bool,
    stalls: bool,
    turnovers: bool,
    jobs: int,
) -> None:
    """Look for seeds that break a rule, shrink and print them with their traces; status 1 if there is one."""
    numbers = range(first, first + seeds)
    if places and not edges:
        raise click.UsageError("--places needs --edges: dispatchers tell what is asked for")
    if quotas and not edges:
        raise click.UsageError("--quotas needs --edges: dispatchers reserve quota")
    if stalls and not quotas:
        raise click.UsageError("--stalls needs --quotas: what is reserved waits")
    if turnovers and not (edges and overlaps):
        raise click.UsageError("--turnovers needs --edges and --overlaps: a dispatcher is cut off meanwhile")
    cases = [
        Case(
            seed,
            machines,
            losses,
            faults,
            freezes,
            overlaps,
            edges,
            fenced,
            places,
            scale,
            quotas,
            stalls,
            turnovers,
        )
        for seed in numbers
    ]
    found = 0
    for finding in hunt(cases, jobs):
        found += 1
        click.echo(f"{finding.case}: {finding.problem}")
        click.echo("\n".join(finding.trace))
    click.echo(f"{seeds} seeds, {found} with a rule broken")
    sys.exit(1 if found else 0)


@main.command("search")
@click.option("--voters", default=3, show_default=True, help="Members that vote on the view.")
@click.option("--ballots", default=2, show_default=True, help="Proposals, each of another proposer.")
@click.option("--states", default=1_000_000, show_default=True, help="How many states are visited at most.")
def search_agreement(voters: int, ballots: int, states: int) -> None:
    """Visit every state of the agreement on one view; status 1 if two views can be decided."""
    start = agreement_model.start(voters, ballots)
    found = explore(start, agreement_model.steps, agreement_model.one_view_is_decided, states)
    _tell(found, "two views are decided")


@main.command("chain")
@click.option("--members", default=3, show_default=True, help="Core machines.")
@click.option("--writes", default=2, show_default=True, help="Changes that are written.")
@click.option("--views", default=2, show_default=True, help="Views after the first.")
@click.option("--wipes", default=1, show_default=True, help="Disks that are lost.")
@click.option("--states", default=1_000_000, show_default=True, help="How many states are visited at most.")
def search_chain(members: int, writes: int, views: int, wipes: int, states: int) -> None:
    """Visit every state of the chain under new views and lost disks; status 1 if a change can be lost."""
    start = chain_model.start(members, writes, views, wipes)
    found = explore(start, chain_model.steps, chain_model.nothing_acknowledged_is_missing, states)
    _tell(found, "an acknowledged change is missing")


@main.command("lease")
@click.option("--requests", default=2, show_default=True, help="Calls that each of two members makes.")
@click.option("--heads", default=1, show_default=True, help="Replacements of the head.")
@click.option("--states", default=1_000_000, show_default=True, help="How many states are visited at most.")
def search_lease(requests: int, heads: int, states: int) -> None:
    """Visit every state of the placer's lease; status 1 if two members can act within a turn."""
    start = lease_model.start(requests, heads)
    found = explore(start, lease_model.steps, lease_model.no_two_act_within_a_turn, states)
    _tell(found, "two members act within a turn")


@main.command("gaps")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--seeds", default=20, show_default=True, help="How many seeds are played for each fault.")
@click.option("--machines", default=3, show_default=True, help="Core machines.")
@click.option("--losses", default=1, show_default=True, help="How many may lose their disks at once.")
def measure_gaps(first: int, seeds: int, machines: int, losses: int) -> None:
    """Measure how long no change is acknowledged around each kind of fault; seconds of virtual time."""
    for fault in (None, *gaps.FAULTS):
        gap = gaps.measure(fault, first, seeds, machines, losses)
        click.echo(f"{gap.fault or 'calm'}: median {gap.median_s:.2f} s, worst {gap.worst_s:.2f} s")


@main.command("quotas")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--seeds", default=20, show_default=True, help="How many seeds are played.")
@click.option("--faults", default=0, show_default=True, help="Episodes of faults in each; 0: calm.")
@click.option("--edges", default=3, show_default=True, help="Dispatchers.")
@click.option("--fenced/--not-fenced", default=True, show_default=True, help="Workers check fences.")
def measure_quotas(first: int, seeds: int, faults: int, edges: int, fenced: bool) -> None:
    """Measure what is refused below the limits, and how long nothing is granted around a takeover."""
    report = quota_report.measure(first, seeds, faults, edges, fenced=fenced)
    click.echo("\n".join(report.lines()))


@main.command("mutants")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--seeds", default=200, show_default=True, help="How many seeds are played at most for each.")
@click.option("--only", default="", help="Mutants whose names hold this text.")
@click.option("--jobs", default=1, show_default=True, help="Processes.")
def play_mutants(first: int, seeds: int, only: str, jobs: int) -> None:
    """Plant faults in the control code, one at a time; status 1 if one is not found."""
    survivors = 0
    chosen = [mutant for mutant in MUTANTS if only in mutant.name]
    for found in play_all(chosen, first, seeds, jobs):
        survivors += not found.problem
        outcome = f"{found.seeds} seeds: {found.problem}" if found.problem else "NOT FOUND"
        click.echo(f"{found.mutant.point} {found.mutant.name}: {outcome}")
    click.echo(f"{len(chosen)} mutants, {survivors} not found within {seeds} seeds")
    sys.exit(1 if survivors else 0)


@main.command("compare")
@click.option("--before", multiple=True, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--after", multiple=True, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--plot", type=click.Path(path_type=Path), help="Also draw the differences of figures, as PNG.")
def compare_variants(before: tuple[Path, ...], after: tuple[Path, ...], plot: Path | None) -> None:
    """Compare two variants of the program by entries of the bench's journal, or folders of them.

    Days with the same site, name and seed are pairs. Status 1 if a day of either did not pass, 2 for a file
    that is no entry.
    """
    try:
        one, two = comparing.read_variant(before), comparing.read_variant(after)
    except comparing.EntryUnusable as error:
        click.echo(f"finchladder: {error}", err=True)
        sys.exit(2)
    differences = comparing.compare(one, two)
    click.echo("\n".join(comparing.lines(differences)) or "no day was played with both")
    broken = [
        f"{name}: {line}"
        for name, days in (("before", one), ("after", two))
        for line in comparing.broken_days(days)
    ]
    for line in broken:
        click.echo(f"broken, {line}")
    if plot is not None:
        from finchladder.lab.cluster.comparison_plot import draw

        draw(differences, plot)
    sys.exit(1 if broken else 0)


@main.command("emulate")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=4, show_default=True, help="How many days are played.")
@click.option("--workers", default=20, show_default=True, help="Engines; dispatchers are as many.")
@click.option("--rate", default=84.0, show_default=True, help="Requests a second.")
@click.option("--busy", default=33, show_default=True, help="Models that come into demand in turn.")
@click.option("--rare", default=92, show_default=True, help="Models that are asked for rarely.")
@click.option("--bound/--no-bound", default=False, show_default=True, help="Every worker holds every model.")
@click.option("--jobs", default=1, show_default=True, help="Processes.")
def emulate_days(
    first: int, seeds: int, workers: int, rate: float, busy: int, rare: int, bound: bool, jobs: int
) -> None:
    """Play days of emulated engines under the real placer and the real choice of workers."""
    numbers = range(first, first + seeds)
    results = days.play_all(days.Size(workers, rate, busy, rare), numbers, all_held=bound, jobs=jobs)
    for result in results:
        click.echo(result.line())
    click.echo(days.mean_line(results))


if __name__ == "__main__":
    main()
