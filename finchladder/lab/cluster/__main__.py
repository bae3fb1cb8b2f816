"""Command line of the control world: `python -m finchladder.lab.cluster hunt --help`."""

import sys

import click

from finchladder.lab.cluster.hunt import Case, hunt


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
@click.option("--jobs", default=1, show_default=True, help="Processes.")
def hunt_seeds(
    first: int, seeds: int, machines: int, losses: int, faults: int, freezes: bool, jobs: int
) -> None:
    """Look for seeds that break a rule, shrink and print them with their traces; status 1 if there is one."""
    cases = [Case(seed, machines, losses, faults, freezes) for seed in range(first, first + seeds)]
    found = 0
    for finding in hunt(cases, jobs):
        found += 1
        click.echo(f"{finding.case}: {finding.problem}")
        click.echo("\n".join(finding.trace))
    click.echo(f"{seeds} seeds, {found} with a rule broken")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
