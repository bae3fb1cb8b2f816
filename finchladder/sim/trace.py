"""Traces: JSON lines with a run's whole plan, its observed events, and its outcome.

| line | contents |
| --- | --- |
| first | `trace` (the format's version), `code` (a digest of the program), `seed`, and the plan's `World` |
| `{"type": "job", ...}`, `{"type": "fault", ...}` | the rest of the plan, encoded as in plan.py |
| `{"t": .., "see": .., ...}` | an event, in order; `t` in seconds from the start of the run |
| last | `end`: the violation or null, and the digest of all steps |

The same plan under the same code gives the same bytes.
"""

from collections.abc import Iterable
from hashlib import blake2b
from pathlib import Path

import msgspec

from finchladder.lab.experiment import Experiment
from finchladder.sim.plan import Fault, Job, Plan, World
from finchladder.sim.run import Outcome, Run, Seen, Violation

VERSION = 1
PACKAGE = Path(__file__).resolve().parents[1]
DIGEST_PATHS = ("core", "config", "features", "net", "sim", "lab/models", "lab/judge.py", "lab/ledger.py")
_encode = msgspec.json.Encoder(order="deterministic").encode


class Header(msgspec.Struct, omit_defaults=True):
    trace: int
    code: str
    seed: int
    experiment: Experiment
    world: World
    calm_at: float
    ends: bool = True


class End(msgspec.Struct):
    violation: Violation | None
    steps: int
    virtual_s: float
    digest: str


class TraceError(ValueError):
    """Raised for an invalid trace file; the message gives the reason in one line."""


def code_digest() -> str:
    """Hashes the source files that determine a run."""
    digest = blake2b(digest_size=6)
    for name in DIGEST_PATHS:
        path = PACKAGE / name
        for file in sorted(path.rglob("*.py")) if path.is_dir() else [path]:
            digest.update(file.relative_to(PACKAGE).as_posix().encode() + b"\0" + file.read_bytes())
    return digest.hexdigest()


def line_of(seen: Seen) -> bytes:
    return _encode({"t": seen.at, "see": seen.what, **seen.fields})


def record(plan: Plan) -> tuple[list[bytes], Outcome]:
    """Runs the plan; returns the lines of its trace and the outcome."""
    lines = head_of(plan)
    outcome = Run(plan, lambda seen: lines.append(line_of(seen))).play()
    lines.append(end_of(outcome))
    return lines, outcome


def head_of(plan: Plan) -> list[bytes]:
    header = Header(VERSION, code_digest(), plan.seed, plan.experiment, plan.world, plan.calm_at, plan.ends)
    return [_encode(header), *(_encode(job) for job in plan.jobs), *(_encode(f) for f in plan.faults)]


def end_of(o: Outcome) -> bytes:
    return _encode({"end": End(o.violation, o.steps, o.virtual_s, o.digest)})


def write(path: Path, lines: Iterable[bytes]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(b"".join(line + b"\n" for line in lines))


def read(path: Path) -> tuple[Plan, list[bytes]]:
    """Returns the plan and all lines; raises OSError or TraceError for an unusable file."""
    lines = path.read_bytes().splitlines()
    try:
        if not lines:
            raise TraceError("the trace file is empty")
        header = msgspec.json.decode(lines[0], type=Header)
        if header.trace != VERSION:
            raise TraceError(
                f"trace version {header.trace} is not supported; this program reads version {VERSION}"
            )
        plan = Plan(header.seed, header.experiment, header.world, calm_at=header.calm_at, ends=header.ends)
        for line in lines[1:]:
            if line.startswith(b'{"type":"job"'):
                plan.jobs.append(msgspec.json.decode(line, type=Job))
            elif line.startswith(b'{"type":"fault"'):
                plan.faults.append(msgspec.json.decode(line, type=Fault))
    except (msgspec.MsgspecError, TraceError) as e:
        raise TraceError(f"{path}: {e}") from None
    return plan, lines


def end_in(lines: list[bytes]) -> End | None:
    """Returns the recorded outcome of a trace, or None if its last line is missing."""
    try:
        return msgspec.convert(msgspec.json.decode(lines[-1])["end"], End)
    except (msgspec.MsgspecError, KeyError, IndexError, TypeError):
        return None


def first_difference(before: list[bytes], now: list[bytes]) -> tuple[int, bytes, bytes] | None:
    """Returns the number and both versions of the first line that differs, b"" for a missing one.

    The header is not compared, as it holds the code's digest.
    """
    for number in range(max(len(before), len(now))):
        a = before[number] if number < len(before) else b""
        b = now[number] if number < len(now) else b""
        if number and a != b:
            return number + 1, a, b
    return None
