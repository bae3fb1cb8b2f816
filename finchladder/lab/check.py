"""From a file of an experiment to what is played: overrides, matrix, repeats, what one field can't know.

`Unusable` is one line that names the file and the place in it (`load.phase.0.rate`). Nothing is started
before all variants of a file have passed.
"""

import itertools
import os
import re
import resource
import shutil
import subprocess
import tomllib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from finchladder.lab.experiment import Experiment, Fault, Phase, Pool
from finchladder.lab.schedule import Schedule

REPOSITORY = Path(__file__).resolve().parents[2]
MOST_RUNS = 1000  # variants times repeats of one file
SPARE_FDS = 64  # descriptors of a process beside its connections: files, pipes, the loop's own
KEPT_EACH = 24  # connections that a dispatcher may hold to one real server
LAB_MB, SERVER_MB, CONNECTION_MB = 64, 0.05, 0.02  # what a process of the lab takes, and what each thing adds
# what a dispatcher takes, measured: 200 of them on 60 real servers under load, and what each real server adds
DISPATCHER_MB, LISTED_MB = 30, 0.06

DISPATCHER_FAULTS = {"kill", "restart", "roll", "pause"}
SERVER_FAULTS = {"kill", "pause", "crash", "drain", "slow", "errors", "swallow"}
DISCOVERY_FAULTS = {"discovery_down", "discovery_stale", "discovery_move", "vanish"}
ETCD_FAULTS = {"etcd_stall", "etcd_cut", "etcd_lag", "etcd_restore"}
LINK_FAULTS = {"cut", "reset_before", "reset_after", "black_hole", "half_open", "refuse"}
PEER_FAULTS = {"peer_cut", "peer_stall", "peer_loss", "peer_late", "peer_double", "peer_shuffle"}
LOAD_FAULTS = {"burst", "scan", "hot_key"}


class Unusable(ValueError):
    """The message is one line: file, place, what is wrong."""


class Variant(NamedTuple):
    """One run that is to be played. `settings`: what of the matrix it stands for, by dotted name."""

    label: str  # a folder's name; empty where the file has one run only
    settings: dict[str, object]
    repeat: int
    experiment: Experiment
    folder: Path  # files that the experiment names are looked for here


def dispatcher_names(e: Experiment) -> list[str]:
    return [f"n{i}" for i in range(1, e.dispatchers + 1)]


class Placed(NamedTuple):
    name: str
    pool: int
    zone: str


def place_servers(e: Experiment) -> list[Placed]:
    """All real servers: w0001, w0002.. in the pools' order; each pool goes through its zones in turn."""
    placed: list[Placed] = []
    for index, pool in enumerate(e.pool):
        zones = pool.zones or e.zones
        for n in range(pool.count):
            placed.append(Placed(f"w{len(placed) + 1:04d}", index, zones[n % len(zones)]))
    return placed


# --- from text to experiments


def read_value(text: str) -> object:
    """A value as TOML has it; what is no TOML is a string, so that `name=calm` needs no quotes."""
    try:
        return tomllib.loads(f"x = {text}")["x"]
    except tomllib.TOMLDecodeError:
        return text


def read_sets(sets: Iterable[str]) -> dict[str, object]:
    found: dict[str, object] = {}
    for text in sets:
        name, equals, value = text.partition("=")
        if not equals or not name.strip():
            raise Unusable(f"--set {text}: it takes KEY=VALUE")
        found[name.strip()] = read_value(value)
    return found


def override(tree: Any, name: str, value: object, makes: bool = True) -> None:
    """Sets what a dotted name points at, in place; numbers are places in lists.

    `makes`: tables on the way that are not there are made. KeyError: it points at nothing.
    """
    parts = name.split(".")
    if parts[0] == "settings" and len(parts) > 2:  # the platform's settings are held by dotted name
        parts = ["settings", ".".join(parts[1:])]
    for n, part in enumerate(parts):
        last = n == len(parts) - 1
        if isinstance(tree, list):
            if not part.isdigit() or int(part) >= len(tree):
                raise KeyError(f"{name}: there is no {'.'.join(parts[: n + 1])}")
            if last:
                tree[int(part)] = value
            else:
                tree = tree[int(part)]
        elif isinstance(tree, dict):
            if last:
                tree[part] = value
            else:
                if part not in tree and not makes:
                    raise KeyError(f"{name}: there is no {'.'.join(parts[: n + 1])}")
                tree = tree.setdefault(part, {})
        else:
            raise KeyError(f"{name}: {'.'.join(parts[:n])} is no table")


