"""Two deployments with different names, effects, deadlines, limits and windows, run on real sockets.

Also checks that no name of a deployment occurs in the program: names come from the settings only.
"""

import asyncio
import json
import re
import signal
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from tests.peers import ACCEPT, ROOT, SETTINGS, Message, RealServer, accept_only, node, request, run


def service(
    name: str, effect: str, deadline: float, latency_target: float, value: float, **more: object
) -> dict[str, object]:
    fixed = {
        "name": name,
        "idempotency": effect,
        "giveUpS": deadline,
        "onTimeS": latency_target,
        "importance": value,
    }
    return fixed | {"lateShare": 0.2, "stream": False, "group": "all", "windowS": 5.0} | more


class Deployment(NamedTuple):
    settings: dict[str, Any]
    safe: str | None  # the name of a class of each effect
    keyed: str
    unsafe: str
    tells_start: bool


SHORT = Deployment(
    SETTINGS
    | {
        "services": [
            service("tide-quote", "retryable", 1.0, 0.15, 3.0),
            service("ledger-post", "fragile", 1.5, 0.25, 12.0),
            service("berth-upsert", "dedup", 1.2, 0.2, 6.0, group="zone", windowS=0.7),
        ],
        "zones": ["quay-east", "quay-west"],
        "az": "quay-west",
        "flavors": ["broad-hull", "narrow-hull"],
        "registryMode": "ask",
        "weights": "nominal",
        "balancers": 3,
        "caps": {
            "cancel": True,
            "connIdleS": 8.0,
            "connectTimeoutS": 0.2,
            "maxRetryAfterS": 0.5,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "secondCopies": False,
            "tryLimit": 3,
        },
        "familyInfo": {
            "classKind": [-1, -1, -1],
            "classPriority": [0, 2, 1],
            "classStretch": [1.5, 2.0, 2.0],
            "tellsStart": True,
            "progressS": 0.0,
        },
    },
    "tide-quote",
    "berth-upsert",
    "ledger-post",
    True,
)
LONG = Deployment(
    SETTINGS
    | {
        "services": [
            service("cut-plan", "dedup", 20.0, 4.0, 4.0, group="cell", windowS=3.0),
            service("axle-weigh", "fragile", 9.0, 1.0, 1.0),
        ],
        "zones": ["pit-floor"],
        "az": "pit-floor",
        "flavors": ["crane-rig"],
        "weights": "off",
        "balancers": 1,
        "caps": {
            "cancel": True,
            "connIdleS": 5.0,
            "connectTimeoutS": 0.4,
            "peers": False,
            "probes": False,
            "retryAfter": False,
            "secondCopies": True,
            "tryLimit": 2,
        },
        "familyInfo": {"classKind": [0, -1], "tellsStart": False, "progressS": 0.0},
    },
    None,
    "cut-plan",
    "axle-weigh",
    False,
)
BOTH = pytest.mark.parametrize("d", [SHORT, LONG], ids=["short", "long"])


def deadline_of(d: Deployment, name: str) -> float:
    [found] = [s["giveUpS"] for s in d.settings["services"] if s["name"] == name]
    return float(found)


