"""What a file of an experiment may hold. Types and their bounds; `check.py` has what one field can't know.

Times are seconds, rates are per second, shares lie between 0 and 1. A `Span` [least, most] is drawn from
evenly, once for each thing that has it (each real server, each fault), from the run's seed.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(pattern=r"\A[a-z0-9][a-z0-9._-]{0,63}\Z")]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Above = Annotated[float, Meta(gt=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Span = tuple[float, float] | float  # both ends at least 0; a number stands for a span without width


class Part(msgspec.Struct, forbid_unknown_fields=True):
    """Base of every table of the file: an unknown key is an error that names its place."""


class Program(Part):
    """A dispatcher's process."""

    command: list[str] = []  # empty: this program, as `python -m finchladder`
    config: str = ""  # the operator's file that it is given; a path beside the experiment's file
    revision: str = ""  # a git revision of this repository that is checked out and run in place of the tree
    memory_mb: Annotated[int, Meta(ge=32, le=65_536)] = 192
    sockets: Annotated[int, Meta(ge=128, le=1_000_000)] = 1024
    cpus: list[int] = []  # pinned to these processors; empty: to none
    back_after_s: Seconds = 0.0  # one that died by itself is started again after this; 0: it stays away
    peers: dict[str, bool | float] | None = None  # [peers] in its operator's file, `file` as the lab makes it
    judgement: dict[str, float | str] | None = None  # [judgement] there
    peers_every_s: Seconds = 0.0  # so often each is asked what it knows of the others; 0: never
    null: bool = False  # a target that answers 200 at once, without real servers: measures the load


class JobClass(Part):
    """A class of jobs. Worth, aim, stretch, deadline: as the platform's settings mean them."""

    name: Name
    effect: Literal["retryable", "dedup", "fragile"] = "retryable"
    share: Share = 1.0  # part of the requests; all classes' shares add up to 1
    worth: Above = 1.0
    aim_s: Above = 0.3
    deadline_s: Above = 5.0
    late_share: Share = 0.3
    stretch: Annotated[float, Meta(ge=0, le=100)] = 2.0
    kind: str = ""  # the kind of real server that runs it; empty: any
    priority: int = 0
    work_s: Above = 0.02  # mean running time on one core at speed 1
    work_sigma: Annotated[float, Meta(ge=0, le=3)] = 0.5  # of the logarithm; 0: always the mean
    work_law: Literal["lognormal", "exponential", "fixed"] = "lognormal"
    attempt_sigma: Annotated[float, Meta(ge=0, le=3)] = 0.0  # of each attempt's own factor, of mean 1
    slots: list[Share] = msgspec.field(
        default_factory=lambda: [1.0]
    )  # shares of jobs that take 1, 2, 4, 8 slots
    memory: Annotated[float, Meta(ge=0, le=1e9)] = 0.0  # mean of the units that a job takes
    memory_sigma: Annotated[float, Meta(ge=0, le=3)] = 0.0  # of the logarithm
    patience_s: Seconds = 0.0  # of one try; 0: what is left of the deadline
    group: Literal["all", "zone", "cell"] = "all"  # dedup: real servers that drop each other's repeats
    window_s: Seconds = 5.0  # dedup: how long, from the first send that may have run


class Keys(Part):
    """What jobs are about."""

    count: Annotated[int, Meta(ge=0, le=100_000_000)] = 0  # 0: jobs have no key
    zipf: Annotated[float, Meta(ge=0, le=5)] = 0.9
    once: Share = 0.0  # part of the jobs that ask for a key that is wanted only once
    hot: Share = 0.0  # part of the jobs that ask for one and the same key


class Pool(Part):
    """Alike real servers."""

    count: Count = 1
    kind: str = ""
    zones: list[str] = []  # spread over these in turn; empty: over all zones
    group: int = 0  # those that drop each other's repeats, where a class's group is "cell"
    weight: Above = 1.0  # as discovery tells it
    cores: Count = 4
    speed: Span = 1.0  # work done by a core in a second
    slots: Annotated[int, Meta(ge=0)] = 0  # jobs in work; 0: as many as cores
    queue: Annotated[int, Meta(ge=0)] = 8  # jobs that wait; beyond it `full`
    order: Literal["fifo", "backfill", "priority"] = "fifo"
    preempt: Literal["none", "suspend", "kill"] = "none"
    memory: Above = 1e9  # units; jobs take what X-Facts says
    keys_kept: Annotated[int, Meta(ge=0)] = 0  # 0: a key costs nothing
    fetch_s: Seconds = 0.0  # from the central store, when it is idle
    cold_from: Share = 0.3
    cold_for_s: Seconds = 8.5
    warm_by_work: bool = False  # warms also by work done, never slower than by time
    starts_cold: bool = False  # at the run's begin
    crowd: Share = 0.0  # part of the capacity lost when slots and queue are full
    handshake_s: Seconds = 0.0  # delay of the first request on a connection
    connections: Annotated[int, Meta(ge=1)] = 1_000_000  # held at once; more are closed unread
    idle_s: Above = 30.0  # a connection without a request for so long is closed
    error_rate: Share = 0.0  # jobs that end as `failed` after they ran
    drain_returns: bool = True  # hands back what has not begun when it drains
    cancel_stops: bool = True  # DELETE stops the work; else it goes on unseen
    cancel_unqueues: bool = True  # DELETE takes off the queue what waits; else that runs, too, unseen
    checkpoint_s: Seconds = 0.0  # jobs that are safe to repeat go on from their last saved state; 0: never
    tells_start: bool = True
    progress_s: Seconds = 1.0  # 0: no progress is told
    reports: bool = True  # load reports
    report_delay_s: Seconds = 0.5
    report_noise: Share = 0.05
    answers_at_once: bool = False  # takes no time at all: for measuring the dispatcher alone


