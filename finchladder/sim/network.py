"""A virtual network: listeners, connections, and what may happen to them. No bytes leave the process.

A connection is two `End`s, each with a `Pipe` towards the other. What is written is cut into segments, each
of which arrives after the latency of its link, in order within a pipe and in any order between pipes. What
can happen to a connection, and what an end sees of it:

| what | the writer | the reader |
| --- | --- | --- |
| the other side closes | may write until its reset comes back | all bytes, then the end |
| the other side closes with bytes unread, dies, or resets | reset | what was under way may be lost; reset |
| the pipe is silenced | may write until the buffer is full | nothing, until it is opened again |
| the other side does not read | may write until the buffer is full | |
| nobody listens at the address | refused | |
| nobody answers at the address | nothing, ever, or until somebody does | |
"""

import errno
from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from finchladder.lab.models.kernel import Kernel
from finchladder.sim.draws import stream

BACKLOG = 1024  # connections that wait to be accepted; more are dropped, as the kernel does
AGAIN_S = (1.0, 3.0, 7.0, 15.0)  # after its first try, when a connect that was not answered is tried again
MOST_PIECES = 12  # of one write


class Handler(Protocol):
    """What is told of an end's fortunes. Each is called as it happens, by the kernel."""

    def opened(self, end: "End") -> None: ...
    def refused(self, end: "End") -> None: ...
    def arrived(self, end: "End") -> None:
        """Bytes, the other side's end, or a reset."""
        ...

    def room(self, end: "End") -> None:
        """More may be written."""
        ...


class Listening(Protocol):
    def connected(self, end: "End") -> Handler | None:
        """A new connection, whose handler is returned; None: it is reset."""
        ...


class Manners(NamedTuple):
    """How a run's network carries bytes. Seconds and bytes."""

    latency_s: float = 0.0005
    jitter: float = 0.3  # of the latency, up
    cut: str = "whole"  # whole, few, many: how writes are cut into segments
    buffer: int = 256 * 1024  # under way and unread, of one pipe
    reset_drops: float = 0.5  # chance that a reset overtakes what is under way or unread


class Link:
    """All that goes between two hosts, whichever of them connects. A host is a process or a peer."""

    def __init__(self, name: str, manners: Manners) -> None:
        self.name, self.manners = name, manners
        self.slow = 1.0  # times the latency
        self.silent = False  # nothing passes, and new connections are not answered
        self.refuses = False  # new connections are refused
        self.count = 0
        self.struck_at = -1.0  # when the run last did something to it
        self.ends: dict[End, None] = {}  # of connections that stand, the side that connected


class Segment(NamedTuple):
    data: bytes  # empty: the end


class Pipe:
    """Bytes one way. `under_way`: bytes sent that have not arrived."""

    __slots__ = ("link", "random", "under_way", "last", "silent", "kept", "dropped")

    def __init__(self, link: Link, random: Random) -> None:
        self.link, self.random = link, random
        self.under_way = 0
        self.last = 0.0  # nothing may arrive before what was sent before it
        self.silent = False
        self.kept: deque[Segment] = deque()  # what was sent into the silence
        self.dropped = False  # nothing that is under way will arrive

    def delay(self) -> float:
        m = self.link.manners
        return m.latency_s * self.link.slow * (1 + m.jitter * self.random.random())


