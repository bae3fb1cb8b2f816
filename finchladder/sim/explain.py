"""Tells a failing run as a story, with the lines of the program that ran as the rule was broken.

The run is played twice: first to find the turn of the dispatcher's loop that did it (the last one in which it
wrote something about the request, else the last before the violation), then with that turn traced.
"""

import linecache
import sys
from collections.abc import Iterator
from pathlib import Path
from types import FrameType
from typing import Any, NamedTuple

from finchladder.sim import trace
from finchladder.sim.network import End
from finchladder.sim.plan import Fault, Plan
from finchladder.sim.process import Process
from finchladder.sim.run import Run, Seen, Violation

ROOMS = tuple(str(trace.PACKAGE / room) for room in ("core", "config", "features", "net"))
MOST_LINES = 60  # of code, and of the story's further parts
ABOUT = {
    "answer": "Every request that a dispatcher took gets one final answer in its time.",
    "once": "What must not run twice is not sent twice, nor refused once it may have run.",
    "drain": "Nothing new goes to a real server that the dispatcher was told to drain or to be gone.",
    "cold": "A real server that has just started is not sent more than it can take.",
    "liveness": "Once faults are over, all is served again.",
    "inner": "What must hold inside a dispatcher.",
}
TEXTS = {
    "start": "{node} starts, with {servers} real servers in its last list",
    "admitted": "the front finds {node} healthy",
    "watch": "{node} watches the list from version {index} on",
    "asked": "a client asks {node}: {id}, and waits {patience} s",
    "answered": "{id} ends at its client: {end} {status}",
    "taken": "{server} gets {id}: {verdict}",
    "began": "{server} begins {id}",
    "ended": "{server} is through with {id}: {how}",
    "told": "{server} tells {node} of {id}: {state}",
    "untold": "{server} gives up telling of {id}: {state}",
    "given up": "{server} is told that nobody wants {id} any more (known there: {known})",
    "crossed": "{node} closes before it has read {id}, which is sent once more",
    "born": "{server} starts (cold: {cold})",
    "died": "{server}: {why}",
    "fault": "FAULT {number}: {kind} strikes {target}",
    "faults over": "all faults are taken back",
    "term": "{node} gets SIGTERM",
    "exit": "{node} has ended",
    "rude": "a rude client ({kind}) connects to {node}",
    "log": "{node} logs {level}: {text}",
    "violation": "VIOLATION {rule}: {kind}: {text}",
}


class Entered(NamedTuple):
    """A function of the program that was entered, from which line."""

    depth: int
    file: str
    line: int
    function: str
    called_file: str
    called_line: int


class Found(NamedTuple):
    violation: Violation
    seen: list[Seen]
    node: str
    turn: int  # of that process's loop, over all its starts; 0: none