def _flatten(tables: Mapping[str, object], before: str = "") -> Iterator[tuple[str, object]]:
    for name, value in tables.items():
        if isinstance(value, dict):
            yield from _flatten(value, f"{before}{name}.")
        else:
            yield before + name, value


def _convert(tree: object, file: str) -> Experiment:
    try:
        return msgspec.convert(tree, Experiment)
    except msgspec.ValidationError as e:
        text, _, place = str(e).partition(" - at `")
        place = re.sub(r"\[(\d+)\]", r".\1", place.rstrip("`").removeprefix("$").removeprefix("."))
        place = re.sub(r"\[\.\.\.\]", ".*", place)
        text = re.sub(r"^Object contains unknown field `(.*)`$", r"unknown key \1", text)
        text = re.sub(r"^Object missing required field `(.*)`$", r"\1 is missing", text)
        raise Unusable(f"{file}: {place or 'top'}: {text}") from None


def _label(settings: Mapping[str, object]) -> str:
    """`load.phase.0.rate=100` as `rate-100`; the whole name where two axes end alike."""
    short = [name.rpartition(".")[2] for name in settings]
    names = short if len(set(short)) == len(short) else list(settings)
    shown = ["-".join(map(str, v)) or "default" if isinstance(v, list) else v for v in settings.values()]
    text = "_".join(f"{n}-{v}" for n, v in zip(names, shown, strict=True))
    return re.sub(r"[^A-Za-z0-9._-]+", "-", text)[:100]


def load(
    path: Path,
    sets: Iterable[str] = (),
    seed: int | None = None,
    repeats: int | None = None,
    processes: bool = True,
) -> list[Variant]:
    """All runs of a file, checked; the variants of the matrix in turn, and so again for each repeat.

    Repeat k is played with the file's seed plus k: variants of one repeat share their seed, and so are pairs.
    `processes` False: it is not asked whether this machine could start them.
    """
    file = str(path)
    try:
        tree = tomllib.loads(path.read_text("utf-8"))
    except OSError as e:
        raise Unusable(f"{file}: {e.strerror}") from None
    except ValueError as e:  # TOML's errors, which name line and column, and bytes that are no UTF-8
        raise Unusable(f"{file}: {e}") from None
    if isinstance(tree.get("settings"), dict):
        tree["settings"] = dict(_flatten(tree["settings"]))
    given = read_sets(sets)
    matrix = tree.pop("matrix", {})
    if not isinstance(matrix, dict) or not all(isinstance(v, list) and v for v in matrix.values()):
        raise Unusable(f"{file}: matrix: each dotted name takes a list of values that is not empty")
    axes = [(name, values) for name, values in matrix.items() if name not in given]
    found: list[tuple[dict[str, object], Experiment]] = []
    for values in itertools.product(*(v for _, v in axes)):
        chosen = dict(zip((name for name, _ in axes), values, strict=True))
        own = msgspec.json.decode(msgspec.json.encode(tree))  # a copy of its own
        for name, value in {**given, **chosen}.items():
            try:
                override(own, name, value)
            except KeyError as e:
                raise Unusable(f"{file}: {e.args[0]}") from None
        ex = _convert(own, file)
        ex = msgspec.structs.replace(
            ex, seed=ex.seed if seed is None else seed, repeats=ex.repeats if repeats is None else repeats
        )
        _found_from_anywhere(ex, path.parent)
        if problem := next(findings(ex, processes), None):
            raise Unusable(f"{file}: {problem}")
        found.append((chosen, ex))
    runs = max(ex.repeats for _, ex in found)
    if runs * len(found) > MOST_RUNS:
        raise Unusable(f"{file}: matrix: {runs * len(found)} runs, and {MOST_RUNS} are the most")
    variants = []
    for repeat in range(runs):
        for chosen, ex in found:
            parts = [_label(chosen)] if chosen else []
            parts += [f"repeat-{repeat + 1}"] if runs > 1 else []
            own_seed = msgspec.structs.replace(ex, seed=ex.seed + repeat)
            variants.append(Variant("_".join(parts), chosen, repeat, own_seed, path.parent))
    return variants


