"""A simulated dispatcher process: the program's own node on a virtual loop, sockets and clocks."""

import asyncio
import itertools
import signal
from collections.abc import Callable
from functools import partial
from socket import socket as Socket
from typing import TYPE_CHECKING, Any, Literal, cast

from finchladder.config.findings import FindingsError
from finchladder.config.operator_file import Loaded, load
from finchladder.config.options import CaptureOptions, Options
from finchladder.config.platform import DispatcherSetup, read_setup
from finchladder.core.routing.routes import NO_ROUTES
from finchladder.lab.settings import config_file
from finchladder.net import http1
from finchladder.net.host_environment import Disk, HostEnvironment
from finchladder.net.node import DispatcherNode, OperatorFile
from finchladder.sim.draws import stream
from finchladder.sim.loop import VirtualLoop
from finchladder.sim.sockets import VirtualSocket

if TYPE_CHECKING:
    from finchladder.sim.run import Run

PORT = 8081
EMPTY = Loaded(Options(), NO_ROUTES, "none")
GRACE_S = 0.7  # SIGKILL comes this long after SIGTERM plus the longest deadline (at least 3 s)
MAX_FINAL_TURNS = 200  # loop turns in which all cancelled tasks must end


class MemoryDisk(Disk):
    """A disk for capture files that keeps the last two files in memory."""

    def __init__(self) -> None:
        self.files: list[list[bytes]] = []

    def open(self, data: bytes) -> bool:
        self.files = [*self.files[-1:], [data]]
        return True

    def write(self, data: bytes) -> bool:
        if not self.files:
            return False
        self.files[-1].append(data)
        return True

    def close(self) -> None:
        pass


