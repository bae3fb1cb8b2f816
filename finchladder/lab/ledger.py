"""Joins the records of a run's folder: jobs, their tries, and what became of each try at the real servers.

Only what was recorded is in here. Where something is missing (a torn tail, a try without an end, a run at a
real server that no `Taken` began) it is named in `gaps`; nothing is made up for it. Memory: 1.4 KB for a try
with one run, which is five records; a million records take 300 MB at the peak, and are read in 8 s.
"""

import gc
import mmap
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import cast

import msgspec

from finchladder.lab import records
from finchladder.lab.experiment import Experiment

NEAR_S = 0.001  # one event written by two models may be so much apart
LINK_FAULTS = frozenset({"cut", "reset_before", "reset_after", "black_hole", "half_open", "refuse"})


class Run(msgspec.Struct, gc=False):
    """One attempt as a real server saw it, from its last byte on. Times in seconds; None: did not happen."""

    id: str
    server: str
    epoch: int
    first: float
    last: float
    verdict: str
    digest: int = 0
    began: float | None = None
    ended: float | None = None
    how: str = ""
    result: str = ""

    @property
    def refuted(self) -> float | None:
        """When it became certain that this attempt never ran; None: it may have."""
        if self.verdict == "full":
            return self.last
        return self.ended if self.how == "returned" else None

    @property
    def out_until(self) -> float | None:
        """When it was over or given up; None: the ledger does not tell."""
        return self.last if self.verdict in ("full", "error", "reset", "unknown") else self.ended


class Try(msgspec.Struct, gc=False):
    """One request: `asked`, how it ended at the client (None: not recorded), and its runs by time."""

    asked: records.Asked
    end: records.Answered | None = None
    answers: int = 0  # whole answers; more than one is a wrong of its own
    runs: list[Run] = []

    @property
    def refused(self) -> bool:
        return self.end is not None and self.end.end == "answer" and self.end.status in (429, 503)


class Ledger:
    """`tries` by id; `jobs`: id of the first try to all its tries, by number; the rest by time.

    `strangers`: runs whose id no client has sent. `files`: records of each process's file. `torn`: bytes cut
    off at a file's end, by process.
    """

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.tries: dict[str, Try] = {}
        self.jobs: dict[str, list[Try]] = {}
        self.strangers: list[Run] = []
        self.told: dict[tuple[str, str], list[records.Told]] = {}  # (dispatcher, server)
        self.born: dict[tuple[str, int], records.Born] = {}  # (server, epoch)
        self.fell: dict[tuple[str, int], float] = {}  # when a real server fell over, overdriven while cold
        self.died: list[records.Died] = []
        self.faults: list[records.Struck] = []
        self.marks: list[records.Mark] = []
        self.rude: list[records.Rude] = []
        self.held: list[records.Held] = []
        self.samples: dict[str, list[records.Sample]] = {}
        self.late: dict[str, list[records.Lateness]] = {}
        self.files: dict[str, int] = {}
        self.torn: dict[str, int] = {}
        self.gaps: list[str] = []
        self.first = self.last = 0.0  # of the run, by its marks; without them, by its tries
        self._stopped: dict[str, list[tuple[float, float]]] = {}
        self._starts: dict[str, list[float]] = {}

    @property
    def dispatchers(self) -> list[str]:
        return [f"n{n + 1}" for n in range(self.experiment.dispatchers)]

    def zone(self, dispatcher: str) -> str:
        """The zone of n1, n2 and so on; empty for another name."""
        number = dispatcher[1:]
        return self.experiment.zone_of(int(number) - 1) if number.isdigit() else ""

    def intervals(self, kinds: frozenset[str], target: str) -> list[tuple[float, float]]:
        """When faults of these kinds struck `target`; one without an end lasts for good."""
        spans: list[tuple[float, float]] = []
        begun: dict[tuple[str, str], float] = {}
        for f in self.faults:
            if f.kind not in kinds or f.target != target:
                continue
            key = (f.kind, f.target)
            if not f.detail:  # another detail tells of something that happened meanwhile
                begun.setdefault(key, f.at)
            elif f.detail == "end" and key in begun:
                spans.append((begun.pop(key), f.at))
        return sorted(spans + [(at, float("inf")) for at in begun.values()])

    def stopped(self, dispatcher: str, since: float, until: float) -> float:
        """Seconds between two times in which the run had stopped that dispatcher's process (SIGSTOP)."""
        if dispatcher not in self._stopped:
            self._stopped[dispatcher] = self.intervals(frozenset({"pause"}), dispatcher)
        return sum(max(0.0, min(b, until) - max(a, since)) for a, b in self._stopped[dispatcher])

    def started(self, dispatcher: str, at: float) -> float:
        """When the dispatcher's process that runs at that time was started; 0 where it is not recorded."""
        if dispatcher not in self._starts:
            starts = [f.at for f in self.faults if f.kind == "started" and f.target == dispatcher]
            self._starts[dispatcher] = starts
        starts = self._starts[dispatcher]
        index = bisect_right(starts, at)
        return starts[index - 1] if index else 0.0

    def phases(self) -> list[tuple[float, float, str, bool]]:
        """(begin, end, name, counted) of each, what is skipped apart; one that counts without marks."""
        marks = [m for m in self.marks if ":" not in m.name]
        end = next((m.at for m in self.marks if m.name == "run:arrivals_end"), self.last)
        if not marks:
            return [(self.first, max(end, self.first), "", True)]
        phases = self.experiment.load.phase
        ends = [m.at for m in marks[1:]] + [max(end, marks[-1].at)]
        found = []
        for n, (m, until) in enumerate(zip(marks, ends, strict=True)):
            begin, counted = m.at, True
            if n < len(phases):
                counted, begin = phases[n].counted, min(until, m.at + phases[n].skip_s)
            if begin > m.at:
                found.append((m.at, begin, m.name, False))
            found.append((begin, until, m.name, counted))
        return found


