"""What a dispatcher that follows an etcd takes: memory, time to its first list, CPU as the list changes.

    .venv/bin/python benchmarks/etcd_serve.py [--sizes 1000,10000] [--rounds 3] [--changes 100] [--for-s 20]

The program as it is deployed, beside the lab's stand-in (its interpreter: --lab, with the lab's packages) and
a discovery that tells the same list. Off: no [etcd], the list comes by discovery. Resident memory is read
from /proc; CPU is the process's own, less what it takes while nothing changes. One process at a time.
"""

import argparse
import asyncio
import json
import os
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from finchladder.config.endpoint_list import ServiceEntry
from finchladder.config.options import EtcdOptions
from finchladder.net.etcd.client import Client, EtcdError

ROOT = Path(__file__).resolve().parent.parent
TICK = os.sysconf("SC_CLK_TCK")
REST_S, REST_CPU_S = 2.0, 0.2  # at rest: no more CPU than that in so long, questions included


class Seen(NamedTuple):
    ready_s: float  # from the process's start to a list in use
    whole_s: float  # to all of it applied: the process is at rest from then on
    late_ms: float  # the longest that a question for its health took until then
    rss_mb: float
    peak_mb: float
    cpu_s: float  # from its start to there
    idle: float  # of a core, while nothing changes
    changing: float  # of a core, less that


def free_port() -> int:
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return int(s.getsockname()[1])


def entries(count: int) -> list[ServiceEntry]:
    return [
        ServiceEntry(
            f"w{n:05}", f"127.0.0.{n % 250 + 1}:{9000 + n // 250}", "ready", "a", "std", since_ms=1.0
        )
        for n in range(count)
    ]


def memory(pid: int) -> tuple[float, float]:
    lines = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    return tuple(int(lines[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM"))  # type: ignore[return-value]


def cpu(pid: int) -> float:
    stat = Path(f"/proc/{pid}/stat").read_bytes().rpartition(b")")[2].split()
    return (int(stat[11]) + int(stat[12])) / TICK


async def discovery(port: int, line: bytes) -> asyncio.Server:
    async def watched(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        data = line + b"\n"
        try:
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                await writer.drain()
                data = b"\n"
                await asyncio.sleep(2.0)
        except ConnectionError:
            writer.close()

    return await asyncio.start_server(watched, "127.0.0.1", port)


async def healthy(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.write(b"GET /_health HTTP/1.1\r\n\r\n")
    status = (await reader.readline()).split()[1:2]
    writer.close()
    return status == [b"200"]


async def at_rest(pid: int, listen: int) -> tuple[float, float]:
    """When it came to rest, slices of a long list being applied until then; its longest answer, in ms."""
    late, used, since = 0.0, cpu(pid), time.monotonic()
    while time.monotonic() < since + REST_S:
        asked = time.monotonic()
        await healthy(listen)
        late = max(late, time.monotonic() - asked)
        await asyncio.sleep(0.01)
        if cpu(pid) > used + REST_CPU_S:
            used, since = cpu(pid), time.monotonic()
    return since, 1000 * late


async def node(
    folder: Path,
    listen: int,
    found: int,
    config: str,
    change: Callable[[float], Awaitable[None]],
    for_s: float,
) -> Seen:
    (folder / "config.json").write_bytes((ROOT / "examples/config.json").read_bytes())
    (folder / "operator.ini").write_text(config)
    env = os.environ | {
        "NODE_NAME": "n1",
        "NODE_LISTEN": f"127.0.0.1:{listen}",
        "NODE_DISCOVERY": f"127.0.0.1:{found}",
        "NODE_CONFIG": str(folder / "config.json"),
    }
    command = [sys.executable, "-m", "finchladder", "--config", str(folder / "operator.ini")]
    begin = time.monotonic()
    with (folder / "log").open("ab") as log:
        process = await asyncio.create_subprocess_exec(*command, env=env, cwd=ROOT, stderr=log)
    try:
        while not await healthy(listen):
            await asyncio.sleep(0.01)
        ready = time.monotonic() - begin
        whole, late = await at_rest(process.pid, listen)
        used, whole = cpu(process.pid), whole - begin
        await asyncio.sleep(5.0)
        idle = (cpu(process.pid) - used) / 5.0
        before, at = cpu(process.pid), time.monotonic()
        await change(for_s)
        changing = (cpu(process.pid) - before) / (time.monotonic() - at) - idle
        return Seen(ready, whole, late, *memory(process.pid), used, idle, changing)
    finally:
        process.kill()
        await process.wait()


async def played(lab: str, size: int, changes: int, for_s: float) -> dict[str, Seen]:
    port, listen, found = free_port(), free_port(), free_port()
    url = f"http://127.0.0.1:{port}"
    all_of_them = entries(size)
    etcd = await asyncio.create_subprocess_exec(
        lab, "-m", "finchladder.lab.etcd", "--port", str(port), cwd=ROOT, stdout=asyncio.subprocess.DEVNULL
    )
    client = Client(EtcdOptions(endpoints=[url]), asyncio.to_thread)
    listed = [
        {
            "name": e.name,
            "address": e.address,
            "zone": e.zone,
            "type": e.type,
            "status": e.status,
            "since_ms": 1.0,
            "group": 0,
            "weight": 1.0,
        }
        for e in all_of_them
    ]
    line = json.dumps({"index": 1, "snapshot": True, "endpoints": listed}).encode()
    server = await discovery(found, line)
    seen = {}
    try:
        while True:
            try:
                await client.put_all(all_of_them)
                break
            except EtcdError:
                await asyncio.sleep(0.1)

        async def change(seconds: float) -> None:
            begin = time.monotonic()
            for n in range(int(changes * seconds)):
                await asyncio.sleep(begin + n / changes - time.monotonic())
                name = all_of_them[n // 2 * 7 % size].name
                await (client.delete("drain", name) if n % 2 else client.drain(name))

        async def nothing(seconds: float) -> None:
            await asyncio.sleep(1.0)

        with tempfile.TemporaryDirectory() as folder:
            where = Path(folder)
            seen["off"] = await node(where, listen, found, "", nothing, for_s)
            seen["on"] = await node(where, listen, found, f"[etcd]\nendpoints = {url}\n", change, for_s)
    finally:
        client.close()
        server.close()
        etcd.kill()
        await etcd.wait()
    return seen


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--sizes", default="1000,10000")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--changes", type=int, default=100, help="a second")
    parser.add_argument("--for-s", type=float, default=20.0)
    parser.add_argument("--lab", default=sys.executable, help="interpreter with the lab's packages")
    args = parser.parse_args()
    for size in map(int, args.sizes.split(",")):
        rounds = [asyncio.run(played(args.lab, size, args.changes, args.for_s)) for _ in range(args.rounds)]
        for which in ("off", "on"):
            shown = []
            for n, name in enumerate(Seen._fields):
                values = sorted(r[which][n] for r in rounds)
                shown.append(f"{name} {statistics.median(values):.3f} [{values[0]:.3f}, {values[-1]:.3f}]")
            load = os.getloadavg()[0]
            print(f"{size:6} entries, {which:3}: {', '.join(shown)}; load {load:.1f}", flush=True)


if __name__ == "__main__":
    main()
