"""Processes of the system as the platform runs them: settings files, disks, signals and logs, on loopback."""

import asyncio
import json
import os
import shutil
import signal
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import aiohttp
from attrs import define, field

from finchladder.cluster.process.settings import FILE_VARIABLE
from finchladder.cluster.transport.peers import steady
from tests.peers import ROOT, free_port

POLL_S = 0.05
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 1.0
CONTACT_S = 1.0
CONFIG_APPLY_S = 2.0
CORE_ADDRESS = "127.0.1.{}"
DISPATCHER_ADDRESS = "127.0.2.{}"
HOST = "a.example"
MEMORY_MB = 300
SETTINGS = """
node_name = "{name}"
ip = "{ip}"
zone = "z"
port_range = [{ports.peer}, {ports.peer}]
seeds = {seeds}
bootstrap = {bootstrap}
heartbeat_ms = 200
data_dir = "{data_dir}"
[listen]
{listen}
[limits]
disk_mb = 64
memory_mb = {memory_mb}
[fault_tolerance]
nodes = 1
[bounds]
contact_ms = 1000
config_apply_ms = 2000
grace_s = 2
lease_ms = 1000
"""


@define
class Ports:
    """Ports that all machines have in common."""

    peer: int = field(factory=free_port)
    control: int = field(factory=free_port)
    frontend: int = field(factory=free_port)
    readiness: int = field(factory=free_port)


@define
class NodeProcess:
    """One machine with one process of the system."""

    name: str
    ip: str
    folder: Path
    ports: Ports
    is_core: bool
    process: asyncio.subprocess.Process | None = None

    @property
    def control(self) -> str:
        """The public control address."""
        return f"{self.ip}:{self.ports.control}"

    @property
    def frontend(self) -> str:
        """The address for clients."""
        return f"{self.ip}:{self.ports.frontend}"

    @property
    def settings_file(self) -> Path:
        """The settings file, which the platform may change at any time."""
        return self.folder / f"{self.name}.toml"

    @property
    def data_dir(self) -> Path:
        """The disk of a control process."""
        return self.folder / f"{self.name}-data"

    def write_settings(self, seeds: list[str], *, bootstrap: bool = False) -> None:
        """Replaces the settings file."""
        listen = (
            f'control_plane = "{self.control}"'
            if self.is_core
            else f'frontend = "{self.frontend}"\nreadiness = "{self.ip}:{self.ports.readiness}"'
        )
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            ports=self.ports,
            seeds=json.dumps(seeds),
            bootstrap=str(bootstrap).lower(),
            data_dir=self.data_dir if self.is_core else "",
            listen=listen,
            memory_mb=MEMORY_MB,
        )
        written = self.settings_file.with_suffix(".new")
        written.write_text(text, encoding="utf-8")
        written.replace(self.settings_file)

    async def start(self) -> None:
        """Starts the process; a control process has an empty disk unless it ran before."""
        self.data_dir.mkdir(exist_ok=True)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "finchladder.cluster", "node"),
                env={**os.environ, FILE_VARIABLE: str(self.settings_file)},
                cwd=ROOT,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process and waits for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def wipe(self) -> None:
        """Removes the content of the disk."""
        shutil.rmtree(self.data_dir)

    def events(self, kind: str) -> Iterator[dict[str, Any]]:
        """Yields the logged events of one kind."""
        for line in (self.folder / f"{self.name}.log").read_text(encoding="utf-8").splitlines():
            with suppress(json.JSONDecodeError):
                logged = json.loads(line)
                if logged.get("message_type") == kind:
                    yield logged

    def is_member(self) -> bool:
        """Whether the newest view that this process has adopted has it as a voter and in the chain."""
        views = list(self.events("view.adopted"))
        return bool(views) and self.name in views[-1]["chain"] and self.name in views[-1]["voters"]

    def active_version(self) -> int:
        """The version of the configuration that this dispatcher has activated last; 0 if none."""
        return max((logged["version"] for logged in self.events("configuration.activated")), default=0)