def load(folder: Path) -> Ledger:
    """Reads FOLDER/experiment.json and FOLDER/ledger/*.log. OSError, ValueError: no such run is there."""
    path = folder / "experiment.json"
    try:
        experiment = msgspec.json.decode(path.read_bytes(), type=Experiment)
    except msgspec.MsgspecError as e:
        raise ValueError(f"{path}: not the experiment of a run: {e}") from None
    if not (folder / "ledger").is_dir():
        raise ValueError(f"{folder / 'ledger'}: no such folder; the run has left no ledger")
    ledger = Ledger(experiment)
    gc.collect()
    running = gc.isenabled()
    gc.disable()  # it would walk through the million of records again and again
    try:
        return join(ledger, _read(ledger, folder / "ledger"))
    finally:
        if running:
            gc.enable()


def _read(ledger: Ledger, folder: Path) -> Iterator[records.Any]:
    for file in sorted(folder.glob("*.log")):
        name, count = file.stem, 0
        try:
            for count, record in enumerate(records.read(file), 1):  # noqa: B007
                yield record
            if cut := _torn(file):
                ledger.torn[name] = cut
                ledger.gaps.append(f"{file.name}: its last {cut} bytes are no whole record")
        except ValueError as e:
            ledger.torn[name] = -1
            ledger.gaps.append(f"{e}; what follows in that file is not read")
        ledger.files[name] = count


