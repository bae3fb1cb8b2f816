"""Plays many seeds of the control world, shrinks what breaks a rule, and reads the corpus of such seeds."""

import asyncio
import tomllib
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from attrs import evolve, frozen

from finchladder.lab.cluster import plays
from finchladder.lab.cluster.oracle import Violation
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.world import World

LONGEST_S = 600.0  # of virtual time: a play that takes longer does not end by itself


@frozen
class Case:
    """One play: `count` machines of which `losses` may be lost at once, with so many faults."""

    seed: int
    count: int = 3
    losses: int = 1
    faults: int = 6
    freezes: bool = False
    overlaps: bool = False  # each fault is an episode of several at once
    edges: int = 0  # dispatchers; with them there are workers, too
    fenced: bool = False  # workers check fencing tokens
    places: bool = False  # there are model workers, and core processes place models
    scale: float = 1.0  # of all bounds of the rules
    quotas: bool = False  # dispatchers reserve quota for clients' requests
    stalls: bool = False  # at times workers take no requests, which wait with what they have reserved
    turnovers: bool = False  # at times all machines are replaced while a dispatcher is cut off


@frozen
class Finding:
    """A play in which a rule was broken, with its trace: one line for each event, in virtual seconds."""

    case: Case
    problem: str
    trace: tuple[str, ...]


async def _play(world: World, faults: int) -> None:
    async with asyncio.timeout(LONGEST_S):
        await (plays.play_overlapping(world, faults) if world.overlaps else plays.play(world, faults))


def play(case: Case) -> Finding | None:
    """Plays one case; None if all rules were kept."""
    world = World(
        case.seed,
        case.count,
        case.losses,
        case.freezes,
        case.overlaps,
        case.edges,
        fenced=case.fenced,
        places=case.places,
        scale=case.scale,
        quotas=case.quotas,
        stalls=case.stalls,
        turnovers=case.turnovers,
    )
    try:
        run(_play(world, case.faults))
    except (Violation, TimeoutError) as error:
        problem = str(error) or f"it did not end within {LONGEST_S} s"
        return Finding(case, problem, tuple(world.trace))
    return None


def shrink(finding: Finding) -> Finding:
    """The same seed with as few faults as still break a rule: a play begins alike whatever their number."""
    for faults in range(finding.case.faults):
        shorter = play(evolve(finding.case, faults=faults))
        if shorter is not None:
            return shorter
    return finding


def hunt(cases: Iterable[Case], jobs: int) -> Iterator[Finding]:
    """Plays all cases in so many processes and yields what breaks a rule, shrunk, in the cases' order."""
    with ProcessPoolExecutor(jobs) as pool:
        for finding in pool.map(play, cases):
            if finding is not None:
                yield shrink(finding)


def corpus(path: Path) -> list[Case]:
    """The cases of a corpus file: a TOML array `case` of tables with the fields of `Case` and `was`, what it
    once found.
    """
    with path.open("rb") as file:
        tables = tomllib.load(file)["case"]
    return [Case(**{key: value for key, value in table.items() if key != "was"}) for table in tables]