def route(name: str) -> dict[str, Any]:
    """A route of a configuration, whose path prefix has its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": "s",
        "retries": 1,
    }


@define
class ProcessCluster:
    """Control processes and dispatchers, and their operator."""

    folder: Path
    client: aiohttp.ClientSession
    ports: Ports = field(factory=Ports)
    cores: list[NodeProcess] = field(factory=list)  # those that are there now
    dispatchers: list[NodeProcess] = field(factory=list)
    retired: list[NodeProcess] = field(factory=list)  # control processes that were taken out
    version: int = 0  # of the last configuration that was acknowledged

    def seeds(self) -> list[str]:
        """The control addresses in the operator's list now."""
        return [core.control for core in self.cores]

    def add_core(self) -> NodeProcess:
        """Returns a new control process at a new address; it does not run yet."""
        number = len(self.cores) + len(self.retired) + 1
        core = NodeProcess(f"core-{number}", CORE_ADDRESS.format(number), self.folder, self.ports, True)
        self.cores.append(core)
        return core

    async def start(self, dispatchers: int) -> None:
        """Starts three control processes and the dispatchers with a first configuration."""
        for _ in range(3):
            self.add_core()
        for number in range(1, dispatchers + 1):
            ip = DISPATCHER_ADDRESS.format(number)
            self.dispatchers.append(NodeProcess(f"edge-{number}", ip, self.folder, self.ports, False))
        for node in (*self.cores, *self.dispatchers):
            node.write_settings(self.seeds(), bootstrap=True)
            await node.start()
        document = {"version": 1, "routes": [route("r-1")], "services": [{"name": "s"}]}
        await self._submit("PUT", document)
        for dispatcher in self.dispatchers:
            await wait_until(lambda node=dispatcher: node.active_version() == 1, START_TIMEOUT_S)  # type: ignore[misc]

    async def add_route(self) -> str:
        """Adds a route by a change, and returns the path once it is acknowledged."""
        name = f"r-{self.version + 1}"
        await self.change({"routes": [route(name)]})
        return f"/{name}/"

    async def change(self, upsert: dict[str, Any]) -> None:
        """Adds or replaces items of the configuration, and returns once that is acknowledged."""
        await self._submit("PATCH", {"version": self.version + 1, "upsert": upsert})

    async def _submit(self, method: str, change: dict[str, Any]) -> None:
        """Sends a change to one control process after the other until it is acknowledged."""
        deadline = steady() + START_TIMEOUT_S
        attempt = 0
        while True:
            assert steady() < deadline, "the change was not acknowledged"
            core = self.cores[attempt % len(self.cores)]
            attempt += 1
            with suppress(aiohttp.ClientError, TimeoutError):
                if await self._send(core, method, change) == 200:
                    self.version = change["version"]
                    return
            await asyncio.sleep(POLL_S)

    async def _send(self, core: NodeProcess, method: str, change: dict[str, Any]) -> int:
        async with self.client.request(
            method,
            f"http://{core.control}/api/config",
            data=json.dumps(change).encode(),
            headers={"If-Match": str(self.version)},
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        ) as response:
            return response.status

    async def replace_core(self, core: NodeProcess) -> None:
        """Takes a machine out for good and lets an empty one at a new address join instead."""
        await core.kill()
        self.cores.remove(core)
        self.retired.append(core)
        seeds = self.seeds()
        successor = self.add_core()
        successor.write_settings(seeds)
        await successor.start()
        await wait_until(successor.is_member, START_TIMEOUT_S)

    async def request(self, dispatcher: NodeProcess, path: str) -> int:
        """Sends a client's request and returns the status."""
        async with self.client.get(
            f"http://{dispatcher.frontend}{path}",
            headers={"Host": HOST, "X-Finchladder-Request-Id": "id-1", "X-Finchladder-Deadline-Ms": "500"},
        ) as response:
            return response.status

    async def stop(self) -> None:
        """Ends all processes."""
        for node in (*self.cores, *self.dispatchers, *self.retired):
            await node.kill()


@asynccontextmanager
async def process_cluster(folder: Path, dispatchers: int = 1) -> AsyncIterator[ProcessCluster]:
    """Runs a cluster of processes whose dispatchers route by version 1."""
    async with aiohttp.ClientSession() as client:
        cluster = ProcessCluster(folder, client)
        try:
            await cluster.start(dispatchers)
            yield cluster
        finally:
            await cluster.stop()


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> None:
    """Waits until the condition holds; fails after the timeout."""
    deadline = steady() + timeout_s
    while not condition():
        assert steady() < deadline, f"not within {timeout_s:g} s"
        await asyncio.sleep(POLL_S)
