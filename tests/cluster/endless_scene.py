"""Processes of the system with a worker whose responses never end, and what other clients get meanwhile.

`python -m tests.cluster.endless_scene` plays every form and prints the measurements as a table.
"""

import argparse
import asyncio
import itertools
import json
import os
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Any

import aiohttp
from attrs import define, field

from finchladder.cluster.transport.peers import steady
from tests.cluster.endless_callers import CallOutcome
from tests.cluster.endless_worker import Form, Part
from tests.cluster.node_processes import (
    HOST,
    MEMORY_MB,
    NodeProcess,
    ProcessCluster,
    process_cluster,
    route,
)
from tests.peers import ROOT

HEARTBEAT_S = 0.2
SAMPLE_S = 0.02
PROBE_INTERVAL_S = 0.05
PROBE_DEADLINE_MS = 3000
CALLERS = 8
SERVICE_TIMEOUT_S = 10.0
COLUMNS = (
    *("form", "status", "part", "route", "core MB", "dispatcher MB", "killed", "others served"),
    *("p50 s", "p99 s", "longest readiness check s", "calls by status"),
)
TCP_TABLE = Path("/proc/net/tcp")
MODEL = "m"  # is loaded nowhere, so the placer orders it
ENGINE = {
    "slots": 8,
    "kv_cache_tokens": 100000,
    "models": [{"name": MODEL, "weights_mb": 1000, "load_s": 0.2, "adapters": 0}],
    "weights_mb": 8000,
    "lora_slots": 2,
    "load_rate_s": 10,
}
ROUTE_KINDS: dict[str, dict[str, Any]] = {
    "idempotent": {"kind": "idempotent"},
    "non-idempotent": {"kind": "non_idempotent"},
    "stream": {"kind": "streaming"},
    "resumable": {"kind": "streaming", "resumable": True, "retries": 2},
}


@define
class Measurement:
    """What was seen while a worker sent responses without end.

    Attributes:
        peak_mb: Largest memory of each process with its unread received bytes, in MB.
        probe_times: Duration of each successful call of another client, in seconds.
        probe_statuses: Number of calls of other clients by status; 0 stands for no response.
        readiness_times: Durations of the readiness checks, in seconds.
        killed: Names of the processes that exceeded their memory limit.
        calls: Outcomes of the calls to the faulty worker.
    """

    peak_mb: dict[str, float] = field(factory=dict)
    probe_times: list[float] = field(factory=list)
    probe_statuses: Counter[int] = field(factory=Counter)
    readiness_times: list[float] = field(factory=list)
    killed: list[str] = field(factory=list)
    calls: list[CallOutcome] = field(factory=list)

    def quantile_s(self, fraction: float) -> float:
        """A quantile of the durations of other clients' calls."""
        times = sorted(self.probe_times) or [float("inf")]
        return times[min(len(times) - 1, int(fraction * len(times)))]

    @property
    def served_fraction(self) -> float:
        """Fraction of other clients' calls that were served."""
        return self.probe_statuses[200] / max(1, self.probe_statuses.total())


