"""Mutation tests: small patches that each remove one safeguard, and the search for a seed that detects it.

A mutant that is never found shows a gap in the rules or in the faults. A patch is a unified diff after the
lines `# part: ...` and `# takes out: ...`. It is applied by its text, not by its line numbers: the text that
it removes must occur exactly once in the file.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from statistics import median
from typing import NamedTuple

from finchladder.sim.trace import PACKAGE

MAX_SEARCH_S = 7200.0  # time limit of one search


class Hunk(NamedTuple):
    file: str  # relative to the repository
    before: str
    after: str


class Mutant(NamedTuple):
    name: str
    part: str
    takes_out: str
    hunks: list[Hunk]


class Hunt(NamedTuple):
    """`seeds`: seeds until it was found, 0 if it was not. `lines`: lines of its shrunk trace."""

    mutant: Mutant
    seeds: int
    violation: str
    lines: int


def load(folder: Path) -> list[Mutant]:
    """Reads all patches of a folder; raises ValueError for an invalid one."""
    return [read(path) for path in sorted(folder.glob("*.patch"))]


def read(path: Path) -> Mutant:
    part, takes_out, hunks = "", "", list[Hunk]()
    file, before, after = "", list[str](), list[str]()

    def close() -> None:
        if before or after:
            hunks.append(Hunk(file, "".join(before), "".join(after)))
            before.clear()
            after.clear()

    for line in path.read_text().splitlines(keepends=True):
        if line.startswith("# part: "):
            part = line[8:].strip()
        elif line.startswith("# takes out: "):
            takes_out = line[13:].strip()
        elif line.startswith("--- a/"):
            close()
            file = line[6:].strip()
        elif line.startswith(("+++ ", "#")):
            continue
        elif line.startswith("@@"):
            close()
        elif line[:1] in " -+" and file:
            if line[0] != "+":
                before.append(line[1:])
            if line[0] != "-":
                after.append(line[1:])
        elif line.strip():
            raise ValueError(f"{path}: this line is outside any hunk: {line.strip()}")
    close()
    if not (part and takes_out and hunks):
        raise ValueError(f"{path}: the line '# part: ', the line '# takes out: ' or the diff is missing")
    return Mutant(path.stem, part, takes_out, hunks)


def apply(mutant: Mutant, root: Path) -> None:
    """Applies a mutant; raises ValueError if its text does not occur exactly once."""
    for hunk in mutant.hunks:
        path = root / hunk.file
        text = path.read_text()
        if text.count(hunk.before) != 1:
            raise ValueError(
                f"{mutant.name}: the text to replace occurs {text.count(hunk.before)} times in {hunk.file}"
            )
        path.write_text(text.replace(hunk.before, hunk.after))


def copy(to: Path) -> None:
    """Copies the package into the folder `to`."""
    shutil.copytree(PACKAGE, to / PACKAGE.name, ignore=shutil.ignore_patterns("__pycache__"))


def _call(root: Path, *words: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", PACKAGE.name, "sim", *words]
    env = os.environ | {"PYTHONPATH": str(root), "PYTHONDONTWRITEBYTECODE": "1"}
    return subprocess.run(
        command, cwd=root, env=env, capture_output=True, text=True, timeout=MAX_SEARCH_S, check=False
    )


def hunt_one(mutant: Mutant, most: int, out: Path | None, jobs: int = 1) -> Hunt:
    with tempfile.TemporaryDirectory(prefix="mutant-") as name:
        root = Path(name)
        copy(root)
        apply(mutant, root)
        done = _call(
            root, "search", "--seeds", f"1..{most}", "--jobs", str(jobs), "--first", "--out", "found"
        )
        first = next((line for line in done.stdout.splitlines() if line.startswith("seed ")), "")
        if done.returncode not in (0, 1) or (done.returncode and not first):
            raise ValueError(f"{mutant.name}: the search command failed: {done.stderr[-500:]}")
        if not first:
            return Hunt(mutant, 0, "", 0)
        head, _, violation = first.partition(": ")
        seed, lines = int(head.split()[1]), 0
        path = root / "found" / f"seed-{seed}.jsonl"
        if out is not None and path.exists():
            small = out.resolve() / f"{mutant.name}.jsonl"
            small.parent.mkdir(parents=True, exist_ok=True)
            _call(root, "shrink", str(path), "--out", str(small))
            lines = len(small.read_bytes().splitlines()) if small.exists() else 0
        return Hunt(mutant, seed, violation.split(" (")[0], lines)


def hunt(
    mutants: Sequence[Mutant], most: int, jobs: int, out: Path | None, say: Callable[[str], None]
) -> list[Hunt]:
    """Searches for several mutants in parallel, one process each. `out`: folder for shrunk traces."""
    with ThreadPoolExecutor(jobs) as pool:
        futures = [pool.submit(hunt_one, mutant, most, out) for mutant in mutants]
        hunts = []
        for future in as_completed(futures):
            h = future.result()
            hunts.append(h)
            shrunk = f", {h.lines} lines when shrunk" if h.lines else ""
            found = f"{h.seeds} seeds: {h.violation}{shrunk}" if h.seeds else f"NOT FOUND in {most} seeds"
            say(f"{h.mutant.name} ({h.mutant.part}): {found}")
        return sorted(hunts, key=lambda h: h.mutant.name)


def report(hunts: Sequence[Hunt]) -> Iterator[str]:
    found = sorted((h for h in hunts if h.seeds), key=lambda h: h.seeds)
    yield f"{len(found)} of {len(hunts)} mutants found"
    if found:
        yield f"seeds that it took: median {median(h.seeds for h in found):g}, most {found[-1].seeds}"
        yield "the worst: " + ", ".join(f"{h.mutant.name} {h.seeds}" for h in reversed(found[-5:]))
    lines = [h.lines for h in found if h.lines]
    if lines:
        yield f"shrunk traces: median {median(lines):g} lines, most {max(lines)}"
    for h in hunts:
        if not h.seeds:
            yield f"not found: {h.mutant.name}: {h.mutant.takes_out}"