def _found_from_anywhere(e: Experiment, folder: Path) -> None:
    """The run's processes read these files from a folder of their own."""
    if e.program.config:
        e.program.config = str((folder / e.program.config).resolve())
    for phase in e.load.phase:
        if phase.trace:
            phase.trace = str((folder / phase.trace).resolve())


# --- what one field can't know: `place: what is wrong`


def findings(e: Experiment, processes: bool = True) -> Iterator[str]:
    yield from _ranges(e, "")
    yield from _deployment(e)
    yield from _classes(e)
    yield from _load(e)
    for n, fault in enumerate(e.fault):
        for text in _fault(e, fault):
            yield f"fault.{n}.{text}"
    yield from _program(e)
    yield from _settings(e)
    if processes:
        yield from _machine(e)
    yield from _schedule(e)


def _ranges(part: msgspec.Struct, place: str) -> Iterator[str]:
    """Every pair of numbers is [least, most]; the types leave both open below."""
    for name, field in ((f.encode_name, f.name) for f in msgspec.structs.fields(part)):
        value, at = getattr(part, field), f"{place}{name}"
        if isinstance(value, msgspec.Struct):
            yield from _ranges(value, f"{at}.")
        elif isinstance(value, list):
            for n, item in enumerate(value):
                if isinstance(item, msgspec.Struct):
                    yield from _ranges(item, f"{at}.{n}.")
        elif isinstance(value, tuple) and all(isinstance(v, float | int) for v in value):
            if not 0 <= value[0] <= value[1] < float("inf"):
                yield f"{at}: {list(value)} is no range [least, most] of numbers from 0 up"
        elif isinstance(value, float) and not 0 <= value < float("inf"):
            yield f"{at}: {value} is not a number from 0 up"


def _twice(names: Sequence[str]) -> str | None:
    return next((n for i, n in enumerate(names) if n in names[:i]), None)


def _whole(shares: Iterable[float]) -> bool:
    return abs(sum(shares) - 1) < 1e-6


def _least(span: tuple[float, float] | float) -> float:
    return span[0] if isinstance(span, tuple) else span


def _most(span: tuple[float, float] | float) -> float:
    return span[1] if isinstance(span, tuple) else span


def _deployment(e: Experiment) -> Iterator[str]:
    if name := _twice(e.zones):
        yield f"zones: {name} stands there twice"
    for zone in e.dispatcher_zones:
        if zone not in e.zones:
            yield f"dispatcher_zones: there is no zone {zone}; there are {', '.join(e.zones)}"
    if not e.pool and not e.program.null:
        yield "pool: there is none, and only the null target does without"
    for n, pool in enumerate(e.pool):
        for zone in pool.zones:
            if zone not in e.zones:
                yield f"pool.{n}.zones: there is no zone {zone}; there are {', '.join(e.zones)}"
        if _least(pool.speed) <= 0:
            yield f"pool.{n}.speed: must be above 0"
        if pool.cold_from <= 0:
            yield f"pool.{n}.cold_from: must be above 0, or it would never warm up by work"


def _runs(e: Experiment, kind: str) -> list[Pool]:
    return [p for p in e.pool if not kind or p.kind == kind]