class Callbacks(Part):
    """How the real servers' call-backs go astray; each share is drawn for each job."""

    early: Share = 0.02  # the first call-back is answered before the 202 is written
    twice: Share = 0.01  # a call-back is told once more
    lost: Share = 0.8  # of the jobs that died with their server: its machine's agent tells so
    unknown_per_s: Annotated[float, Meta(ge=0, le=10_000)] = 0.0  # for jobs nobody knows, each fleet process


class Store(Part):
    """The central store that all real servers fetch keys from."""

    fetches: Count = 1_000_000  # at once; more wait in turn


class Discovery(Part):
    delay_s: Span = 0.05  # from a change to its telling, drawn for each dispatcher and change
    start_delay_s: Span | None = None  # the same of a start; None: as any change
    spread_s: Seconds | None = None  # one delay for all, each up to so much later; None: each its own
    # live: the size over 1 + requests held per core, of each `renew_every_s`, as late as any change;
    # nominal: the pool's weight; off: 1 for all
    weights: Literal["nominal", "live", "off"] = "nominal"
    renew_share: Share = 0.0  # part of the entries whose weight is drawn anew, each `renew_every_s`
    renew_every_s: Above = 0.5
    empty_line_s: Above = 2.0
    moves_with_sighup: bool = True  # a move rewrites the dispatchers' files and sends SIGHUP


class EtcdStandIn(Part):
    """An etcd beside discovery, told of the real servers at once. Dispatchers are given its endpoints."""

    members: Annotated[int, Meta(ge=0, le=9)] = 0  # 0: there is none
    followed: bool = True  # False: it is there, and no dispatcher is told of it


class Front(Part):
    """Spreads the clients' connections over the dispatchers of their zone."""

    across_zones: bool = False  # when a zone has none left
    notices_death_s: Span = 1.0


class Network(Part):
    """Relays between the parties; all off by default: connections are direct then."""

    on: bool = False
    peers: bool = False  # links between dispatchers, UDP and TCP; LAB_PEERS tells them of their addresses
    same_zone_s: Seconds = 0.0002  # one way
    cross_zone_s: Seconds = 0.002
    client_s: Seconds | None = None  # between clients and dispatchers; None: as in one zone
    jitter: Share = 0.1  # of the latency, evenly up and down
    segment: Annotated[int, Meta(ge=0, le=65_536)] = 0  # bytes passed on at once; 0: as they come


class Retries(Part):
    """What a client does when a try fails or is refused."""

    kind: Literal["none", "at_once", "after"] = "after"
    tries: Annotated[int, Meta(ge=1, le=100)] = 3
    wait_s: Span = (0.05, 0.15)
    doubles: bool = True
    honour: Share = 1.0  # part of the clients that honour Retry-After
    after_failure: bool = True  # also after 502 and lost connections, where the class may be repeated
    fragile_too: bool = False  # repeats fragile jobs as well, though they may have run: a client at fault


class Phase(Part):
    """A stretch of the load. `rate` counts first tries; where it is 0, the closed loop is meant."""

    name: Name
    for_s: Above
    rate: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    to_rate: Annotated[float, Meta(ge=0, le=1e6)] | None = None  # a ramp up or down to this rate
    law: Literal["poisson", "even", "wave", "trace"] = "poisson"
    wave_s: Above = 10.0  # period of the wave
    wave_depth: Share = 0.5  # the rate swings by this part
    trace: str = ""  # file with a line `seconds class key` for each request
    in_flight: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # closed loop: requests kept in flight
    think_s: Seconds = 0.0  # closed loop: pause of a client between answer and next try
    classes: dict[str, Share] = {}  # shares for this phase in place of the classes' own
    keys: Keys | None = None
    counted: bool = True  # False: warming up; not part of the figures
    skip_s: Seconds = 0.0  # so much at its begin is not part of the figures


class Load(Part):
    phase: list[Phase]
    processes: Annotated[int, Meta(ge=1, le=64)] = 1
    zone_shares: list[Share] = []  # of the clients, in the order of the zones; empty: evenly
    connections: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # held open from the start on, idle ones too
    most_in_flight: Count = 100_000  # tries at once in open loop; beyond it the run is invalid
    impatient: Share = 0.0  # part of the clients that close after a tenth of their patience
    rude: Annotated[float, Meta(ge=0, le=10_000)] = 0.0  # rude connections a second, bytes from the seed
    retries: Retries = msgspec.field(default_factory=lambda: Retries())
    late_s: Above = 0.05  # a generator later than this at its worst percent makes the run invalid


