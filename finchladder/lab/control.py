"""How the run's own processes are told what to do: one JSON object a line, on standard input and output.

The first line a process reads is its `Plan`; then `Order`s come. It says `Word`s. When its input ends, the
parent is gone, however it died, and the process ends too: nothing of a run stays behind.
"""

from typing import Any, Literal

import msgspec

from finchladder.lab.experiment import Experiment


class ServerPlan(msgspec.Struct):
    """One real server of a process of the fleet."""

    name: str
    pool: int  # index into Experiment.pool
    zone: str
    group: int = 0


class Plan(msgspec.Struct):
    role: Literal["fleet", "registry", "load", "relay", "etcd", "peers"]
    name: str  # of the process; its ledger is OUT/ledger/NAME.log
    out: str
    experiment: Experiment
    zero: float  # the run's zero on the monotonic clock
    wall: float  # wall time minus monotonic time, for `since_ms`
    seed: int  # of this process, drawn from the run's
    host: str = "127.0.0.1"  # the loopback address it listens at
    part: int = 0  # which of `parts` alike processes it is
    parts: int = 1
    servers: list[ServerPlan] = []  # fleet: those it plays
    dispatchers: dict[str, str] = {}  # name: host:port that clients and call-backs use
    zone_of: dict[str, str] = {}  # dispatcher: its zone


class Order(msgspec.Struct, omit_defaults=True):
    """what:
    - addresses: `data` {dispatcher: {server: host:port}} for registry (key "" holds for all dispatchers)
    - states: registry: `data` {server: [state, born]} as the fleet said it in its Word of that name
    - loads: registry: `data` {server: requests held per core} as the fleet said it in its Word of that name
    - links: relay: `data` [{"name", "from", "to" (zones), "address"}] of links to open; answered by `ready`
    - go: arrivals begin at `at` (monotonic)
    - fault: `data` holds a Fault as mapping plus "targets": names it strikes, and "end": true when it ends
    - up / down: dispatcher `data["name"]` was started / found dead: what the front may be told
    - stop: finish, flush the ledger, say `done`, end
    """

    what: Literal["addresses", "states", "loads", "links", "go", "fault", "up", "down", "stop"]
    at: float = 0.0
    data: Any = None


class Word(msgspec.Struct, omit_defaults=True):
    """what:
    - ready: `data` is what it opened: {server | dispatcher | link: host:port} of fleet, registry, relay
    - states: fleet: `data` {server: ["ready" | "draining" | "gone", born]}: what became of real servers, for
      the registry (born: monotonic time of the last start, 0: long ago); the first holds them all
    - loads: fleet: `data` {server: requests held per core}, where the list's weights are live
    - moved: registry: `data` {dispatcher: host:port} after discovery has moved
    - live: `data` holds figures for the progress line
    - done: all arrivals are answered or given up
    - failed: `text` says why in one line
    """

    what: Literal["ready", "states", "loads", "moved", "live", "done", "failed"]
    text: str = ""
    data: Any = None