def join(ledger: Ledger, everything: Iterable[records.Any]) -> Ledger:
    """Sorts the records in, whatever their order. They belong to the ledger then: it shares their names."""
    later: list[records.Began | records.Ended] = []
    names: dict[str, str] = {}

    def one(name: str) -> str:
        """One copy of each name and id, which many records hold."""
        return names.setdefault(name, name)

    asked: list[records.Asked] = []
    answered: list[records.Answered] = []
    runs: dict[str, list[Run]] = {}
    for record in everything:
        match record:
            case records.Asked() as r:
                r.id, r.origin, r.client, r.key = one(r.id), one(r.origin), one(r.client), one(r.key)
                r.dispatcher, r.job_class = one(r.dispatcher), one(r.job_class)
                asked.append(r)
            case records.Answered() as r:
                r.id, r.body, r.end = one(r.id), one(r.body), cast(records.End, one(r.end))
                answered.append(r)
            case records.Taken() as r:
                run = Run(one(r.id), one(r.server), r.epoch, r.first, r.last, one(r.verdict), r.digest)
                runs.setdefault(run.id, []).append(run)
            case records.Began() as r:
                r.id, r.server = one(r.id), one(r.server)
                later.append(r)
            case records.Ended() as r:
                r.id, r.server, r.result = one(r.id), one(r.server), one(r.result)
                later.append(r)
            case records.Told() as r:
                ledger.told.setdefault((one(r.dispatcher), one(r.server)), []).append(r)
            case records.Born() as r:
                ledger.born[r.server, r.epoch] = r
            case records.Died() as r:
                ledger.died.append(r)
                if r.why == "fell":
                    ledger.fell[r.server, r.epoch] = r.at
            case records.Struck() as r:
                ledger.faults.append(r)
            case records.Mark() as r:
                ledger.marks.append(r)
            case records.Held() as r:
                ledger.held.append(r)
            case records.Rude() as r:
                ledger.rude.append(r)
            case records.Sample() as r:
                ledger.samples.setdefault(r.process, []).append(r)
            case records.Lateness() as r:
                ledger.late.setdefault(r.process, []).append(r)
    for r in sorted(asked, key=lambda r: r.sent):  # a request written once more goes by its last writing
        t = ledger.tries.setdefault(r.id, Try(r))
        t.asked = r
    missing: Counter[str] = Counter()
    for a in sorted(answered, key=lambda a: a.at):
        if (t := ledger.tries.get(a.id)) is None:  # type: ignore[assignment]
            missing["answers to tries that are not in the ledger"] += 1
            continue
        t.answers += a.end == "answer"
        t.end = t.end or a
    for found in runs.values():
        found.sort(key=lambda run: (run.last, run.server))
    for r in sorted(later, key=lambda r: r.at):
        _put(r, runs.get(r.id, []), missing)
    for id, found in runs.items():
        if id in ledger.tries:
            ledger.tries[id].runs = found
        else:
            ledger.strangers += found
    for t in sorted(ledger.tries.values(), key=lambda t: (t.asked.number, t.asked.due)):
        ledger.jobs.setdefault(t.asked.origin, []).append(t)
    ledger.died.sort(key=lambda r: r.at)
    ledger.faults.sort(key=lambda r: r.at)
    ledger.marks.sort(key=lambda r: r.at)
    ledger.rude.sort(key=lambda r: r.at)
    for told in ledger.told.values():
        told.sort(key=lambda r: r.at)
    for samples in ledger.samples.values():
        samples.sort(key=lambda r: r.at)
    for late in ledger.late.values():
        late.sort(key=lambda r: r.at)
    _bounds(ledger)
    open_ends = sum(t.end is None for t in ledger.tries.values())
    if open_ends:
        missing["tries whose end is not in the ledger"] = open_ends
    ledger.gaps += [f"{count} {what}" for what, count in sorted(missing.items())]
    return ledger


def _put(r: records.Began | records.Ended, runs: list[Run], missing: Counter[str]) -> None:
    fits = [run for run in runs if run.server == r.server and run.epoch == r.epoch]
    if not fits:
        missing["begins or ends of runs that no real server has taken"] += 1
        return
    run = next((run for run in reversed(fits) if run.last <= r.at + NEAR_S), fits[0])
    if isinstance(r, records.Began):
        run.began = r.at if run.began is None else run.began
    elif run.ended is None:
        run.ended, run.how, run.result = r.at, r.how, r.result
    elif r.how == "done" and not run.result:
        run.result = r.result  # it was given up and yet went on to its end: that body is real too


def _bounds(ledger: Ledger) -> None:
    marks = {m.name: m.at for m in ledger.marks}
    dues = [t.asked.due for t in ledger.tries.values()]
    ends = [t.end.at for t in ledger.tries.values() if t.end]
    first = min((m.at for m in ledger.marks if ":" not in m.name), default=min(dues, default=0.0))
    ledger.first = marks.get("run:start", first)
    ledger.last = marks.get("run:end", max([ledger.first, *dues, *ends]))
    if "run:end" not in marks:
        ledger.gaps.append("the run's end is not in the ledger")
    if all(":" in name for name in marks):
        ledger.gaps.append("no phase is marked: all of the run counts")


def _torn(path: Path) -> int:
    """Bytes at a file's end that are no whole record."""
    size = path.stat().st_size
    if not size:
        return 0
    at = 0
    with open(path, "rb") as file, mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ) as data:
        while at + 4 <= size:
            step = 4 + int.from_bytes(data[at : at + 4], "big")
            if at + step > size:
                break
            at += step
    return size - at