async def done(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(ACCEPT)
    await server.call_back(message.id, state="done", result=server.name)


async def lost(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(ACCEPT)
    await server.call_back(message.id, state="lost")


async def full(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")


class PlacedServer(RealServer):
    """A worker with a zone, cell and kind."""

    def __init__(self, name: str, zone: str, cell: int, kind: str, behaviour: Any = done) -> None:
        super().__init__(name, behaviour)
        self.location = {"zone": zone, "group": cell, "type": kind}

    def entry(self, status: str = "ready", **more: object) -> dict[str, object]:
        return super().entry(status, **(self.location | more))


def pair(d: Deployment, behaviour: Any, apart: bool = False) -> list[RealServer]:
    """Returns two workers. `apart`: in different deduplication groups."""
    zones, kind = d.settings["zones"], d.settings["flavors"][0]
    return [
        PlacedServer(f"r{n}", zones[n * apart % len(zones)], n * apart, kind, behaviour) for n in range(2)
    ]


@BOTH
def test_a_job_of_each_class_is_served_and_classes_of_another_deployment_are_unknown(
    tmp_path: Path, d: Deployment
) -> None:
    async def play() -> None:
        async with node(tmp_path, *pair(d, done), settings=d.settings) as n:
            for i, s in enumerate(d.settings["services"]):
                left = str(s["giveUpS"])
                assert (await n.ask(f"a{i}", f"/{s['name']}/k{i}", left=left)).status == 200
            other = LONG if d is SHORT else SHORT
            for i, s in enumerate(other.settings["services"]):
                assert (await n.ask(f"b{i}", f"/{s['name']}/k")).status == 404

    run(play())


@BOTH
@pytest.mark.parametrize("apart", [False, True])
def test_a_job_that_may_have_run_is_resent_only_if_its_class_allows(
    tmp_path: Path, d: Deployment, apart: bool
) -> None:
    async def play() -> None:
        servers = pair(d, lost, apart)
        async with node(tmp_path, *servers, settings=d.settings) as n:
            expected = {d.unsafe: 1, d.keyed: 1 if apart else 2}
            if d.safe is not None:
                expected[d.safe] = 2
            for name, sends in expected.items():
                answer = await n.ask(name, f"/{name}/k1", left=str(deadline_of(d, name)))
                assert sum(m.id == name for s in servers for m in s.got) == sends, name
                assert answer.status == (503 if name == d.safe else 502), name

    run(play())


@BOTH
def test_a_job_that_never_ran_is_resent_up_to_the_attempt_limit(tmp_path: Path, d: Deployment) -> None:
    async def play() -> None:
        servers = [*pair(d, full), *pair(d, full)]
        for i, s in enumerate(servers):
            s.name = f"r{i}"
        async with node(tmp_path, *servers, settings=d.settings) as n:
            answer = await n.ask("a1", f"/{d.unsafe}/k1", left=str(deadline_of(d, d.unsafe)))
            assert answer.status == 503
            assert sum(len(s.got) for s in servers) == d.settings["caps"]["tryLimit"]
            assert ("retry-after" in answer.headers) == d.settings["caps"]["retryAfter"]
            if "retry-after" in answer.headers:
                assert float(answer.headers["retry-after"]) <= d.settings["caps"]["maxRetryAfterS"]

    run(play())


@BOTH
def test_a_job_without_reports_is_answered_before_its_deadline(tmp_path: Path, d: Deployment) -> None:
    async def play() -> None:
        servers = pair(d, accept_only)
        async with node(tmp_path, *servers, settings=d.settings) as n:
            started_at = time.monotonic()
            answer = await n.ask("a1", f"/{d.unsafe}/k1", left="1.0")
            assert answer.status == 502
            assert time.monotonic() - started_at < 1.3
            [received] = [m for s in servers for m in s.got]
            assert float(received.headers["x-time-left"]) <= 1.0

    run(play())


@BOTH
def test_connections_are_closed_after_sigterm_before_a_sigkill_may_follow(
    tmp_path: Path, d: Deployment
) -> None:
    longest = max(s["giveUpS"] for s in d.settings["services"])

    async def play() -> None:
        async with node(tmp_path, *pair(d, done), settings=d.settings) as n:
            reader, writer = await asyncio.open_connection("127.0.0.1", n.port)
            writer.write(request("a1", f"/{d.unsafe}/k1"))
            assert await reader.read(15) == b"HTTP/1.1 200 OK"
            n.process.send_signal(signal.SIGTERM)
            signalled_at = time.monotonic()
            await reader.read()  # the dispatcher closes the connection
            assert time.monotonic() - signalled_at < min(longest, 3.0) + 0.7
            writer.close()
            assert await n.process.wait() == 0

    run(play())


# --- names of deployments


def names_of(site: dict[str, Any]) -> Iterator[str]:
    yield site["name"]
    yield from site["net"]["zones"]
    for tier in site["tier"]:
        yield tier["name"]
        yield from (kind["name"] for kind in tier["kind"])
    for part in ("class", "tenant"):
        yield from (entry["name"] for entry in site.get(part, []))


def test_no_name_of_a_deployment_occurs_in_the_program() -> None:
    """Checks the names of the deployments in deploy/sites and of the example configuration."""
    example = json.loads((ROOT / "examples" / "config.json").read_text())["settings"]
    names = {example["az"], *example["zones"], *example["flavors"], *(s["name"] for s in example["services"])}
    sites = sorted((ROOT / "deploy" / "sites").glob("*/*.toml"))
    assert len(sites) >= 2
    for site in sites:
        names |= set(names_of(tomllib.loads(site.read_text())))
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    files = [ROOT / name for name in deploy["policy"] + deploy["node"]]
    config = re.search(r"--config (\S+)", deploy["run"])
    assert config is not None
    files.append(ROOT / config[1])
    program = [f for part in files for f in (part.rglob("*.py") if part.is_dir() else [part])]
    pattern = re.compile("|".join(rf"\b{re.escape(name)}\b" for name in sorted(names)))
    assert len(program) > 100
    assert len(names) >= 20
    found = [(f.name, m[0]) for f in program if (m := pattern.search(f.read_text()))]
    assert found == []
    assert not pattern.search(deploy["run"] + deploy["build"])
