"""Coverage of a search: how often each kind of fault was injected at each stage of an attempt."""

from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from finchladder.core.dispatch.attempt_stages import Stage
from finchladder.core.dispatch.records import Job
from finchladder.sim.plan import KINDS

if TYPE_CHECKING:
    from finchladder.net.flows import Attempt
    from finchladder.sim.run import Run

NOTHING, HELD, STARTED, LEAVING = "no flow", "held", "started", "leaving"
COLUMNS = (NOTHING, HELD, Stage.WAITING.value, Stage.WRITTEN.value, Stage.ACCEPTED.value, STARTED, LEAVING)


class Coverage:
    """Counts the stages of the affected attempts at the affected dispatchers when a fault is injected.

    `held`: a flow without a pending attempt. `started`: accepted, and its start was reported. `leaving`:
    the dispatcher has received SIGTERM.
    """

    def __init__(self, run: "Run") -> None:
        self.run = run
        self.counts: Counter[tuple[str, str]] = Counter()

    def count_fault(self, kind: str, target: str) -> None:
        found: Counter[str] = Counter()
        names = target.replace(">", "~").split("~")
        for p in self.run.processes.values():
            if p.node is None or p.state == "down":
                continue
            if p.name not in names and any(n in self.run.processes for n in names):
                continue
            servers = [n for n in names if n in self.run.servers]
            found[LEAVING] += p.state == "leaving"
            for flow in p.node.flows.by_id.values():
                if target.startswith("j") and flow.id != target:
                    continue
                out = [s for s in flow.attempts if not s.ended and (not servers or s.worker in servers)]
                for s in out:
                    found[self.stage(s, p.node.dispatcher.jobs)] += 1
                found[HELD] += not out and not servers and flow.answer is None
        if not any(found[c] for c in COLUMNS if c != LEAVING):
            found[NOTHING] += 1
        for column, count in found.items():
            self.counts[kind, column] += count

    def stage(self, s: "Attempt", jobs: dict[str, Job]) -> str:
        job = jobs.get(s.flow.id)
        attempts = job.attempts[s.number :] if job is not None else []
        if s.stage is Stage.ACCEPTED and attempts and attempts[0].started_at is not None:
            return STARTED
        return str(s.stage.value)


def table(counts: Counter[tuple[str, str]], kinds: Iterable[str] = KINDS) -> str:
    """Formats one row for each kind of fault; a dot marks a combination that never occurred."""
    width = max(len(k) for k in kinds)
    lines = [" " * width + "".join(f"{c:>10}" for c in COLUMNS)]
    for kind in kinds:
        cells = "".join(f"{counts[kind, c] or '.':>10}" for c in COLUMNS)
        lines.append(f"{kind:<{width}}{cells}")
    return "\n".join(lines)
