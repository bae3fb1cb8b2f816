"""The processes of a run: started so that they end with the orchestrator, spoken to, measured from outside.

A process of the lab ends when its standard input does; besides, `guard.py` sends every child SIGKILL when
the orchestrator dies, however it dies. Each has a process group of its own: Ctrl-C reaches the orchestrator
alone.
"""

import asyncio
import contextlib
import os
import resource
import signal
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from finchladder.lab.control import Order, Plan, Word
from finchladder.lab.guard import Guard
from finchladder.lab.records import Sample

MOST_LINE = 64 << 20  # bytes of one word: the addresses of all real servers of a process
TAIL = 2000  # bytes of a log that are looked at for the reason of a failure
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class LabError(Exception):
    """The run can't go on; the message is one line."""


class Child:
    """One process. `died` is called when it ends while nobody has said that it should."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.process, self.log = name, process, log
        self.pid = process.pid
        self.start = 0  # counts the starts of a dispatcher
        self.expected = False  # its end is wanted
        self.paused = False
        self.overfed = False  # killed, as it took more memory than it may

    @property
    def running(self) -> bool:
        return self.process.returncode is None

    def signal(self, number: int) -> None:
        """To its whole group: what it started goes with it."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, number)

    async def end(self, number: int, patience_s: float) -> bool:
        """Sends the signal and waits; after `patience_s` SIGKILL. True: it ended by itself in time."""
        self.expected = True
        self.signal(number)
        if self.paused:
            self.signal(signal.SIGCONT)
        try:
            await asyncio.wait_for(self.process.wait(), patience_s)
            return True
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
            return False

    def tail(self) -> str:
        """The last line of its log."""
        try:
            with open(self.log, "rb") as file:
                file.seek(0, os.SEEK_END)
                file.seek(max(0, file.tell() - TAIL))
                lines = file.read().decode("utf-8", "replace").strip().splitlines()
        except OSError:
            return ""
        return lines[-1].strip() if lines else ""

    def sample(self, now: float) -> Sample | None:
        """None: it is gone."""
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_bytes().rpartition(b")")[2].split()
            pages = int(Path(f"/proc/{self.pid}/statm").read_bytes().split()[1])
            fds = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return None
        cpu = (int(stat[11]) + int(stat[12])) / TICKS  # utime and stime
        return Sample(self.name, now, cpu, pages * PAGE, fds, self.start)

    def peak(self) -> int:
        """Bytes that were resident at most since its start; 0: it is gone."""
        try:
            lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
            return next(int(line.split()[1]) << 10 for line in lines if line.startswith("VmHWM:"))
        except (OSError, StopIteration):
            return 0


async def start(
    name: str,
    command: Sequence[str],
    log: Path,
    guard: Guard,
    *,
    env: dict[str, str] | None = None,
    folder: Path | None = None,
    sockets: int | None = None,
    cpus: Sequence[int] = (),
    speaks: bool = False,
) -> Child:
    """`speaks`: standard input and output are the lab's. LabError: it can't be started."""
    async with guard.turn:
        with open(log, "ab") as file:
            try:
                process = await asyncio.create_subprocess_exec(
                    *command,
                    stdin=asyncio.subprocess.PIPE if speaks else asyncio.subprocess.DEVNULL,
                    stdout=asyncio.subprocess.PIPE if speaks else file,
                    stderr=file,
                    env=env,
                    cwd=folder,
                    limit=MOST_LINE,
                    start_new_session=True,
                )
            except OSError as e:
                raise LabError(f"{name}: {command[0]} can't be started: {e}") from None
        # from here, as a child that runs anything between fork and exec is not started by vfork: see guard.py
        guard.started(process.pid)
        with contextlib.suppress(ProcessLookupError):
            hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            most = hard if sockets is None else sockets
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (most, most))
            if cpus:
                os.sched_setaffinity(process.pid, cpus)
    return Child(name, process, log)


class Player:
    """A process of the lab: takes a plan and orders, says words."""

    def __init__(self, child: Child, heard: Callable[["Player", Word], None]) -> None:
        self.child, self.name, self.heard = child, child.name, heard
        self.ready: asyncio.Queue[Any] = asyncio.Queue()  # the data of its `ready` words
        self.done = asyncio.Event()
        self.failed = ""
        self.reader = asyncio.get_running_loop().create_task(self._read())

    @classmethod
    async def begin(
        cls,
        plan: Plan,
        log: Path,
        heard: Callable[["Player", Word], None],
        guard: Guard,
        module: Sequence[str] = (),
    ) -> "Player":
        command = [sys.executable, "-m", *(module or ("finchladder.lab.drivers", plan.role))]
        player = cls(await start(plan.name, command, log, guard, speaks=True), heard)
        player._write(msgspec.json.encode(plan))
        return player

    def _write(self, line: bytes) -> None:
        stdin = self.child.process.stdin
        assert stdin is not None
        if not stdin.is_closing():
            stdin.write(line + b"\n")

    def order(self, order: Order) -> None:
        self._write(msgspec.json.encode(order))

    async def _read(self) -> None:
        stdout = self.child.process.stdout
        assert stdout is not None
        while line := await stdout.readline():
            try:
                word = msgspec.json.decode(line, type=Word)
            except msgspec.MsgspecError:
                word = Word("failed", text=f"{self.name} said what is no word: {line[:80]!r}")
            if word.what == "ready":
                self.ready.put_nowait(word.data)
            elif word.what == "failed":
                self.failed = self.failed or word.text
            elif word.what == "done":
                self.done.set()
            self.heard(self, word)
        status = await self.child.process.wait()
        if status and not self.child.expected and not self.failed:
            self.failed = f"{self.name} ended with status {status}: {self.child.tail()}"
        if not self.child.expected:
            self.heard(self, Word("failed", text=self.failed or f"{self.name} ended early"))
        self.done.set()

    async def opened(self, patience_s: float) -> Any:
        """The data of its next `ready`. LabError: it failed, or said nothing."""
        waiting = asyncio.ensure_future(self.ready.get())
        either = {waiting, self.reader}
        done, _ = await asyncio.wait(either, timeout=patience_s, return_when=asyncio.FIRST_COMPLETED)
        if waiting in done:
            return waiting.result()
        waiting.cancel()
        raise LabError(self.failed or f"{self.name} is not ready after {patience_s:g} s: {self.child.tail()}")

    async def stop(self, patience_s: float) -> bool:
        """Orders it to stop, and waits; True: it flushed its ledger and ended by itself."""
        self.child.expected = True
        self.order(Order("stop"))
        try:
            await asyncio.wait_for(self.child.process.wait(), patience_s)
        except TimeoutError:
            self.child.signal(signal.SIGKILL)
            await self.child.process.wait()
            return False
        return self.child.process.returncode == 0


def clock() -> tuple[float, float]:
    """Now on the monotonic clock, and what wall time has over it."""
    now = time.monotonic()
    return now, time.time() - now