class Process:
    """One dispatcher over all its starts.

    Its `state` goes from down to up, to leaving and back to down; a kill skips leaving. `stopped` tells
    whether a process that is up or leaving is paused.
    """

    def __init__(self, run: "Run", index: int) -> None:
        e = run.plan.experiment
        self.run, self.index = run, index
        self.name, self.zone = f"n{index + 1}", e.zones[index % len(e.zones)]
        self.ip = f"10.0.0.{index + 1}"
        run.net.hosts[self.ip] = self.name
        self.state: Literal["down", "up", "leaving"] = "down"
        self.stopped = False
        self.starts = 0
        self.wall_offset_s = 0.0
        self.slowdown = 1.0
        self.loop: VirtualLoop | None = None
        self.node: DispatcherNode | None = None
        self.main: asyncio.Task[None] | None = None
        self.machine = HostEnvironment()
        self.dead_loops: list[VirtualLoop] = []
        self.sigterm_at = 0.0
        self.on_exit: Callable[[], None] = lambda: None
        self.on_node_created: Callable[[DispatcherNode], None] = lambda node: None

    @property
    def address(self) -> tuple[str, int]:
        return self.ip, PORT

    @property
    def is_up(self) -> bool:
        return self.state != "down"

    # --- start and end

    def start(self) -> None:
        run = self.run
        self.starts += 1
        self.state, self.stopped, self.slowdown = "up", False, 1.0
        self.wall_offset_s = (
            0.0  # the machines' clocks agree when a process starts; a fault may shift one while it runs
        )
        random = stream(run.plan.seed, "process", self.name, self.starts)
        most = run.plan.world.pace_s

        def pace() -> float:
            return most * self.slowdown * random.random()

        self.loop = loop = VirtualLoop(run.kernel, pace, random, self._failed)
        loop.after_turn = partial(run.turned, self)
        if run.before_turn is not None:
            loop.before_turn = partial(run.before_turn, self)
        loop.fired = partial(run.step, "timer", self.name)
        since = 1000.0 * random.random()  # each machine's monotonic clock starts elsewhere
        kernel, wall = run.kernel, run.plan.world.wall
        self.machine = HostEnvironment(
            wall=lambda: wall + kernel.now + self.wall_offset_s,
            cpu=lambda: 0.0,  # a turn takes no time
            run_in_thread=self._run_inline,
            monotonic=lambda: since + kernel.now,
            listen=self._listen,
            allow_descriptors=lambda sockets: None,
            connect=partial(http1.connect, make=self._socket),
            open_capture_files=self._open_capture,
        )
        setup, options = self.setup(), self.run.options
        run.record_fault("started", self.name)
        run.trace_event("start", node=self.name, servers=len(run.registry.known[self.name]))
        self.main = loop.create_task(self._live(setup, options))
        run.moment("start", node=self.name)

    def setup(self) -> DispatcherSetup:
        run = self.run
        seed = stream(run.plan.seed, "seed", self.name, self.starts).getrandbits(64)
        known, registry = run.registry.last_list(self.name), run.registry.address(self.name)
        data = config_file(run.plan.experiment, self.index, f"{self.ip}:{PORT}", registry, seed, known)
        env = {"NODE_NAME": self.name, "NODE_LISTEN": f"{self.ip}:{PORT}", "NODE_CONFIG": "virtual"}
        return read_setup(env, lambda path: data)

    async def _live(self, setup: DispatcherSetup, options: Options) -> None:
        reads, texts = itertools.count(), self.run.plan.world.routes

        def read() -> Loaded:
            found = load(texts[next(reads) % len(texts)], "routes.toml", setup.settings)
            if isinstance(found, FindingsError):
                raise found
            return found

        file: OperatorFile | None = None
        if texts:
            first = load(texts[0], "routes.toml", setup.settings)
            file = OperatorFile(first if isinstance(first, Loaded) else EMPTY, read)
        self.node = node = DispatcherNode(setup, options, self.setup, self.machine, file)
        self.on_node_created(node)
        await node.serve()

    def _failed(self, message: str, error: BaseException | None) -> None:
        self.run.logged(self, "ERROR", f"asyncio: {message}", error)

    def signal(self, number: int) -> None:
        if self.state == "down" or self.loop is None:
            return
        if number == signal.SIGTERM:
            self.sigterm_at = self.run.kernel.now
            self.state = "leaving"
        if not self.loop.signal(number) and number == signal.SIGTERM:
            self.kill()

    def kill(self) -> None:
        """Simulates SIGKILL: stops the loop and resets all connections."""
        if self.state == "down":
            return
        assert self.loop is not None
        self.state, self.stopped = "down", False
        self.loop.kill()
        self._clean_up()

    def exited(self) -> None:
        """Ends a process whose main task returned: cancels the remaining tasks as asyncio.run does."""
        assert self.loop is not None
        loop = self.loop
        for task in loop.tasks():
            loop.call_in_loop(task.cancel)
        loop.after_turn = lambda: None
        if not loop.run_until_done(MAX_FINAL_TURNS):
            names = ", ".join(sorted({task.get_name() for task in loop.tasks()}))
            self.run.report_violation(
                "task", f"tasks do not end when they are cancelled: {names}", node=self.name
            )
        self.state, self.stopped = "down", False
        loop.kill()
        self._clean_up()
        self.on_exit()

    def _clean_up(self) -> None:
        assert self.loop is not None
        net = self.run.net
        for listener in [x for x in net.listeners.values() if x.host == self.name]:
            listener.listening.close()  # type: ignore[attr-defined]
        for end in net.ends_of(self.name):
            end.reset()
        self.dead_loops.append(self.loop)

    def pause(self) -> None:
        if self.state != "down" and not self.stopped and self.loop is not None:
            self.stopped = True
            self.loop.stop_turns()
            self.run.record_fault("pause", self.name)

    def go_on(self) -> None:
        if self.stopped and self.loop is not None:
            self.stopped = False
            self.run.record_fault("pause", self.name, "end")
            self.loop.go_on()

    # --- the host environment of the program

    def _socket(self, family: int) -> Socket:
        assert self.loop is not None
        found = VirtualSocket(self.loop, self.run.net, self.name, self.ip, self.loop.descriptor())
        return cast(Socket, found)

    def _listen(self, address: tuple[str, int], sockets: int) -> list[Socket]:
        socket = cast(VirtualSocket, self._socket(0))
        socket.listener = self.run.net.listen(self.name, address, socket)
        return [cast(Socket, socket)]

    async def _run_inline(self, call: Callable[[], Any]) -> Any:
        return call()

    def _open_capture(self, options: CaptureOptions, name: str, start_ms: int) -> Disk | None:
        return MemoryDisk() if options.folder is not None else None
