"""Faults planted in the control code one at a time, and the control world played until one is found.

Each mutant is a text of one module and what stands in its place. A process of its own imports the module with
the replacement and plays seeds; nothing on disk changes.
"""

import importlib.abc
import importlib.machinery
import importlib.util
import json
import subprocess
import sys
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from types import CodeType, ModuleType

from attrs import frozen

from finchladder.lab.cluster.planted_faults import MUTANTS, Mutant

PACKAGE = "finchladder.cluster"
EPISODES = 5
LONGEST_S = 900.0  # for one mutant


@frozen
class Found:
    """`seeds`: how many were played until a rule broke; `problem`: which, empty if none did."""

    mutant: Mutant
    seeds: int
    problem: str


class MutantNotApplied(Exception):
    """The text to be replaced does not stand in its module exactly once."""


class _Loader(importlib.machinery.SourceFileLoader):
    """Compiles a module's source with the replacement; never from a cached file."""

    mutant: Mutant

    def get_code(self, fullname: str) -> CodeType:
        text = self.get_data(self.path).decode()
        if text.count(self.mutant.old) != 1:
            raise MutantNotApplied(f"{self.mutant.name}: found {text.count(self.mutant.old)} times")
        return compile(text.replace(self.mutant.old, self.mutant.new), self.path, "exec")


class _Finder(importlib.abc.MetaPathFinder):
    def __init__(self, mutant: Mutant) -> None:
        self._mutant = mutant
        self._name = f"{PACKAGE}.{mutant.module}"

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """The module's own place, with the loader that replaces the text."""
        if fullname != self._name:
            return None
        spec = importlib.machinery.PathFinder.find_spec(fullname, path, target)
        if spec is None or spec.origin is None:
            return None
        loader = _Loader(fullname, spec.origin)
        loader.mutant = self._mutant
        return importlib.util.spec_from_file_location(fullname, spec.origin, loader=loader)


def play_here(mutant: Mutant, first: int, seeds: int) -> Found:
    """Applies the mutant to this process and plays; the control code must not have been imported before."""
    if any(name.startswith(f"{PACKAGE}.") for name in sys.modules):
        raise MutantNotApplied(f"{mutant.name}: the control code is already loaded")
    sys.meta_path.insert(0, _Finder(mutant))
    from finchladder.lab.cluster.hunt import Case, play

    losses = (mutant.machines - 1) // 2
    for number in range(seeds):
        seed, machines, edges = first + number, mutant.machines, mutant.edges
        quotas = mutant.quotas  # workers check fences there, as where quotas are in force
        case = Case(
            seed, machines, losses, EPISODES, overlaps=True, edges=edges, fenced=quotas, quotas=quotas
        )
        finding = play(case)
        if finding is not None:
            return Found(mutant, number + 1, finding.problem)
    return Found(mutant, seeds, "")


def _play_there(mutant: Mutant, first: int, seeds: int) -> Found:
    arguments = [mutant.name, str(first), str(seeds)]
    command = [sys.executable, "-m", "finchladder.lab.cluster.mutants", *arguments]
    try:
        done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=LONGEST_S)
    except subprocess.TimeoutExpired:
        return Found(mutant, seeds, f"a play did not end within {LONGEST_S} s")
    if done.returncode:
        lines = done.stderr.strip().splitlines()
        raise MutantNotApplied(f"{mutant.name}: {lines[-1] if lines else done.returncode}")
    played, problem = json.loads(done.stdout.splitlines()[-1])
    return Found(mutant, played, problem)


def play_all(mutants: Iterable[Mutant], first: int, seeds: int, jobs: int) -> Iterator[Found]:
    """Plays each mutant in a process of its own, so many at a time, in their order."""
    with ThreadPoolExecutor(jobs) as pool:
        yield from pool.map(lambda mutant: _play_there(mutant, first, seeds), mutants)


def named(name: str) -> Mutant:
    """The mutant of that name; KeyError if there is none."""
    return {mutant.name: mutant for mutant in MUTANTS}[name]


if __name__ == "__main__":
    found = play_here(named(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]))
    print(json.dumps([found.seeds, found.problem]))
