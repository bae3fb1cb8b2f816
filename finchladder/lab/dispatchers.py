"""The dispatchers of a run: where they listen, what they are told, and their starts, ends and pauses."""

import asyncio
import contextlib
import io
import json
import os
import random
import signal
import socket
import subprocess
import tarfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from finchladder.lab.check import REPOSITORY, resolve
from finchladder.lab.experiment import Experiment
from finchladder.lab.processes import Child, LabError, start
from finchladder.lab.settings import config_file

if TYPE_CHECKING:
    from finchladder.lab.run import Run

PORT = 8081  # of every dispatcher, each at an address of its own: none is taken by an outgoing connection
OPEN_S = 30.0  # a dispatcher is healthy by then
FRONT_KNOWS_S = (0.2, 0.4)  # after SIGTERM new connections keep coming for so long, drawn each time
GRACE_S = 0.7  # SIGKILL comes no earlier than the longest deadline (3 s at the least) and this after SIGTERM
KILL_S = 15.0  # the kernel has ended a killed process by then
ASK_S = 0.5  # for discovery's answer about a dispatcher's last list
HEALTH_EVERY_S = 0.05
# of all that start at one time: 140 that were asked 20 times a second each kept the run from anything else
ASKED_A_SECOND = 200.0


def free_block(e: Experiment, fixed: str | None = None) -> list[str]:
    """A loopback address for each dispatcher, with the port free: 127.A.b.c, or counted up from `fixed`.

    LabError: there is none.
    """
    rng = random.Random()  # two runs at one time must not meet, so this is not the run's seed
    for _ in range(1 if fixed else 50):
        base = fixed or f"127.{rng.randrange(1, 255)}.0.1"
        number = int.from_bytes(socket.inet_aton(base), "big")
        hosts = [socket.inet_ntoa((number + i).to_bytes(4, "big")) for i in range(e.dispatchers)]
        try:
            for host in hosts:
                with socket.socket() as s:
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    s.bind((host, PORT))
        except OSError:
            continue
        return hosts
    raise LabError(f"no loopback addresses with port {PORT} free" + (f" from {fixed} on" if fixed else ""))


def check_out(revision: str, folder: Path) -> None:
    """The repository's files at that revision. An archive, not a worktree: git need not know of it."""
    commit = resolve(revision)
    assert commit is not None  # check.py has seen to it
    done = subprocess.run(["git", "-C", str(REPOSITORY), "archive", commit], capture_output=True, check=False)
    if done.returncode:
        raise LabError(f"git archive {revision}: {done.stderr.decode('utf-8', 'replace').strip()}")
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as tar:
        tar.extractall(folder, filter="data")


