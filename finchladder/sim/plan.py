"""Simulation plans: the environment, the jobs and the faults of a run, drawn from a seed or minimized.

A plan holds everything that a run needs, so the plan in a trace can be replayed after this file's drawing
has changed. Times are seconds from the start of the run.
"""

from random import Random
from typing import Literal

import msgspec

from finchladder.lab.experiment import (
    Callbacks,
    Discovery,
    Experiment,
    Front,
    JobClass,
    Load,
    Phase,
    Pool,
    Program,
    Retries,
)
from finchladder.sim.draws import some, spread, stream

BOOT_S = 0.6  # time by which dispatchers are up and admitted
SETTLE_S = 9.0  # all jobs are served again this long after the last fault (the liveness rule)
CALM_S = 1.0  # the time in which the calm jobs arrive
END_S = 6.0  # time after the last job for open jobs to finish before SIGTERM

Moment = Literal[
    "start",  # a dispatcher process has started
    "list",  # discovery has written a change to a dispatcher
    "asked",  # a client has written a request's last byte
    "taken",  # a request's last byte has arrived at a real server
    "accepted",  # its 202 has been written
    "started",  # a real server has written the callback of a job's start
    "result",  # a real server has written the callback of a job's end, which the dispatcher has not read yet
    "term",  # SIGTERM was sent
    "answer",  # a client has received its answer
]
FaultKind = Literal[
    # dispatchers
    "kill",
    "term",
    "pause",
    "clock",
    "sluggish",
    # real servers
    "crash",
    "drain",
    "slow",
    "errors",
    "swallow",
    "freeze",
    # everything at once: all real servers restart cold and all dispatchers restart
    "blackout",
    # the endpoint list
    "list_silent",
    "list_late",
    "list_gap",
    "list_break",
    "list_move",
    # connections
    "cut",
    "half_cut",
    "silence",
    "deaf",
    "refuse",
    "delay",
    "stall",
    "break_calls",
    # clients
    "leave",
    "burst",
    "rude",
    "hold",
    "drill",
]
OF_DISPATCHERS: tuple[FaultKind, ...] = ("kill", "term", "pause", "clock", "sluggish")
OF_SERVERS: tuple[FaultKind, ...] = ("crash", "drain", "slow", "errors", "swallow", "freeze")
OF_LIST: tuple[FaultKind, ...] = ("list_silent", "list_late", "list_gap", "list_break", "list_move")
OF_LINKS: tuple[FaultKind, ...] = ("cut", "half_cut", "silence", "deaf", "refuse", "delay", "stall")
OF_CLIENTS: tuple[FaultKind, ...] = ("leave", "burst", "rude", "hold", "drill")
KINDS: tuple[FaultKind, ...] = (
    *OF_DISPATCHERS,
    *OF_SERVERS,
    "blackout",
    *OF_LIST,
    *OF_LINKS,
    "break_calls",
    *OF_CLIENTS,
)
MOMENTS: tuple[Moment, ...] = (
    "start",
    "list",
    "asked",
    "taken",
    "accepted",
    "started",
    "result",
    "term",
    "answer",
)


class Job(msgspec.Struct, omit_defaults=True, tag="job"):
    """One job that a client requests."""

    number: int
    at: float
    client: int
    job_class: str
    key: str = ""
    work_s: float = 0.02
    slots: int = 1
    body: int = 2  # bytes
    leaves_s: float = 0.0  # the client disconnects after this time; 0: it waits for its whole patience
    calm: bool = False  # must be served, as it arrives SETTLE_S after the last fault


class Fault(msgspec.Struct, omit_defaults=True, tag="fault"):
    """An injected fault: at the time `at`, or `after_s` after the nth moment `on` from `at` on."""

    kind: FaultKind
    at: float
    on: Moment | None = None
    nth: int = 1
    after_s: float = 0.0
    target: str = ""  # a dispatcher, real server or link "a~b"; empty: the one the moment concerns
    for_s: float = 0.0
    size: float = 0.0
    number: int = 0


class World(msgspec.Struct, omit_defaults=True):
    """The environment of a run, which stays fixed."""

    latency_s: float = 0.0005
    jitter: float = 0.5
    cut: Literal["whole", "few", "many"] = "whole"
    buffer: int = 262_144
    reset_drops: float = 0.5
    pace_s: float = 0.0001  # longest delay between being ready and running
    options: str = ""  # the contents of the operator's options file
    routes: list[str] = []  # successive contents of the TOML routes file: at the start and at each SIGHUP
    clients: int = 4
    ghosts: int = 0  # draining entries that make the endpoint list long
    wall: float = 1_700_000_000.0


class Plan(msgspec.Struct, omit_defaults=True):
    seed: int
    experiment: Experiment
    world: World
    jobs: list[Job] = []
    faults: list[Fault] = []
    calm_at: float = 0.0  # all faults are over by `calm_at` minus SETTLE_S
    ends: bool = True  # the run ends with SIGTERM and a check that all processes have exited