def _classes(e: Experiment) -> Iterator[str]:
    names = [c.name for c in e.job_class]
    if not names:
        yield "class: there is none"
        return
    if name := _twice(names):
        yield f"class: {name} stands there twice"
    if not _whole(c.share for c in e.job_class):
        yield f"class: the shares add up to {sum(c.share for c in e.job_class):g}, not to 1"
    kinds = sorted({p.kind for p in e.pool})
    for n, c in enumerate(e.job_class):
        if c.kind and c.kind not in kinds:
            yield f"class.{n}.kind: there is no kind {c.kind}; there are {', '.join(kinds) or 'none'}"
        if c.aim_s > c.deadline_s:
            yield f"class.{n}.aim_s: {c.aim_s:g} lies beyond the deadline of {c.deadline_s:g}"
        if c.patience_s > c.deadline_s:
            yield f"class.{n}.patience_s: {c.patience_s:g} lies beyond the deadline of {c.deadline_s:g}"
        if not 1 <= len(c.slots) <= 4 or not _whole(c.slots):
            yield f"class.{n}.slots: shares of jobs that take 1, 2, 4, 8 slots: one to four that add up to 1"
        else:
            most = 2 ** max(i for i, share in enumerate(c.slots) if share > 0)
            pools = _runs(e, c.kind)
            if pools and max(p.memory for p in pools) < c.memory:
                yield f"class.{n}.memory: jobs that take {c.memory:g} units fit no real server"
            if pools and max(p.slots or p.cores for p in pools) < most:
                yield f"class.{n}.slots: jobs that take {most} slots fit no real server"


def _load(e: Experiment) -> Iterator[str]:
    if e.load.zone_shares and (len(e.load.zone_shares) != len(e.zones) or not _whole(e.load.zone_shares)):
        yield f"load.zone_shares: one for each of the {len(e.zones)} zones, and all add up to 1"
    names = [p.name for p in e.load.phase]
    if not names:
        yield "load.phase: there is none"
        return
    if name := _twice(names):
        yield f"load.phase: {name} stands there twice"
    if not any(p.counted for p in e.load.phase):
        yield "load.phase: none of them is counted, so there would be no figures"
    for n, phase in enumerate(e.load.phase):
        for text in _phase(e, phase):
            yield f"load.phase.{n}.{text}"


def _phase(e: Experiment, phase: Phase) -> Iterator[str]:
    classes = {c.name for c in e.job_class}
    if phase.law == "trace":
        if phase.rate or phase.in_flight or phase.to_rate is not None:
            yield "law: a trace has its own times: no rate, to_rate or in_flight beside it"
        if not phase.trace:
            yield 'trace: law = "trace" needs a file'
    elif phase.trace:
        yield 'trace: only with law = "trace"'
    elif phase.rate and phase.in_flight:
        yield "in_flight: either a rate (open loop) or requests in flight (closed loop), not both"
    elif not phase.rate and not phase.in_flight and not phase.to_rate and not e.load.connections:
        yield "rate: no load: neither rate nor in_flight nor load.connections says any"
    if phase.skip_s >= phase.for_s:
        yield f"skip_s: all of its {phase.for_s:g} s, so nothing of it would count"
    if phase.in_flight and phase.to_rate is not None:
        yield "to_rate: a closed loop has no rate"
    for name in phase.classes:
        if name not in classes:
            yield f"classes.{name}: no such class; there are {', '.join(sorted(classes))}"
    if phase.classes and not _whole(phase.classes.values()):
        yield f"classes: the shares add up to {sum(phase.classes.values()):g}, not to 1"


def _schedule(e: Experiment) -> Iterator[str]:
    try:
        Schedule(e, e.seed).check()
    except OSError as error:
        yield f"load.phase: {error.filename}: {error.strerror}"
    except ValueError as error:
        yield f"load.phase: {error}"