async def ask(address: str, path: str, patience_s: float) -> tuple[int, bytes]:
    """One GET by hand; the answer up to the connection's end. OSError, TimeoutError: there was none."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(patience_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n".encode())
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            status = int(head.split(b" ", 2)[1])
            length = head.partition(b"content-length:")[2].partition(b"\r\n")[0]
            return status, await (reader.readexactly(int(length)) if length.strip() else reader.read(1 << 20))
        except (ValueError, IndexError, EOFError, asyncio.LimitOverrunError) as e:
            raise OSError(f"no answer to {path}: {e}") from None
        finally:
            writer.close()


class Dispatcher:
    """One dispatcher over all its starts."""

    def __init__(self, run: "Run", index: int, host: str) -> None:
        self.run, self.index = run, index
        self.name, self.zone = f"n{index + 1}", run.e.zone_of(index)
        self.host, self.address = host, f"{host}:{PORT}"
        self.discovery = ""  # where it finds discovery
        self.asked = ""  # the same without a relay between
        self.etcd: list[str] = []  # URLs of its etcd, where there is one
        self.known: dict[str, Any] | None = None
        self.child: Child | None = None
        self.starts = 0
        self.busy = asyncio.Lock()  # one fault at a time ends and starts it
        self.rng = random.Random(f"{run.e.seed}/{self.name}/front")

    def write_config(self) -> Path:
        path = self.run.out / "config" / f"{self.name}.json"
        seed = random.Random(f"{self.run.e.seed}/{self.name}/{self.starts}").getrandbits(64)
        path.write_bytes(config_file(self.run.e, self.index, self.address, self.discovery, seed, self.known))
        return path

    def write_operator_file(self) -> str:
        """The experiment's own, with its etcd, peers, judgement; empty: there are none, it holds as it is."""
        peers = self.run.e.program.peers
        judgement = self.run.e.program.judgement
        if not self.etcd and peers is None and judgement is None:
            return ""
        given = self.run.e.program.config
        toml = given.lower().endswith(".toml")
        path = self.run.out / "config" / f"{self.name}.{'toml' if toml else 'ini'}"
        text = Path(given).read_text("utf-8") if given else ""
        if self.etcd:
            endpoints = json.dumps(self.etcd) if toml else ", ".join(self.etcd)
            text += f"\n[etcd]\nendpoints = {endpoints}\n"
        if peers is not None:
            file = str(self.run.peers)
            text += f"\n[peers]\nfile = {json.dumps(file) if toml else file}\n"
            text += "".join(f"{name} = {json.dumps(value)}\n" for name, value in peers.items())
        if judgement is not None:
            text += "\n[judgement]\n"
            for name, value in judgement.items():
                text += f"{name} = {json.dumps(value) if toml or not isinstance(value, str) else value}\n"
        path.write_text(text, "utf-8")
        return str(path)

    async def remember(self) -> None:
        """Its list as it has it now, for its next start; where discovery is silent, the last known."""
        if not self.asked:
            return
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            status, body = await ask(self.asked, "/catalog/members", ASK_S)
            if status == 200:
                self.known = json.loads(body)

    async def start(self) -> None:
        """Returns once it is healthy. LabError: it has ended, or is not after 30 s."""
        e = self.run.e
        await self.remember()
        config = self.write_config()
        log = self.run.out / "logs" / f"{self.name}.log"
        path = os.pathsep.join([str(self.run.tree), *filter(None, [os.environ.get("PYTHONPATH")])])
        env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")} | {
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.address,
            "NODE_DISCOVERY": self.discovery,
            "NODE_CONFIG": str(config),
            "PYTHONPATH": path,
        }
        if self.run.peers is not None:
            env["LAB_PEERS"] = str(self.run.peers)
        self.starts += 1
        self.run.struck("started", self.name)
        command = self.run.command(self.write_operator_file())
        child = await start(
            self.name,
            command,
            log,
            self.run.guard,
            env=env,
            folder=self.run.program_folder,
            sockets=e.program.sockets,
            cpus=e.program.cpus,
        )
        child.start, self.child = self.starts, child
        self.run.children.append(child)
        self.run.spawn(self._watch(child))
        end = time.monotonic() + OPEN_S
        self.run.starting += 1
        try:
            await self._healthy(child, end)
        finally:
            self.run.starting -= 1

    async def _healthy(self, child: Child, end: float) -> None:
        while time.monotonic() < end:
            if not child.running:
                raise LabError(f"{self.name} ended with status {child.process.returncode}: {child.tail()}")
            with contextlib.suppress(OSError, TimeoutError):
                if (await ask(self.address, "/_health", 1.0))[0] == 200:
                    self.run.tell_front("up", self.name)
                    return
            await asyncio.sleep(max(HEALTH_EVERY_S, self.run.starting / ASKED_A_SECOND))
        raise LabError(f"{self.name} is not healthy after {OPEN_S:g} s: {child.tail()}")

    async def _watch(self, child: Child) -> None:
        """Its end, where nobody wanted it: the run goes on, and it comes back if the file says so."""
        await child.process.wait()
        self.run.guard.ended(child.pid)
        if child.expected or self.run.over:
            return
        self.run.struck("died", self.name)
        self.run.show.line(f"{self.name} died with status {child.process.returncode}: {child.tail()}")
        self.run.tell_front("down", self.name)
        if (back := self.run.e.program.back_after_s) and self.run.went:
            async with self.busy:
                await asyncio.sleep(back)
                await self._again()

    def hold_to_memory(self) -> None:
        """As the platform does: SIGKILL to one that took more than its limit, and it has died by itself."""
        child, limit_mb = self.child, self.run.e.program.memory_mb
        if child is None or not child.running or child.expected or child.overfed:
            return
        if (peak := child.peak()) > limit_mb << 20:
            child.overfed = True
            self.run.struck("memory", self.name, f"{peak / 2**20:.0f} MB of {limit_mb}")
            child.signal(signal.SIGKILL)

    async def _again(self) -> None:
        try:
            await self.start()
        except LabError as error:
            self.run.struck("died", self.name)
            self.run.show.line(str(error))

    # --- faults

    async def kill(self, for_s: float) -> None:
        async with self.busy:
            child = self.child
            if child is not None and child.running:
                self.run.struck("kill", self.name)
                await child.end(signal.SIGKILL, KILL_S)
                self.run.tell_front("down", self.name)
            if for_s:
                await asyncio.sleep(for_s)
                await self._again()
                self.run.struck("kill", self.name, "end")

    async def restart(self, kind: str, for_s: float) -> None:
        async with self.busy:
            child = self.child
            if child is not None and child.running:
                self.run.struck(kind, self.name)
                longest = max(3.0, *(c.deadline_s for c in self.run.e.job_class))
                told = self.run.spawn(self._front_learns())
                if not await child.end(signal.SIGTERM, longest + GRACE_S):
                    self.run.struck(kind, self.name, "killed")
                await told
            await asyncio.sleep(for_s)
            await self._again()
            self.run.struck(kind, self.name, "end")

    async def _front_learns(self) -> None:
        await asyncio.sleep(self.rng.uniform(*FRONT_KNOWS_S))
        self.run.tell_front("down", self.name, planned=True)

    async def pause(self, for_s: float) -> None:
        async with self.busy:
            child = self.child
            if child is None or not child.running:
                return
            self.run.struck("pause", self.name)
            child.paused = True
            child.signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            child.signal(signal.SIGCONT)
            child.paused = False
            self.run.struck("pause", self.name, "end")