def dispatcher_names(plan: Plan) -> list[str]:
    return [f"n{i + 1}" for i in range(plan.experiment.dispatchers)]


def server_names(plan: Plan) -> list[str]:
    return [f"w{i + 1}" for i in range(sum(p.count for p in plan.experiment.pool))]


# --- drawing


def draw(seed: int) -> Plan:
    """Returns the plan of a seed, which depends only on the seed and this file."""
    r = stream(seed, "plan")
    faulty_s = r.choice([3.0, 5.0, 8.0])
    experiment = _experiment(r, seed)
    plan = Plan(seed, experiment, _world(r), calm_at=BOOT_S + faulty_s + SETTLE_S)
    plan.world.routes = _routes(stream(seed, "routes"), plan)
    plan.jobs = _jobs(stream(seed, "jobs"), plan, faulty_s)
    plan.faults = _faults(stream(seed, "faults"), plan, faulty_s)
    return plan


def _experiment(r: Random, seed: int) -> Experiment:
    zones = ["a", "b"][: r.choice([1, 1, 2])]
    aim_s = r.choice([0.3, 0.5])
    classes = [JobClass("view", "retryable", aim_s=aim_s, deadline_s=r.choice([1.5, 3.0]))]
    if r.random() < 0.8:
        classes.append(
            JobClass("confirm", "fragile", worth=10.0, aim_s=2 * aim_s, deadline_s=r.choice([2.0, 4.0]))
        )
    if r.random() < 0.5:
        groups: list[Literal["all", "zone", "cell"]] = ["all", "zone", "cell"]
        group = r.choice(groups)
        window_s = r.choice([0.6, 5.0])
        classes.append(
            JobClass(
                "book", "dedup", aim_s=aim_s, deadline_s=r.choice([1.5, 3.0]), group=group, window_s=window_s
            )
        )
    for c in classes:
        c.share, c.work_s = 1 / len(classes), 0.05
    pools = [_pool(r) for _ in range(r.choice([1, 1, 2]))]
    return Experiment(
        name="sim",
        load=Load(
            phase=[Phase("all", for_s=60.0)],
            retries=Retries(kind=r.choice(["after", "after", "at_once", "none"]), tries=r.choice([2, 3, 5])),
        ),
        seed=seed,
        zones=zones,
        dispatchers=r.choice([1, 1, 2, 2, 3]),
        program=Program(sockets=r.choice([1024, 1024, 256])),
        pool=pools,
        callbacks=Callbacks(
            early=r.choice([0.0, 0.0, 0.3]),
            twice=r.choice([0.0, 0.0, 0.3]),
            lost=r.choice([1.0, 0.5, 0.0]),
            unknown_per_s=r.choice([0.0, 0.0, 2.0]),
        ),
        discovery=Discovery(delay_s=(0.0, r.choice([0.02, 0.1, 0.4]))),
        front=Front(across_zones=True, notices_death_s=(0.2, 1.0)),
        job_class=classes,
        cold_multiple=r.choice([3.0, 3.0, 2.0]),
        settings={"caps.secondCopies": r.random() < 0.5, "caps.tryLimit": r.choice([2, 3, 5])},
    )


def _pool(r: Random) -> Pool:
    return Pool(
        count=r.choice([1, 2, 3, 4]),
        cores=r.choice([2, 4]),
        slots=r.choice([0, 8]),
        queue=r.choice([0, 2, 8]),
        cold_from=0.3,
        cold_for_s=r.choice([1.0, 2.0]),
        handshake_s=r.choice([0.0, 0.0, 0.002]),
        idle_s=r.choice([0.5, 2.0, 30.0]),
        error_rate=r.choice([0.0, 0.0, 0.02]),
        drain_returns=r.random() < 0.7,
        cancel_stops=r.random() < 0.7,
        progress_s=0.25,
        report_delay_s=r.choice([0.0, 0.5]),
    )


ROUTE_LINES = {  # options of a route, with the probability of each
    "timeout_s = 1.5": 0.3,
    "attempt_timeout_s = 0.4": 0.3,
    "hedge_after_s = 0.05\nhedge_most = 1.0": 0.5,
    "backoff = {base_s = 0.03, most_s = 0.1}": 0.3,
    "retry_budget = {share = 0.2, repeats = true}": 0.3,
    "concurrency = 2\nqueue = {length = 3, longest_wait_s = 0.3}": 0.4,
    "priority = 1": 0.1,
}