def _fault(e: Experiment, fault: Fault) -> Iterator[str]:
    whole = sum(p.for_s for p in e.load.phase)
    if fault.at_s is not None and fault.within_s is not None:
        yield "within_s: either at_s or within_s"
    if fault.at_s is not None and fault.count > 1:
        yield "count: more than one needs drawn times: within_s in place of at_s"
    if fault.at_s is not None and fault.at_s >= whole:
        yield f"at_s: {fault.at_s:g} s is past the load, which ends at {whole:g} s"
    if fault.within_s is not None and fault.within_s[1] > whole:
        yield f"within_s: {fault.within_s[1]:g} s is past the load, which ends at {whole:g} s"
    if _most(fault.share) > 1:
        yield "share: must lie between 0 and 1"
    if fault.kind in ("errors", "scan", "hot_key") and _most(fault.size) > 1:
        yield "size: a share, so it must lie between 0 and 1"
    if fault.kind in ("slow", "burst") and _least(fault.size) <= 0:
        yield "size: a factor, so it must be above 0"
    if fault.kind == "vanish" and _least(fault.share) <= 0:
        yield "share: how many entries are missing; must be above 0"
    if fault.kind in LINK_FAULTS and not e.network.on:
        yield f"kind: {fault.kind} needs the relays: network.on = true"
    if fault.kind in PEER_FAULTS and not e.network.peers:
        yield f"kind: {fault.kind} needs links between dispatchers: network.peers = true"
    if fault.kind in ("peer_loss", "peer_double", "peer_shuffle") and _most(fault.size) > 1:
        yield "size: a share, so it must lie between 0 and 1"
    if fault.kind in ETCD_FAULTS and not e.etcd.members:
        yield f"kind: {fault.kind} needs an etcd: etcd.members = 1 or more"
    if fault.job_class and fault.job_class not in {c.name for c in e.job_class}:
        yield f"job_class: there is no class {fault.job_class}"
    if fault.job_class and fault.kind != "errors":
        yield "job_class: only errors strike one class alone"
    if fault.kind == "cut" and fault.between is None:
        yield "between: cut needs the two zones"
    for zone in fault.between or ():
        if zone not in e.zones:
            yield f"between: there is no zone {zone}; there are {', '.join(e.zones)}"
    yield from _target(e, fault)


def numbers(text: str) -> tuple[int, int] | None:
    """The first and last of "A-B", both counted from 1; None: it is no such span."""
    a, dash, b = text.partition("-")
    if dash and a.isdecimal() and b.isdecimal() and 1 <= int(a) <= int(b) <= 1_000_000:
        return int(a), int(b)
    return None


def _target(e: Experiment, fault: Fault) -> Iterator[str]:
    group, colon, name = fault.target.partition(":")
    if fault.same_as:
        yield from _same(e, fault)
        return
    if fault.target in ("any", "all"):
        return
    if colon and group in ("dispatchers", "servers"):
        there = e.dispatchers if group == "dispatchers" else sum(p.count for p in e.pool)
        kinds_of = DISPATCHER_FAULTS | PEER_FAULTS if group == "dispatchers" else SERVER_FAULTS
        if fault.kind not in kinds_of:
            yield f"target: {fault.kind} strikes no {group}"
        elif (span := numbers(name)) is None or span[1] > there:
            yield f"target: {group}:{name} is no span A-B of 1 to {there}"
        return
    if fault.kind not in DISPATCHER_FAULTS | SERVER_FAULTS | LINK_FAULTS | PEER_FAULTS:
        yield f'target: {fault.kind} has none but "any"'
    elif colon and group == "zone":
        if name not in e.zones:
            yield f"target: there is no zone {name}; there are {', '.join(e.zones)}"
    elif colon and group == "kind":
        kinds = sorted({p.kind for p in e.pool})
        if fault.kind not in SERVER_FAULTS:
            yield f"target: {fault.kind} strikes no real server"
        elif name not in kinds:
            yield f"target: there is no kind {name}; there are {', '.join(kinds)}"
    elif fault.target in dispatcher_names(e):
        if fault.kind not in DISPATCHER_FAULTS | LINK_FAULTS | PEER_FAULTS:
            yield f"target: {fault.kind} strikes no dispatcher"
    elif any(s.name == fault.target for s in place_servers(e)):
        if fault.kind not in SERVER_FAULTS | LINK_FAULTS:
            yield f"target: {fault.kind} strikes no real server"
    else:
        last = f", w0001 to w{sum(p.count for p in e.pool):04d}" if e.pool else ""
        yield f"target: there is no {fault.target}; there are n1 to n{e.dispatchers}{last}"


def _same(e: Experiment, fault: Fault) -> Iterator[str]:
    like = [f for f in e.fault if f.label == fault.same_as]
    if fault.target != "any" or fault.share:
        yield "same_as: takes neither target nor share"
    elif len(like) != 1 or like[0].count > 1 or like[0] is fault:
        yield f"same_as: there must be one fault labelled {fault.same_as}, with a count of 1"
    elif like[0].same_as:
        yield f"same_as: {fault.same_as} is the same as another itself; name that one"
    else:
        for kinds in (DISPATCHER_FAULTS | PEER_FAULTS, SERVER_FAULTS):
            if fault.kind in kinds and like[0].kind in kinds:
                return
        yield f"same_as: {fault.kind} can't strike what {like[0].kind} did"


