"""The virtual network and sockets: the events at each side, and a comparison with real sockets."""

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Any, cast

import pytest

from finchladder.lab.models.kernel import Kernel
from finchladder.net.host_environment import listen
from finchladder.net.http1 import Channel, Stream, StreamClosedError, connect, server_parser
from finchladder.sim.draws import stream
from finchladder.sim.loop import VirtualLoop
from finchladder.sim.network import CONNECT_RETRY_TIMES_S, End, Handler, LinkSettings, Network
from finchladder.sim.sockets import VirtualSocket

HERE = ("10.0.0.1", 80)
BEGIN = 0.5  # seconds until connections are established


class Side(Handler):
    """Logs each event with its time; reads data on arrival unless `reads` is False."""

    def __init__(self, kernel: Kernel, reads: bool = True) -> None:
        self.kernel, self.reads = kernel, reads
        self.log: list[tuple[float, str]] = []
        self.end: End | None = None

    def note(self, what: str) -> None:
        self.log.append((round(self.kernel.now, 6), what))

    def connected(self, end: End) -> Handler:
        self.end = end
        self.note("connected")
        return self

    def opened(self, end: End) -> None:
        self.note("opened")

    def refused(self, end: End) -> None:
        self.note("refused")

    def space_available(self, end: End) -> None:
        self.note("room")

    def arrived(self, end: End) -> None:
        while self.reads:
            try:
                data = end.read(1000)
            except BlockingIOError:
                return None
            except OSError as e:
                return self.note(errno.errorcode[e.errno or 0])
            self.note(data.decode() or "end")
            if not data:
                return None


class Pair:
    """A client side and a server side over a network with 1 ms latency one way."""

    def __init__(self, reads: bool = True, **manners: Any) -> None:
        self.kernel = Kernel()
        how = LinkSettings(**{"latency_s": 0.001, "jitter": 0.0, "reset_drops": 0.0} | manners)
        self.net = Network(self.kernel, 1, lambda a, b: how, lambda kind, end, size: None)
        self.net.hosts[HERE[0]] = "server"
        self.client, self.server = Side(self.kernel), Side(self.kernel, reads)
        self.listener = self.net.listen("server", HERE, self.server)

    def connect(self) -> tuple[End, End]:
        end = self.net.connect("client", "10.0.0.2", HERE, self.client)
        self.kernel.run(BEGIN)
        assert self.server.end is not None
        for side in (self.client, self.server):
            side.log.clear()
        return end, self.server.end

    def after(self, until: float = 60.0) -> tuple[list[tuple[float, str]], list[tuple[float, str]]]:
        """What client and server were told, with times from the connect's end on."""
        self.kernel.run(until)
        return tuple([(round(t - BEGIN, 6), what) for t, what in s.log] for s in (self.client, self.server))  # type: ignore[return-value]


def silence_then_heal(p: Pair, a: End, b: End) -> None:
    p.net.silence(a)
    a.write(b"x")
    p.kernel.after(2.0, lambda: p.net.heal(a))


def close_with_bytes_unread(p: Pair, a: End, b: End) -> None:
    a.write(b"unread")
    p.kernel.after(0.005, b.close)


def bytes_then_close(p: Pair, a: End, b: End) -> None:
    a.write(b"x")
    a.close()


def bytes_to_a_closed_end(p: Pair, a: End, b: End) -> None:
    b.close()
    p.kernel.after(0.005, lambda: a.write(b"x"))


def reset_overtaken(p: Pair, a: End, b: End) -> None:
    a.write(b"x")
    a.reset()


CASES: list[tuple[str, Callable[[Pair, End, End], object], dict[str, Any], list[Any], list[Any]]] = [
    ("bytes", lambda p, a, b: a.write(b"hi"), {}, [(0.002, "room")], [(0.001, "hi")]),
    ("close", bytes_then_close, {}, [], [(0.001, "x"), (0.001, "end")]),
    ("reset", lambda p, a, b: a.reset(), {}, [], [(0.001, "ECONNRESET")]),
    ("reset behind bytes", reset_overtaken, {}, [], [(0.001, "x"), (0.001, "ECONNRESET")]),
    ("reset before bytes", reset_overtaken, {"reset_drops": 1.0}, [], [(0.001, "ECONNRESET")]),
    ("unread", close_with_bytes_unread, {"reads": False}, [(0.006, "ECONNRESET")], []),
    ("silence", silence_then_heal, {}, [(2.002, "room")], [(2.001, "x")]),
    ("cut", lambda p, a, b: p.net.cut(a), {}, [(0.0, "ECONNRESET")], [(0.001, "ECONNRESET")]),
    ("half cut", lambda p, a, b: p.net.cut(a, both=False), {}, [(0.0, "ECONNRESET")], []),
    ("to a closed end", bytes_to_a_closed_end, {}, [(0.001, "end"), (0.007, "ECONNRESET")], []),
]