def _world(r: Random) -> World:
    options = []
    if r.random() < 0.3:
        options.append("[status]\nretain_ms = 2000\nmax_entries = 50\n")
    if r.random() < 0.15:
        options.append("[door]\nrate = 20\nburst = 20\n")
    if r.random() < 0.3:
        options.append("[drill]\nkey = k\n")
    if r.random() < 0.3:
        options.append("[capture]\nring_bytes = 200000\n")
    return World(
        latency_s=spread(r, 0.0001, 0.004),
        jitter=r.choice([0.0, 0.5, 4.0]),
        cut=r.choice(["whole", "whole", "few", "many"]),
        buffer=r.choice([262_144, 262_144, 16_384, 4096]),
        reset_drops=r.choice([0.0, 0.5, 1.0]),
        pace_s=r.choice([0.00005, 0.00005, 0.001, 0.006]),
        options="".join(options),
        clients=r.choice([1, 3, 8]),
        ghosts=r.choice([0] * 11 + [400]),
    )


def _routes(r: Random, plan: Plan) -> list[str]:
    """Draws route files. Some are invalid, as the platform may forbid an option; this is intended."""
    if r.random() < 0.6:
        return []

    def one() -> str:
        lines = []
        for c in plan.experiment.job_class:
            lines.append(f"[route.{c.name}]\nclass = '{c.name}'\nattempts = {r.choice([1, 2])}")
            lines += [x for x, part in ROUTE_LINES.items() if r.random() < part]
        return "\n".join([*lines, ""])

    return [one() for _ in range(r.choice([1, 2, 4]))]


def _jobs(r: Random, plan: Plan, faulty_s: float) -> list[Job]:
    count = r.choice([15, 30, 60, 90])
    times = sorted(r.uniform(BOOT_S, BOOT_S + faulty_s) for _ in range(count))
    calm = sorted(r.uniform(plan.calm_at, plan.calm_at + CALM_S) for _ in range(6))
    jobs: list[Job] = []
    keys = r.choice([0, 3, 30])
    for at in times + calm:
        c = r.choice(plan.experiment.job_class)
        jobs.append(
            Job(
                number=len(jobs),
                at=round(at, 4),
                client=r.randrange(plan.world.clients),
                job_class=c.name,
                key=f"k{r.randrange(keys)}" if keys else "",
                work_s=round(spread(r, 0.004, 0.25 if at < plan.calm_at else 0.02), 4),
                body=r.choice([2, 2, 2, 300, 20_000, 60_000]),
                leaves_s=round(spread(r, 0.002, 0.5), 4) if r.random() < 0.05 and at < plan.calm_at else 0.0,
                calm=at >= plan.calm_at,
            )
        )
    return jobs


def _faults(r: Random, plan: Plan, faulty_s: float) -> list[Fault]:
    """Swarm testing (Groce et al., 2012): first draws the subset of fault kinds of the run."""
    kinds = some(r, KINDS, r.choice([0.06, 0.12, 0.25]))
    found: list[Fault] = []
    for _ in range(r.choice([1, 3, 6, 12, 20])):
        if r.random() < 0.25:
            found += _bundle(r, plan, kinds, faulty_s)
        else:
            found.append(_fault(r, plan, r.choice(kinds), faulty_s, r.random() < 0.5))
    found.sort(key=lambda f: f.at)
    for number, fault in enumerate(found):
        fault.number = number
    return found


def _bundle(r: Random, plan: Plan, kinds: list[FaultKind], faulty_s: float) -> list[Fault]:
    """Draws several faults for the same moment."""
    first = _fault(r, plan, r.choice(kinds), faulty_s, True)
    others = [_fault(r, plan, r.choice(kinds), faulty_s, True) for _ in range(r.choice([1, 2]))]
    for f in others:
        f.at, f.on, f.nth = first.at, first.on, first.nth
    return [first, *others]


def _fault(r: Random, plan: Plan, kind: FaultKind, faulty_s: float, aimed: bool) -> Fault:
    last = BOOT_S + faulty_s
    f = Fault(kind, round(r.uniform(BOOT_S, last), 4))
    if aimed:
        f.at = round(r.uniform(0.0, last - 0.5), 4)
        f.on, f.nth = r.choice(MOMENTS), r.choice([1, 1, 2, 3, 5, 8])
        f.after_s = round(r.choice([0.0, 0.0, spread(r, 0.0001, 0.01), spread(r, 0.001, 0.3)]), 5)
    if not aimed or r.random() < 0.3:
        f.target = _target(r, plan, kind)
    f.for_s = round(spread(r, 0.02, 4.0), 3)
    f.size = round(r.random(), 3)
    return f


def _target(r: Random, plan: Plan, kind: FaultKind) -> str:
    nodes, servers = dispatcher_names(plan), server_names(plan)
    if kind in OF_DISPATCHERS or kind in OF_LIST:
        return r.choice(nodes)
    if kind in OF_SERVERS:
        return r.choice(servers)
    if kind in OF_LINKS:
        other = r.choice([*servers, *servers, "clients", "registry"])
        return f"{r.choice(nodes)}~{other}"
    return ""