FaultKind = Literal[
    "kill",
    "restart",
    "roll",
    "pause",  # dispatchers (by name, "any", "all") and real servers
    "crash",
    "drain",
    "slow",
    "errors",
    "swallow",  # real servers
    "discovery_down",
    "discovery_stale",
    "discovery_move",
    "vanish",  # the list
    "etcd_stall",
    "etcd_cut",
    "etcd_lag",
    "etcd_restore",  # etcd, and what it tells
    "cut",
    "reset_before",
    "reset_after",
    "black_hole",
    "half_open",
    "refuse",  # links; need network.on
    "peer_cut",
    "peer_stall",
    "peer_loss",
    "peer_late",
    "peer_double",
    "peer_shuffle",  # links between dispatchers; need network.peers
    "burst",
    "scan",
    "hot_key",  # load
]


class Fault(Part):
    """Something that goes wrong. Either at a time, or drawn: `count` of them at times drawn from the seed.

    kill: SIGKILL (dispatcher) or its model's equal (real server: connections reset), back after `for_s`
    (0: never); restart: SIGTERM, back `for_s` after it has ended; roll: restart of `share` of the
    dispatchers, `batch` of them at a time; pause: SIGSTOP, and SIGCONT after `for_s`; crash: `share` of the
    real servers die together, back cold after `for_s`; drain: told as draining, gone when idle, back cold
    after `for_s`; slow: speed times `size` for `for_s`; errors: jobs (of
    `job_class`, if it is given) fail at rate `size`; swallow: requests
    are taken and never answered; vanish: `share` of the entries is missing from one whole list and back in
    the next; cut: no bytes pass between the zones `between`; burst: rate times `size`; scan: `size` of the
    jobs ask for keys wanted once; hot_key: `size` of the jobs ask for one key. etcd_stall, etcd_cut,
    etcd_lag: `share` of its members (0: all) stand still with their connections open, reset and refuse, or
    answer as of the begin; etcd_restore: all are cut, and come back with another cluster id. peer_*: see
    models/mesh.py.
    """

    kind: FaultKind
    at_s: Seconds | None = None
    count: Count = 1
    within_s: tuple[float, float] | None = None  # drawn times lie here
    for_s: Span = 0.0
    # a name, "any", "all", "zone:NAME", "kind:NAME", "dispatchers:A-B" or "servers:A-B" (numbers, from 1)
    target: str = "any"
    job_class: str = ""  # errors: of these jobs alone
    label: Annotated[str, Meta(pattern=r"\A[a-z0-9._-]{0,64}\Z")] = ""  # whom it struck can be named by it
    same_as: str = ""  # strikes just those that the fault with this label struck
    share: Span = 0.0  # of those that `target` allows; 0: one of them
    size: Span = 1.0
    batch: Share = 0.25
    between: tuple[str, str] | None = None
    # peer_*: links between those struck and all others, among them, one direction alone, or any of theirs
    way: Literal["between", "within", "out", "in", "all"] = "between"


class Experiment(Part):
    name: Name
    load: Load
    seed: int = 1
    about: str = ""
    zones: Annotated[list[Name], Meta(min_length=1, max_length=64)] = msgspec.field(
        default_factory=lambda: ["a"]
    )
    dispatchers: Annotated[int, Meta(ge=1, le=1000)] = 1
    dispatcher_zones: list[str] = []  # they are spread over these in turn; empty: over all zones
    fleet_processes: Annotated[int, Meta(ge=1, le=64)] = 1
    program: Program = msgspec.field(default_factory=Program)
    pool: list[Pool] = []
    callbacks: Callbacks = msgspec.field(default_factory=Callbacks)
    store: Store = msgspec.field(default_factory=Store)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    etcd: EtcdStandIn = msgspec.field(default_factory=EtcdStandIn)
    front: Front = msgspec.field(default_factory=Front)
    network: Network = msgspec.field(default_factory=Network)
    job_class: list[JobClass] = msgspec.field(name="class", default_factory=lambda: [JobClass(name="view")])
    keys: Keys = msgspec.field(default_factory=Keys)
    fault: list[Fault] = []
    settings: dict[str, object] = {}  # overrides of the platform's settings, by dotted name ("caps.tryLimit")
    settle_s: Seconds = 10.0  # at most so long is waited for answers after the last arrival
    repeats: Count = 1
    matrix: dict[str, list[object]] = {}  # dotted names of this file; every combination is played
    cold_multiple: Above = 3.0  # figures of the rules
    cold_window_s: Above = 2.0
    drain_grace_s: Above = 0.5
    slack_s: Seconds = 0.05  # every time limit is so much longer on sockets

    def zone_of(self, index: int) -> str:
        """The zone of the dispatcher n1 (index 0) and so on."""
        zones = self.dispatcher_zones or self.zones
        return zones[index % len(zones)]