@define
class EndlessScene:
    """A cluster with one faulty worker and one sound worker, each of its own service."""

    cluster: ProcessCluster
    form: Form
    status: int
    part: Part
    kind: str
    measurement: Measurement = field(factory=Measurement)
    _addresses: dict[str, str] = field(factory=dict)  # of the workers, by service
    _sequence: int = 1  # of the last heartbeat

    async def play(self, seconds: float, callers: int = CALLERS) -> Measurement:
        """Lets clients call both workers for some seconds."""
        async with AsyncExitStack() as stack:
            await self._start_worker(stack, "endless", self.form, self.part)
            await self._start_worker(stack, "sound", None, None)
            await self._configure()
            await asyncio.wait_for(self._wait_until_served(), SERVICE_TIMEOUT_S)
            background = [
                asyncio.create_task(self._send_heartbeats()),
                asyncio.create_task(self._sample_memory()),
                asyncio.create_task(self._check_readiness()),
            ]
            try:
                await asyncio.sleep(2 * HEARTBEAT_S)
                await asyncio.gather(self._call(seconds, callers), self._probe(seconds))
            finally:
                for task in background:
                    task.cancel()
        return self.measurement

    async def _start_worker(
        self, stack: AsyncExitStack, service: str, form: Form | None, part: Part | None
    ) -> None:
        """Starts a worker process, which ends with `stack`, and sends its first heartbeat."""
        arguments = () if form is None or part is None else (form.value, str(self.status), part.value)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.cluster.endless_worker", *arguments),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )

        async def end() -> None:
            process.kill()
            await process.wait()

        stack.push_async_callback(end)
        assert process.stdout is not None
        self._addresses[service] = (await process.stdout.readline()).decode().strip()
        await self._send_heartbeat(service)

    async def _configure(self) -> None:
        services: list[dict[str, Any]] = [{"name": "sound"}, {"name": "endless"}]
        if self.part in (Part.REPORT, Part.ORDER):
            services[1]["engine"] = ENGINE
        routes = [
            {**route("sound"), "service": "sound", "timeout_ms": 3000},
            {**route("endless"), **ROUTE_KINDS[self.kind], "service": "endless", "timeout_ms": 3000},
        ]
        await self.cluster.change({"routes": routes, "services": services})

    async def _wait_until_served(self) -> None:
        while await self.cluster.request(self.cluster.dispatchers[0], "/sound/") != 200:
            await self._send_heartbeat("sound")
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _send_heartbeats(self) -> None:
        while True:
            for service in self._addresses:
                await self._send_heartbeat(service)
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_heartbeat(self, service: str) -> None:
        """Sends a heartbeat to one control process after the other until one acknowledges it."""
        self._sequence += 1
        heartbeat = {
            "service": service,
            "address": self._addresses[service],
            "zone": "z",
            "slots": 64,
            "sequence": self._sequence,
        }
        body = json.dumps(heartbeat)
        for core in self.cluster.cores:
            url = f"http://{core.control}/api/instances/i-{service}"
            with suppress(aiohttp.ClientError, TimeoutError):
                timeout = aiohttp.ClientTimeout(total=1)
                async with self.cluster.client.put(url, data=body, timeout=timeout) as response:
                    if response.status == 200:
                        return

    async def _call(self, seconds: float, callers: int) -> None:
        """Runs clients that call the faulty worker, in a process of their own."""
        arguments = (
            *(self.cluster.dispatchers[0].frontend, HOST, "/endless/", str(callers), str(seconds)),
            str(PROBE_DEADLINE_MS),
            *([MODEL] if self.part in (Part.REPORT, Part.ORDER) else []),
        )
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.cluster.endless_callers", *arguments),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        self.measurement.calls = [CallOutcome(**json.loads(line)) for line in output.splitlines()]

    async def _probe(self, seconds: float) -> None:
        """Calls the sound worker at a constant rate, whatever happens to earlier calls."""
        ends_at = steady() + seconds
        pending = []
        while steady() < ends_at:
            pending.append(asyncio.create_task(self._probe_once()))
            await asyncio.sleep(PROBE_INTERVAL_S)
        await asyncio.gather(*pending)

    async def _probe_once(self) -> None:
        began_at = steady()
        status = 0
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            timeout = aiohttp.ClientTimeout(total=PROBE_DEADLINE_MS / 1000)
            headers = {
                "Host": HOST,
                "X-Finchladder-Request-Id": f"probe-{began_at}",
                "X-Finchladder-Deadline-Ms": str(PROBE_DEADLINE_MS),
            }
            url = f"http://{self.cluster.dispatchers[0].frontend}/sound/"
            async with self.cluster.client.get(url, headers=headers, timeout=timeout) as response:
                await response.read()
                status = response.status
        self.measurement.probe_statuses[status] += 1
        if status == 200:
            self.measurement.probe_times.append(steady() - began_at)

    async def _check_readiness(self) -> None:
        dispatcher = self.cluster.dispatchers[0]
        url = f"http://{dispatcher.ip}:{dispatcher.ports.readiness}/api/readyz"
        while True:
            began_at = steady()
            with suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self.cluster.client.get(url, timeout=aiohttp.ClientTimeout(total=5)):
                    pass
            self.measurement.readiness_times.append(steady() - began_at)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _sample_memory(self) -> None:
        """Records the memory of all processes; kills and restarts those that exceed the limit."""
        while True:
            for node in (*self.cluster.cores, *self.cluster.dispatchers):
                memory_mb = memory_of(node)
                self.measurement.peak_mb[node.name] = max(
                    memory_mb, self.measurement.peak_mb.get(node.name, 0.0)
                )
                if memory_mb > MEMORY_MB:
                    self.measurement.killed.append(node.name)
                    await node.kill()
                    await node.start()
            await asyncio.sleep(SAMPLE_S)


