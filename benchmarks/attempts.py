"""What a run of the lab sent to its real servers, from its ledger: attempts, and the work they did.

    python -m benchmarks.attempts FOLDER...

A line for each class and phase of each run: clients' first tries and all their tries, attempts that came to a
real server for each of both, those that were taken at the same time as another, and work done for each second
of work that was asked for by first tries. Work done is a running time at the server's own speed, never more
than was asked for: right where a server holds no more jobs than it has cores. After faults, how long it took
until from then on 19 of 20 first tries of each second were served within SOON_S.
"""

import argparse
from collections import defaultdict
from pathlib import Path

from finchladder.lab import ledger
from finchladder.lab.ledger import Ledger, Run

SOON_S = 1.0


def work_of(found: Ledger, run: Run, asked: float) -> float:
    if run.began is None or run.ended is None:
        return 0.0
    [cores] = {pool.cores for pool in found.experiment.pool}
    speed = found.born[run.server, run.epoch].capacity / cores
    return min(asked, (run.ended - run.began) * speed)


def together(runs: list[Run]) -> bool:
    """Whether two attempts at the same job were out at one time."""
    spans = sorted((r.last, r.out_until if r.out_until is not None else r.last) for r in runs)
    return any(later[0] < before[1] for before, later in zip(spans, spans[1:], strict=False))


def back(found: Ledger) -> str:
    ends = [f.at for f in found.faults if f.detail == "end"]
    if not ends:
        return ""
    late: dict[int, list[bool]] = defaultdict(list)
    for tries in found.jobs.values():
        after = tries[0].asked.due - max(ends)
        if after >= 0:
            served = [t.end.at for t in tries if t.end is not None and t.end.status == 200]
            late[int(after)].append(not served or served[0] - tries[0].asked.due > SOON_S)
    bad = [second for second, jobs in late.items() if sum(jobs) > 0.05 * len(jobs)]
    return f"; back after {max(bad, default=-1) + 1} s, of {len(late)} looked at"


def lines(folder: Path) -> list[str]:
    found = ledger.load(folder)
    phases = found.phases()
    sums: dict[tuple[str, str], list[float]] = defaultdict(lambda: [0.0] * 6)
    for tries in found.jobs.values():
        first = tries[0].asked
        phase = next((name for begin, end, name, _ in phases if begin <= first.due < end), "")
        row = sums[phase, first.job_class]
        runs = [run for one in tries for run in one.runs]
        row[0] += 1
        row[1] += len(tries)
        row[2] += len(runs)
        row[3] += sum(together(one.runs) for one in tries)
        row[4] += sum(work_of(found, run, first.work) for run in runs)
        row[5] += first.work
    return [
        f"{folder.name} {phase or '-'} {cls}: {first:.0f} first tries, {tries:.0f} tries, {runs:.0f}"
        f" attempts: {runs / first:.3f} a first try, {runs / tries:.3f} a try; {copies:.0f} had two at once;"
        f" work {done / asked:.3f} of what was asked{back(found)}"
        for (phase, cls), (first, tries, runs, copies, done, asked) in sorted(sums.items())
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path, nargs="+")
    for folder in parser.parse_args().folder:
        print("\n".join(lines(folder)))


if __name__ == "__main__":
    main()