class End:
    """One side of a connection."""

    __slots__ = (
        "net",
        "host",
        "address",
        "peer",
        "pipe",
        "handler",
        "inbox",
        "ended",
        "error",
        "closed",
        "up",
        "number",
        "taken",
        "sent",
        "writes",
        "struck",
        "shut",
    )

    def __init__(self, net: "Network", host: str, address: tuple[str, int], number: int) -> None:
        self.net, self.host, self.address, self.number = net, host, address, number
        self.peer: End
        self.pipe: Pipe
        self.handler: Handler | None = None
        self.inbox = bytearray()
        self.ended = False  # the other side's end has come
        self.error = 0  # errno
        self.closed = self.shut = False  # wholly, or for its own writes
        self.up = False
        self.taken = self.sent = 0  # bytes read, and bytes given to the network, since the beginning
        self.writes: deque[tuple[int, float]] | None = None  # where each write began and when, if it is kept
        self.struck = False  # the run has done something to it

    def __repr__(self) -> str:
        return f"{self.host}>{self.peer.host}#{self.number}"

    # --- reading

    @property
    def readable(self) -> bool:
        return bool(self.inbox) or self.ended or self.error != 0

    def read(self, most: int, peek: bool = False) -> bytes:
        """b"" after the other side's end. BlockingIOError: nothing is there. OSError: reset."""
        if self.inbox:
            data = bytes(self.inbox[:most])
            if not peek:
                del self.inbox[: len(data)]
                self.taken += len(data)
                self.net.has_room(self.peer)
            return data
        if self.error:
            raise OSError(self.error, "reset")
        if self.ended or self.closed:
            return b""
        raise BlockingIOError(errno.EAGAIN, "nothing there")

    # --- writing

    @property
    def space(self) -> int:
        return max(0, self.pipe.link.manners.buffer - self.pipe.under_way - len(self.peer.inbox))

    @property
    def writable(self) -> bool:
        return self.up and (self.error != 0 or self.space > 0)

    def write(self, data: bytes | bytearray | memoryview) -> int:
        """Takes what there is room for. BlockingIOError: none. OSError: the connection is broken."""
        if self.error:
            raise OSError(self.error if not self.ended else errno.EPIPE, "broken")
        if self.closed:
            raise OSError(errno.EBADF, "closed")
        if self.shut:
            raise OSError(errno.EPIPE, "shut")
        taken = min(len(data), self.space) if self.up else 0
        if not taken:
            raise BlockingIOError(errno.EAGAIN, "no room")
        if self.writes is not None:
            self.writes.append((self.sent, self.net.kernel.now))
        self.sent += taken
        self.net.send(self, bytes(data[:taken]))
        return taken

    def written_at(self, place: int) -> float:
        """When the byte at this place was written, where writes are kept; earlier ones are forgotten."""
        writes = self.writes
        assert writes
        while len(writes) > 1 and writes[1][0] <= place:
            writes.popleft()
        return writes[0][1]

    # --- ends

    def shutdown(self) -> None:
        """Of its own writes: what was written arrives, and then its end. It may still read."""
        if self.closed or self.error or not self.up:
            raise OSError(errno.ENOTCONN, "not connected")
        if not self.shut:
            self.shut = True
            self.net.end(self)

    def close(self) -> None:
        """In good order: what was written still arrives. With bytes unread it is a reset."""
        if self.closed:
            return
        if self.inbox or self.error:
            self.reset()
            return
        self.closed = True
        self.net.on_close(self)
        self.net.shut(self)

    def reset(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.net.on_close(self)
        self.inbox.clear()
        self.net.break_off(self)


class Listener:
    def __init__(self, host: str, address: tuple[str, int], listening: Listening) -> None:
        self.host, self.address, self.listening = host, address, listening
        self.deaf = False  # new connections are not answered


class Network:
    """`seen(kind, end, size)` is told of each delivery: it is what a step is."""

    def __init__(
        self,
        kernel: Kernel,
        seed: int,
        manners: Callable[[str, str], Manners],
        seen: Callable[[str, End, int], None],
    ) -> None:
        self.kernel, self.seed, self.manners, self.seen = kernel, seed, manners, seen
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.ports: dict[str, int] = {}
        self.hosts: dict[str, str] = {}  # by IP address, whether it listens or not
        self.on_close: Callable[[End], None] = lambda end: None
        self.on_write: Callable[[End, bytes], None] | None = None

    def link(self, a: str, b: str) -> Link:
        key = (a, b) if a <= b else (b, a)
        if (link := self.links.get(key)) is None:
            link = self.links[key] = Link("~".join(key), self.manners(a, b))
        return link

    def links_of(self, host: str) -> list[Link]:
        return [link for key, link in self.links.items() if host in key]

    def ends_of(self, host: str) -> list[End]:
        """This host's side of all its connections that stand."""
        found = []
        for key, link in self.links.items():
            if host in key:
                found += [end if end.host == host else end.peer for end in link.ends]
        return found

    # --- listening and connecting

    def listen(self, host: str, address: tuple[str, int], listening: Listening) -> Listener:
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, "address in use")
        listener = self.listeners[address] = Listener(host, address, listening)
        return listener

    def unlisten(self, listener: Listener) -> None:
        if self.listeners.get(listener.address) is listener:
            del self.listeners[listener.address]

    def connect(self, host: str, ip: str, address: tuple[str, int], handler: Handler) -> End:
        """The end is not up before `opened`."""
        port = self.ports[ip] = self.ports.get(ip, 30000) + 1
        other = self.hosts[address[0]]
        link = self.link(host, other)
        link.count += 1
        end, far = End(self, host, (ip, port), link.count), End(self, other, address, link.count)
        end.peer, far.peer = far, end
        random = stream(self.seed, "connection", link.name, host, link.count)
        end.pipe, far.pipe = Pipe(link, random), Pipe(link, random)
        end.handler = handler
        self._knock(end, 0)
        return end

    def _knock(self, end: End, again: int) -> None:
        """The first packet. One that is lost comes again."""
        if end.closed or end.up or end.error:
            return
        link = end.pipe.link
        if not link.silent:
            self.kernel.after(end.pipe.delay(), lambda: self._knocked(end))
        if again < len(AGAIN_S):
            wait = AGAIN_S[again] - (AGAIN_S[again - 1] if again else 0.0)
            self.kernel.after(wait, lambda: self._knock(end, again + 1))

    def _knocked(self, end: End) -> None:
        far = end.peer
        if end.closed or end.up or far.up:
            return
        link = end.pipe.link
        listener = self.listeners.get(far.address)
        if link.silent or (listener is not None and listener.deaf):
            return
        self.seen("knock", far, 0)
        if listener is None or link.refuses:
            self.kernel.after(far.pipe.delay(), lambda: self._refused(end))
            return
        far.up = True
        link.ends[end] = None
        # the answer is on its way before the listener may say anything
        at = self.kernel.now + far.pipe.delay()
        far.pipe.last = at
        self.kernel.at(at, lambda: self._opened(end))
        far.handler = listener.listening.connected(far)
        if far.handler is None:
            far.reset()

    def _refused(self, end: End) -> None:
        if not end.closed and not end.up and not end.error:
            self.seen("refused", end, 0)
            end.error = errno.ECONNREFUSED
            if end.handler is not None:
                end.handler.refused(end)

    def _opened(self, end: End) -> None:
        if end.closed:  # given up meanwhile: the other side finds nobody there
            self._reset_arrives(end.peer)
            return
        if end.peer.pipe.silent or end.error or end.up:
            return
        self.seen("open", end, 0)
        end.up = True
        if end.handler is not None:
            end.handler.opened(end)

    # --- bytes

    def send(self, end: End, data: bytes) -> None:
        if self.on_write is not None:
            self.on_write(end, data)
        pipe = end.pipe
        pipe.under_way += len(data)
        for piece in self._pieces(pipe, data):
            self._forward(end, Segment(piece))

    def _pieces(self, pipe: Pipe, data: bytes) -> list[bytes]:
        cut = pipe.link.manners.cut
        if cut == "whole" or len(data) < 2:
            return [data]
        most = 3 if cut == "few" else MOST_PIECES
        count = pipe.random.randrange(1, most + 1)
        places = sorted(pipe.random.randrange(1, len(data)) for _ in range(count - 1))
        edges = [0, *places, len(data)]
        return [data[a:b] for a, b in zip(edges, edges[1:], strict=False) if a < b]

    def _forward(self, end: End, segment: Segment) -> None:
        pipe = end.pipe
        if pipe.silent or pipe.link.silent:
            pipe.kept.append(segment)
            return
        pipe.last = max(pipe.last, self.kernel.now + pipe.delay())
        self.kernel.at(pipe.last, lambda: self._arrive(end, segment))

    def _arrive(self, end: End, segment: Segment) -> None:
        """At the other side of `end`."""
        pipe, far = end.pipe, end.peer
        if pipe.dropped:
            return
        if pipe.silent or pipe.link.silent:
            pipe.kept.append(segment)  # it will be sent again once something passes
            return
        pipe.under_way -= len(segment.data)
        if far.error:
            return
        if far.closed:
            self.seen("late", far, len(segment.data))
            if segment.data:
                self._answer_reset(far)
            return
        self.seen("bytes" if segment.data else "end", far, len(segment.data))
        if segment.data:
            far.inbox += segment.data
        else:
            far.ended = True
        if far.handler is not None:
            far.handler.arrived(far)

    def has_room(self, end: End) -> None:
        """The other side has read: its word of that takes a while."""
        if end.handler is not None and not end.closed:
            self.kernel.after(end.peer.pipe.delay(), lambda: self._room(end))

    def _room(self, end: End) -> None:
        if end.handler is not None and not end.closed and not end.error:
            end.handler.room(end)

    # --- ends

    def end(self, end: End) -> None:
        self._forward(end, Segment(b""))

    def shut(self, end: End) -> None:
        if not end.up:
            return
        if not end.shut:
            self.end(end)
        self._leave(end)

    def _leave(self, end: End) -> None:
        far = end.peer
        if far.closed or far.error:
            end.pipe.link.ends.pop(end, None)
            end.pipe.link.ends.pop(far, None)

    def break_off(self, end: End) -> None:
        """This side is reset by its owner: the other one hears of it, unless nothing passes."""
        pipe = end.pipe
        self._leave(end)
        if not end.up:
            return
        if pipe.random.random() < pipe.link.manners.reset_drops:
            pipe.dropped = True  # it overtakes what is under way
        if pipe.silent or pipe.link.silent:
            pipe.dropped = True
            return
        at = self.kernel.now + pipe.delay()
        if not pipe.dropped:
            at = pipe.last = max(at, pipe.last)
        self.kernel.at(at, lambda: self._reset_arrives(end.peer))

    def _answer_reset(self, end: End) -> None:
        """What comes to a closed end is answered with a reset."""
        pipe = end.pipe
        if not (pipe.silent or pipe.link.silent):
            self.kernel.after(pipe.delay(), lambda: self._reset_arrives(end.peer))

    def _reset_arrives(self, end: End) -> None:
        if end.closed or end.error or not end.up:
            self._leave(end)
            return
        if end.peer.pipe.silent or end.pipe.link.silent:
            return
        self.struck_reset(end)

    def struck_reset(self, end: End) -> None:
        """A reset comes to this end, be it from the other side or from something on the way."""
        if end.closed or end.error:
            return
        self.seen("reset", end, 0)
        pipe = end.peer.pipe
        end.error = errno.ECONNRESET
        if pipe.random.random() < pipe.link.manners.reset_drops:
            end.inbox.clear()
        self._leave(end)
        if end.handler is not None:
            end.handler.arrived(end)

    # --- what a run may do to a connection

    def silence(self, end: End) -> None:
        """What this end sends from now on does not arrive, nor what is under way."""
        end.pipe.silent = end.struck = end.peer.struck = True

    def heal(self, end: End) -> None:
        """What was sent into the silence arrives after all."""
        pipe = end.pipe
        pipe.silent = False
        self._resend(end)
        if end.closed and not pipe.dropped:
            return
        if pipe.dropped and end.closed:
            self._answer_reset(end)

    def heal_link(self, link: Link) -> None:
        link.silent = False
        for end in list(link.ends):
            for side in (end, end.peer):
                if not side.pipe.silent:
                    self._resend(side)
                    if side.closed and side.pipe.dropped:
                        self._answer_reset(side)

    def _resend(self, end: End) -> None:
        kept, end.pipe.kept = end.pipe.kept, deque()
        for segment in kept:
            self._forward(end, segment)

    def cut(self, end: End, both: bool = True) -> None:
        """Something on the way resets the connection: both ends hear of it, or this one alone."""
        end.struck = end.peer.struck = True
        end.pipe.dropped = end.peer.pipe.dropped = both
        if both:
            self.kernel.after(end.pipe.delay(), lambda: self.struck_reset(end.peer))
        self.struck_reset(end)