class _Watch:
    """Counts the turns of each process, and notes those in which it wrote something about an id."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.turns: dict[str, int] = dict.fromkeys(run.processes, 0)
        self.wrote: dict[tuple[str, str], int] = {}
        run.on_turn = self.turned
        run.net.on_write = self.wrote_bytes

    def turned(self, process: Process) -> None:
        self.turns[process.name] += 1

    def wrote_bytes(self, end: End, data: bytes) -> None:
        if end.host not in self.turns:
            return
        for id in self.run.clients.known:
            if id.encode() in data:
                self.wrote[end.host, id] = self.turns[end.host] + 1


def find(plan: Plan) -> Found | None:
    """None: the plan breaks nothing."""
    seen: list[Seen] = []
    run = Run(plan, seen.append)
    watch = _Watch(run)
    violation = run.play().violation
    if violation is None:
        return None
    node = violation.node or _node_of(violation, seen)
    turn = watch.wrote.get((node, violation.id), watch.turns.get(node, 0))
    return Found(violation, seen, node, turn)


def _node_of(v: Violation, seen: list[Seen]) -> str:
    about = [s.fields["node"] for s in seen if s.fields.get("id") == v.id and "node" in s.fields]
    return str(about[-1]) if about and v.id else ""


def path(plan: Plan, node: str, turn: int) -> list[Entered]:
    """The functions of the program that were entered in that turn."""
    entered: list[Entered] = []
    depth = 0

    def tracer(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal depth
        code = frame.f_code
        if event == "call" and code.co_filename.startswith(ROOMS) and "<locals>.<" not in code.co_qualname:
            caller = frame.f_back
            while caller is not None and not caller.f_code.co_filename.startswith(ROOMS):
                caller = caller.f_back
            depth += 1
            entered.append(
                Entered(
                    depth,
                    code.co_filename,
                    frame.f_lineno,
                    code.co_qualname,
                    caller.f_code.co_filename if caller is not None else "",
                    caller.f_lineno if caller is not None else 0,
                )
            )
            return returned
        return None

    def returned(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal depth
        if event == "return":
            depth -= 1
        return returned

    run = Run(plan)
    watch = _Watch(run)

    def before(process: Process) -> None:
        if process.name == node and watch.turns[node] == turn - 1:
            sys.settrace(tracer)

    def after(process: Process) -> None:
        sys.settrace(None)
        watch.turned(process)

    run.before_turn, run.on_turn = before, after
    try:
        run.play()
    finally:
        sys.settrace(None)
    return entered


def code(entered: list[Entered]) -> Iterator[str]:
    """The calls as a tree, each with the line that made it."""
    for e in entered[-MOST_LINES:]:
        name = Path(e.called_file or e.file).relative_to(trace.PACKAGE.parent)
        number = e.called_line or e.line
        text = linecache.getline(e.called_file or e.file, number).strip()
        yield f"  {name}:{number}".ljust(40) + "  " * min(e.depth, 12) + f"{e.function}  <-  {text}"


def tell(seen: Seen) -> str:
    fields = {"status": "", "try": "", **seen.fields}
    if seen.what == "listed":
        states = ", ".join(f"{k} {v}" for k, v in seen.fields.items() if k != "node")
        return f"{seen.fields['node']} is told of the list: {states or 'nothing'}"
    text = TEXTS.get(seen.what, f"{seen.what} {seen.fields}").format(**fields).rstrip()
    again = f" (try {fields['try']})" if fields["try"] else ""
    return text + again


def concerned(found: Found) -> list[Seen]:
    """What the story is about: faults, the request, the process and the real servers that it met."""
    v = found.violation
    ids = {v.id} if v.id else set()
    servers = {v.server} if v.server else set()
    servers |= {s.fields["server"] for s in found.seen if s.fields.get("id") in ids and "server" in s.fields}
    lasting = {"fault", "faults over", "term", "exit", "start", "violation", "log"}

    def keeps(s: Seen) -> bool:
        if s.what in lasting or not (v.id or v.server):
            return True
        if s.what in ("born", "died"):
            return s.fields.get("server") in servers
        if s.what == "listed":
            return s.fields.get("node") == found.node
        return s.fields.get("id") in ids

    return [s for s in found.seen if keeps(s)]


def world(plan: Plan) -> Iterator[str]:
    e, w = plan.experiment, plan.world
    pools = ", ".join(
        f"{p.count} of {p.cores} cores, queue {p.queue}, cold for {p.cold_for_s:g} s" for p in e.pool
    )
    classes = ", ".join(f"{c.name} ({c.effect}, aim {c.aim_s:g} s)" for c in e.job_class)
    zones = ", ".join(e.zones)
    yield f"seed {plan.seed}: {e.dispatchers} dispatchers in zones {zones}; real servers: {pools}"
    yield f"classes: {classes}; settings: {e.settings}"
    yield (
        f"network: {w.latency_s * 1000:.2f} ms one way, jitter {w.jitter:g}, writes cut {w.cut}, buffers of"
        f" {w.buffer} bytes; a process runs up to {w.pace_s * 1000:g} ms after it is ready"
    )
    if w.options:
        yield f"operator's file: {' '.join(w.options.split())}"


def when(f: Fault) -> str:
    if f.on is None:
        return f"at {f.at:.3f} s"
    return f"{f.after_s * 1000:g} ms after moment {f.on!r} number {f.nth} from {f.at:g} s on"


def explain(plan: Plan) -> Iterator[str]:
    """The whole story, line by line."""
    yield from world(plan)
    found = find(plan)
    if found is None:
        yield "Nothing is broken in this run."
        return
    v = found.violation
    yield ""
    yield f"{v.name}: {v.text}"
    yield f"({ABOUT.get(v.rule, '')} Step {v.step}, {v.at:.6f} s after the run's begin.)"
    yield ""
    yield f"{len(plan.jobs)} jobs; faults that are planned:"
    for f in plan.faults:
        yield f"  {f.number}: {f.kind} {f.target or 'whom the moment is about'}, {when(f)}, for {f.for_s:g} s"
    yield ""
    yield "What happened:"
    for seen in concerned(found):
        yield f"  {seen.at:10.6f}  {tell(seen)}"
    if found.turn:
        yield ""
        yield f"What {found.node} ran in the turn of its loop that did it (number {found.turn}):"
        yield from code(path(plan, found.node, found.turn))