def memory_of(node: NodeProcess) -> float:
    """Resident memory of a process with its received bytes that are still unread, in MB."""
    process = node.process
    if process is None or process.returncode is not None:
        return 0.0
    with suppress(OSError):
        pages = int(Path(f"/proc/{process.pid}/statm").read_text(encoding="ascii").split()[1])
        return (pages * os.sysconf("SC_PAGE_SIZE") + sum(unread_bytes(node.ip))) / 1e6
    return 0.0


def unread_bytes(ip: str) -> Iterator[int]:
    """Yields the number of unread bytes of each TCP connection of an address."""
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    for line in TCP_TABLE.read_text(encoding="ascii").splitlines()[1:]:
        _, address, _, _, queues, *_ = line.split()
        if address.startswith(local):
            yield int(queues.partition(":")[2], 16)


async def play(
    folder: Path,
    form: Form,
    status: int = 200,
    part: Part = Part.REQUEST,
    kind: str = "idempotent",
    seconds: float = 3.0,
) -> Measurement:
    """Runs a cluster with such a worker, and returns the measurement."""
    async with process_cluster(folder) as cluster:
        return await EndlessScene(cluster, form, status, part, kind).play(seconds)


async def _print_table(options: argparse.Namespace) -> None:
    """Plays all combinations of the options, and prints a row for each."""
    _print_row(COLUMNS)
    _print_row(["---"] * len(COLUMNS))
    for part, form, status in itertools.product(options.part, options.form, options.status):
        for kind in options.kind if part == Part.REQUEST.value else options.kind[:1]:
            with tempfile.TemporaryDirectory() as folder:
                measured = await play(Path(folder), Form(form), status, Part(part), kind, options.seconds)
            _print_row([form, str(status), part, kind, *_cells(measured)])


def _cells(measured: Measurement) -> list[str]:
    """Returns the cells of a row of the table that contain measurements."""
    core_mb = max(memory_mb for name, memory_mb in measured.peak_mb.items() if name.startswith("core"))
    calls = Counter(f"{call.status}{'' if call.is_complete else ' cut'}" for call in measured.calls)
    return [
        f"{core_mb:.0f}",
        f"{measured.peak_mb['edge-1']:.0f}",
        str(len(measured.killed)),
        f"{measured.probe_statuses[200]} of {measured.probe_statuses.total()}",
        f"{measured.quantile_s(0.5):.3f}",
        f"{measured.quantile_s(0.99):.3f}",
        f"{max(measured.readiness_times):.3f}",
        ", ".join(f"{outcome}: {number}" for outcome, number in sorted(calls.items())),
    ]


def _print_row(cells: Sequence[str]) -> None:
    print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--form", nargs="+", default=[form.value for form in Form])
    parser.add_argument("--status", nargs="+", type=int, default=[200, 500])
    parser.add_argument("--part", nargs="+", default=[part.value for part in Part])
    parser.add_argument("--kind", nargs="+", default=list(ROUTE_KINDS))
    parser.add_argument("--seconds", type=float, default=8.0)
    asyncio.run(_print_table(parser.parse_args()))
