"""Explains a failing run: its relevant events, and the program's code that ran when the rule was violated.

The run is executed twice: first to find the loop turn of the dispatcher that caused the violation (the last
one in which it wrote data about the request, else the last before the violation), then with that turn traced.
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

TRACED_PATHS = tuple(str(trace.PACKAGE / name) for name in ("core", "config", "features", "net"))
MOST_LINES = 60  # function calls shown
ABOUT = {
    "answer": "Every request that a dispatcher accepted gets one final answer in time.",
    "once": "A job that must not run twice is not sent twice, nor rejected after it may have run.",
    "drain": "No new job goes to a real server that the endpoint list shows as draining or gone.",
    "cold": "A real server that has just started does not get more load than it can handle.",
    "liveness": "After the last fault, all jobs are served again.",
    "inner": "The internal state of a dispatcher must be consistent.",
}
TEXTS = {
    "start": "{node} starts with {servers} real servers in its last endpoint list",
    "admitted": "the front layer admits {node} after a health check",
    "watch": "{node} watches the endpoint list from index {index}",
    "asked": "a client sends {id} to {node} and waits up to {patience} s",
    "answered": "{id} ends at its client: {end} {status}",
    "taken": "{server} gets {id}: {verdict}",
    "began": "{server} starts {id}",
    "ended": "{server} ends {id}: {how}",
    "told": "{server} sends {node} a callback for {id}: {state}",
    "untold": "{server} drops the callback for {id} after its last attempt: {state}",
    "given up": "{server} gets a cancellation of {id} (job known: {known})",
    "crossed": "{node} closes before it reads {id}, which is sent again",
    "born": "{server} starts (cold: {cold})",
    "died": "{server}: {why}",
    "fault": "FAULT {number}: {kind} at {target}",
    "faults over": "all faults are reverted",
    "term": "{node} gets SIGTERM",
    "exit": "{node} has exited",
    "rude": "a misbehaving client ({kind}) connects to {node}",
    "log": "{node} logs {level}: {text}",
    "violation": "VIOLATION {rule}: {kind}: {text}",
}


class Entered(NamedTuple):
    """A function of the program that was entered, and the line that called it."""

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
    turn: int  # number of the loop turn of this process over all its starts; 0: none


class _Watch:
    """Counts the turns of each process, and records the last turn in which it wrote each request id."""

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
        for id in self.run.clients.requests_by_id:
            if id.encode() in data:
                self.wrote[end.host, id] = self.turns[end.host] + 1


def find(plan: Plan) -> Found | None:
    """Runs the plan and locates its violation; returns None if there is none."""
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
    """Returns the functions of the program that were entered in one loop turn."""
    entered: list[Entered] = []
    depth = 0

    def tracer(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal depth
        code = frame.f_code
        if (
            event == "call"
            and code.co_filename.startswith(TRACED_PATHS)
            and "<locals>.<" not in code.co_qualname
        ):
            caller = frame.f_back
            while caller is not None and not caller.f_code.co_filename.startswith(TRACED_PATHS):
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
    """Formats the calls as a tree, each with the calling line."""
    for e in entered[-MOST_LINES:]:
        name = Path(e.called_file or e.file).relative_to(trace.PACKAGE.parent)
        number = e.called_line or e.line
        text = linecache.getline(e.called_file or e.file, number).strip()
        yield f"  {name}:{number}".ljust(40) + "  " * min(e.depth, 12) + f"{e.function}  <-  {text}"


def tell(seen: Seen) -> str:
    fields = {"status": "", "try": "", **seen.fields}
    if seen.what == "listed":
        states = ", ".join(f"{k} {v}" for k, v in seen.fields.items() if k != "node")
        return f"{seen.fields['node']} receives the endpoint list: {states or 'no states'}"
    text = TEXTS.get(seen.what, f"{seen.what} {seen.fields}").format(**fields).rstrip()
    again = f" (try {fields['try']})" if fields["try"] else ""
    return text + again


def concerned(found: Found) -> list[Seen]:
    """Selects the events about faults, the request, the process and the real servers involved."""
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
    """Yields the lines of the explanation."""
    yield from world(plan)
    found = find(plan)
    if found is None:
        yield "This run violates no rule."
        return
    v = found.violation
    yield ""
    yield f"{v.name}: {v.text}"
    yield f"({ABOUT.get(v.rule, '')} Step {v.step}, {v.at:.6f} s after the run's begin.)"
    yield ""
    yield f"{len(plan.jobs)} jobs; planned faults:"
    for f in plan.faults:
        yield f"  {f.number}: {f.kind} {f.target or 'target of the moment'}, {when(f)}, for {f.for_s:g} s"
    yield ""
    yield "What happened:"
    for seen in concerned(found):
        yield f"  {seen.at:10.6f}  {tell(seen)}"
    if found.turn:
        yield ""
        yield f"Code that {found.node} ran in loop turn {found.turn}, which caused the violation:"
        yield from code(path(plan, found.node, found.turn))