@pytest.mark.parametrize(("do", "how", "client", "server"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_what_each_side_sees(
    do: Callable[[Pair, End, End], object], how: dict[str, Any], client: list[Any], server: list[Any]
) -> None:
    pair = Pair(**how)
    a, b = pair.connect()
    do(pair, a, b)
    assert pair.after() == (client, server)


def test_segments_keep_their_order_in_a_pipe_whatever_their_delay() -> None:
    pair = Pair(jitter=50.0, cut="many")
    a, _ = pair.connect()
    for n in range(50):
        a.write(b"%02d," % n)
    text = "".join(what for _, what in pair.after()[1])
    assert text == "".join(f"{n:02d}," for n in range(50))
    assert len(pair.server.log) > 50  # many writes arrive in several segments


def test_a_full_buffer_accepts_no_data_until_the_other_side_reads() -> None:
    pair = Pair(reads=False, buffer=10)
    a, b = pair.connect()
    assert a.write(b"0123456789abc") == 10
    with pytest.raises(BlockingIOError):
        a.write(b"d")
    pair.kernel.run(1.0)
    with pytest.raises(BlockingIOError):
        a.write(b"d")  # the data has arrived but is not read
    assert b.read(4) == b"0123"
    assert a.write(b"defgh") == 4


@pytest.mark.parametrize(("heard_at", "opened"), [(0.5, 1.002), (2.0, 3.002), (20.0, None)])
def test_a_connect_is_retried_until_it_is_answered(heard_at: float, opened: float | None) -> None:
    pair = Pair()
    pair.listener.ignores_connects = True
    pair.net.connect("client", "10.0.0.2", HERE, pair.client)
    pair.kernel.after(heard_at, lambda: setattr(pair.listener, "ignores_connects", False))
    pair.kernel.run(60.0)
    assert pair.client.log == ([(opened, "opened")] if opened else [])
    assert max(CONNECT_RETRY_TIMES_S) < 20.0


@pytest.mark.parametrize("how", ["nobody listens", "the link refuses"])
def test_a_connect_is_refused(how: str) -> None:
    pair = Pair()
    if how == "nobody listens":
        pair.net.unlisten(pair.listener)
    else:
        pair.net.link("client", "server").refuses = True
    pair.net.connect("client", "10.0.0.2", HERE, pair.client)
    pair.kernel.run(60.0)
    assert pair.client.log == [(0.002, "refused")]


# --- the same exchange over real and virtual sockets


class Machine:
    """The loop of a virtual process, and its sockets."""

    def __init__(self, net: Network, host: str, ip: str, failed: list[str]) -> None:
        self.net, self.host, self.ip = net, host, ip
        net.hosts[ip] = host
        random = stream(1, host)
        self.loop = VirtualLoop(
            net.kernel, lambda: 0.0001 * random.random(), random, lambda m, e: failed.append(m)
        )

    def socket(self, family: int = 0) -> Any:
        return VirtualSocket(self.loop, self.net, self.host, self.ip, self.loop.descriptor())

    def listen(self, address: tuple[str, int], sockets: int = 0) -> list[Any]:
        found = self.socket()
        found.listener = self.net.listen(self.host, address, found)
        return [found]


Log = list[object]


async def answer(listening: list[Any], log: Log) -> None:
    """Accepts one connection, reads a line, writes 300 kB, and waits for the end of file."""
    from tornado.netutil import add_accept_handler

    taken: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
    stop = add_accept_handler(listening[0], lambda s, a: taken.set_result(s) if not taken.done() else None)
    channel = Channel(Stream(await taken), server_parser())
    stop()
    log.append(await channel.stream.read_until(b"\n"))
    await channel.write(b"x" * 300_000 + b"\n")
    log.append(("quiet", channel.has_nothing_to_read()))
    try:
        await channel.stream.read_bytes(10)
    except StreamClosedError:
        log.append("closed")
    channel.close()
    for s in listening:
        s.close()


async def ask(address: tuple[str, int], make: Callable[[int], Any], log: Log) -> None:
    channel = await connect(address, make)
    await channel.write(b"hello\n")
    log.append(len(await channel.stream.read_until(b"\n")))
    log.append(channel.is_reusable())
    channel.close()
    with pytest.raises((StreamClosedError, OSError)):
        await connect(address, make)  # the listener is closed or closes soon
        await asyncio.sleep(0.1)
        await connect(address, make)
    log.append("refused")


def test_streams_behave_on_virtual_sockets_as_on_real_ones() -> None:
    async def real() -> list[Log]:
        logs: list[Log] = [[], []]
        listening = listen(("127.0.0.1", 0), 16)
        address = listening[0].getsockname()
        await asyncio.gather(answer(listening, logs[0]), ask(address, socket.socket, logs[1]))
        return logs

    virtual: list[Log] = [[], []]
    failed: list[str] = []
    pair = Pair(buffer=7000, cut="few")
    here, there = Machine(pair.net, "one", "10.0.1.1", failed), Machine(pair.net, "two", "10.0.1.2", failed)
    address = ("10.0.1.1", 8081)
    here.loop.create_task(answer(here.listen(address), virtual[0]))
    there.loop.create_task(ask(address, cast(Any, there.socket), virtual[1]))
    pair.kernel.run(30.0)
    assert virtual == asyncio.run(real())
    assert not failed
    assert not here.loop.tasks()
    assert not there.loop.tasks()
    assert not here.loop.sockets
    assert not there.loop.sockets


def test_a_process_is_paused_and_killed_without_running_its_cleanup() -> None:
    failed: list[str] = []
    kernel, log = Kernel(), list[object]()
    net = Network(kernel, 1, lambda a, b: LinkSettings(), lambda kind, end, size: None)
    machine = Machine(net, "one", "10.0.0.1", failed)

    async def live() -> None:
        try:
            while True:
                await asyncio.sleep(1.0)
                log.append(round(kernel.now, 2))
                try:
                    async with asyncio.timeout(0.25):
                        await asyncio.Event().wait()
                except TimeoutError:
                    log.append("out")
        finally:
            log.append("finally")

    machine.loop.create_task(live())
    kernel.run(2.6)
    machine.loop.stop_turns()
    kernel.run(9.0)
    machine.loop.go_on()
    kernel.run(9.5)
    machine.loop.kill()
    kernel.run(60.0)
    assert log == [1.0, "out", 2.25, "out", 9.0, "out"]
    assert not failed
    machine.loop.close_tasks()
    assert log[-1] == "finally"
    assert not failed