def _program(e: Experiment) -> Iterator[str]:
    p = e.program
    if sum([bool(p.command), bool(p.revision), p.null]) > 1:
        yield "program: only one of command, revision and null"
    if p.command and p.command[0] != "python" and shutil.which(p.command[0]) is None:
        yield f"program.command: {p.command[0]} is not there or can't be run"
    if p.revision and resolve(p.revision) is None:
        yield f"program.revision: this repository has no {p.revision}"
    if p.config and not Path(p.config).is_file():
        yield f"program.config: {p.config} is no file"
    if extra := sorted(set(p.cpus) - os.sched_getaffinity(0)):
        yield f"program.cpus: processor {extra[0]} is not there or not ours"
    if p.null and any(f.kind not in LOAD_FAULTS for f in e.fault):
        yield "fault: the null target has neither real servers nor discovery"


def resolve(revision: str) -> str | None:
    """The commit that a revision of this repository names."""
    command = ["git", "-C", str(REPOSITORY), "rev-parse", "--verify", "--quiet", f"{revision}^{{commit}}"]
    try:
        done = subprocess.run(command, capture_output=True, text=True, check=False)
    except OSError:
        return None
    return done.stdout.strip() or None


def _settings(e: Experiment) -> Iterator[str]:
    from finchladder.lab.settings import problem  # which needs this module's names

    if text := problem(e):
        yield text


def _machine(e: Experiment) -> Iterator[str]:
    """What the run needs at least, against what this machine gives to one process and to all."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    hard = 1 << 62 if hard == resource.RLIM_INFINITY else hard
    for place, need in needed_descriptors(e).items():
        if need > hard:
            yield f"{place}: a process would need {need} descriptors, and this machine gives {hard}"
    low, high = _ports()
    if e.load.connections > (high - low) * e.dispatchers:
        yield f"load.connections: {e.load.connections}, and {(high - low) * e.dispatchers} local ports"
    need_mb = needed_memory_mb(e)
    if (have := _available_mb()) is not None and need_mb > have:
        yield f"dispatchers: the run may take {need_mb} MB of memory, and {have} are available"


def needed_descriptors(e: Experiment) -> dict[str, int]:
    """The least that the largest process of each role must be able to open, by the key that decides it.

    Open loop is counted with what arrives in a second: answers that take longer need more.
    """
    servers = sum(p.count for p in e.pool)
    to_servers = min(servers * e.dispatchers * KEPT_EACH, e.dispatchers * e.program.sockets // 3)
    fleet = -(-(servers + to_servers) // e.fleet_processes)
    asked = 0.0
    for p in e.load.phase:
        factor = max([_most(f.size) for f in e.fault if f.kind == "burst"], default=1.0)
        open_loop = max(p.rate, p.to_rate or 0.0) * max(factor, 1.0)
        asked = max(asked, p.in_flight, min(open_loop, e.load.most_in_flight))
    load = -(-(max(e.load.connections, int(asked))) // e.load.processes)
    found = {
        "program.sockets": e.program.sockets,
        "fleet_processes": fleet + SPARE_FDS,
        "load.processes": load + SPARE_FDS,
    }
    if e.network.on:
        found["network.on"] = 2 * (max(e.load.connections, int(asked)) + to_servers) + servers + SPARE_FDS
    return found


def needed_memory_mb(e: Experiment) -> int:
    servers = sum(p.count for p in e.pool)
    lab = LAB_MB * (2 + e.fleet_processes + e.load.processes + e.network.on)
    each = servers * SERVER_MB + e.load.connections * CONNECTION_MB
    one = min(float(e.program.memory_mb), DISPATCHER_MB + servers * LISTED_MB)
    return int(e.dispatchers * one + lab + each)


def _ports() -> tuple[int, int]:
    try:
        low, high = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
        return int(low), int(high)
    except (OSError, ValueError):
        return 32768, 60999


def _available_mb() -> int | None:
    try:
        text = Path("/proc/meminfo").read_text()
    except OSError:
        return None
    found = re.search(r"^MemAvailable:\s+(\d+) kB$", text, re.MULTILINE)
    return int(found[1]) // 1024 if found else None
