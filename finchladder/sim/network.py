"""A virtual network of listeners and connections, with fault injection. No bytes leave the process.

A connection is two `End`s, each with a `Pipe` towards the other. Written data is cut into segments, each
of which arrives after the latency of its link, in order within a pipe and in any order between pipes. Each
event on a connection, and its effect on both ends:

| event | the writer | the reader |
| --- | --- | --- |
| the other side closes | may write until the reset arrives | all bytes, then end of file |
| the other side closes with bytes unread, dies, or resets | reset | bytes in transit may be lost; reset |
| the pipe is silenced | may write until the buffer is full | nothing until the pipe heals |
| the other side does not read | may write until the buffer is full | |
| no listener at the address | refused | |
| no answer from the address | nothing until a later retry is answered | |
"""

import errno
from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from finchladder.lab.models.kernel import Kernel
from finchladder.sim.draws import stream

BACKLOG = 1024  # connections waiting to be accepted; further ones are reset
CONNECT_RETRY_TIMES_S = (
    1.0,
    3.0,
    7.0,
    15.0,
)  # times after the first SYN at which it is sent again
MAX_SEGMENTS_PER_WRITE = 12


class Handler(Protocol):
    """Callbacks for the events of an end, called by the kernel when they happen."""

    def opened(self, end: "End") -> None: ...
    def refused(self, end: "End") -> None: ...
    def arrived(self, end: "End") -> None:
        """Bytes, end of file, or a reset arrived."""
        ...

    def space_available(self, end: "End") -> None:
        """The send buffer has space again."""
        ...


class Listening(Protocol):
    def connected(self, end: "End") -> Handler | None:
        """Returns the handler of a new connection, or None to reset it."""
        ...


class LinkSettings(NamedTuple):
    """How a link carries bytes. Times in seconds, sizes in bytes."""

    latency_s: float = 0.0005
    jitter: float = 0.3  # largest addition to the latency, as a fraction of it
    cut: str = "whole"  # whole, few or many: how writes are cut into segments
    buffer: int = 256 * 1024  # limit of bytes in transit and unread in one pipe
    reset_drops: float = 0.5  # probability that a reset discards data in transit or unread


class Link:
    """The traffic between two hosts in both directions. A host is a process or a simulated peer."""

    def __init__(self, name: str, settings: LinkSettings) -> None:
        self.name, self.settings = name, settings
        self.slow = 1.0  # factor on the latency
        self.silent = False  # no data passes and new connections are not answered
        self.refuses = False  # new connections are refused
        self.count = 0
        self.struck_at = -1.0  # when a fault was last injected into it
        self.ends: dict[End, None] = {}  # the connecting end of each open connection


class Segment(NamedTuple):
    data: bytes  # empty: end of file


class Pipe:
    """One direction of a connection. `under_way`: bytes sent that have not arrived."""

    __slots__ = ("link", "random", "under_way", "last", "silent", "kept", "dropped")

    def __init__(self, link: Link, random: Random) -> None:
        self.link, self.random = link, random
        self.under_way = 0
        self.last = 0.0  # arrival time of the last segment; later segments may not overtake it
        self.silent = False
        self.kept: deque[Segment] = deque()  # segments sent while the pipe or link was silent
        self.dropped = False  # segments in transit are discarded

    def delay(self) -> float:
        m = self.link.settings
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
        self.ended = False  # end of file has arrived
        self.error = 0  # errno
        self.closed = self.shut = False  # closed in both directions, or only for writing
        self.up = False
        self.taken = self.sent = 0  # total bytes read and total bytes sent
        self.writes: deque[tuple[int, float]] | None = None  # offset and time of each write, if recorded
        self.struck = False  # a fault was injected into this connection

    def __repr__(self) -> str:
        return f"{self.host}>{self.peer.host}#{self.number}"

    # --- reading

    @property
    def readable(self) -> bool:
        return bool(self.inbox) or self.ended or self.error != 0

    def read(self, most: int, peek: bool = False) -> bytes:
        """Returns b"" at end of file; raises BlockingIOError without data and OSError after a reset."""
        if self.inbox:
            data = bytes(self.inbox[:most])
            if not peek:
                del self.inbox[: len(data)]
                self.taken += len(data)
                self.net.schedule_space_notice(self.peer)
            return data
        if self.error:
            raise OSError(self.error, "connection reset")
        if self.ended or self.closed:
            return b""
        raise BlockingIOError(errno.EAGAIN, "no data")

    # --- writing

    @property
    def space(self) -> int:
        return max(0, self.pipe.link.settings.buffer - self.pipe.under_way - len(self.peer.inbox))

    @property
    def writable(self) -> bool:
        return self.up and (self.error != 0 or self.space > 0)

    def write(self, data: bytes | bytearray | memoryview) -> int:
        """Writes as much as the buffer holds; raises BlockingIOError if full, OSError if not connected."""
        if self.error:
            raise OSError(self.error if not self.ended else errno.EPIPE, "connection broken")
        if self.closed:
            raise OSError(errno.EBADF, "connection closed")
        if self.shut:
            raise OSError(errno.EPIPE, "connection shut down for writing")
        taken = min(len(data), self.space) if self.up else 0
        if not taken:
            raise BlockingIOError(errno.EAGAIN, "send buffer full")
        if self.writes is not None:
            self.writes.append((self.sent, self.net.kernel.now))
        self.sent += taken
        self.net.send(self, bytes(data[:taken]))
        return taken

    def written_at(self, offset: int) -> float:
        """Returns when the byte at `offset` was written, and drops records of earlier writes."""
        writes = self.writes
        assert writes
        while len(writes) > 1 and writes[1][0] <= offset:
            writes.popleft()
        return writes[0][1]

    # --- closing

    def shutdown(self) -> None:
        """Closes for writing: sent data still arrives, then end of file. Reading stays possible."""
        if self.closed or self.error or not self.up:
            raise OSError(errno.ENOTCONN, "not connected")
        if not self.shut:
            self.shut = True
            self.net.send_eof(self)

    def close(self) -> None:
        """Closes: sent data still arrives. Resets the connection instead if bytes are unread."""
        if self.closed:
            return
        if self.inbox or self.error:
            self.reset()
            return
        self.closed = True
        self.net.on_close(self)
        self.net.close_end(self)

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
        self.ignores_connects = False  # does not answer new connections


class Network:
    """Calls `on_delivery(kind, end, size)` for each delivery, which counts as one step."""

    def __init__(
        self,
        kernel: Kernel,
        seed: int,
        settings: Callable[[str, str], LinkSettings],
        on_delivery: Callable[[str, End, int], None],
    ) -> None:
        self.kernel, self.seed, self.settings, self.on_delivery = kernel, seed, settings, on_delivery
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.ports: dict[str, int] = {}
        self.hosts: dict[str, str] = {}  # by IP address, listening or not
        self.on_close: Callable[[End], None] = lambda end: None
        self.on_write: Callable[[End, bytes], None] | None = None

    def link(self, a: str, b: str) -> Link:
        key = (a, b) if a <= b else (b, a)
        if (link := self.links.get(key)) is None:
            link = self.links[key] = Link("~".join(key), self.settings(a, b))
        return link

    def links_of(self, host: str) -> list[Link]:
        return [link for key, link in self.links.items() if host in key]

    def ends_of(self, host: str) -> list[End]:
        """Returns this host's end of each of its open connections."""
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
        """Starts a connection; the returned end is not up before `opened` is called."""
        port = self.ports[ip] = self.ports.get(ip, 30000) + 1
        other = self.hosts[address[0]]
        link = self.link(host, other)
        link.count += 1
        end, far = End(self, host, (ip, port), link.count), End(self, other, address, link.count)
        end.peer, far.peer = far, end
        random = stream(self.seed, "connection", link.name, host, link.count)
        end.pipe, far.pipe = Pipe(link, random), Pipe(link, random)
        end.handler = handler
        self._send_syn(end, 0)
        return end

    def _send_syn(self, end: End, again: int) -> None:
        """Sends the first packet, and repeats it until it is answered or the retries run out."""
        if end.closed or end.up or end.error:
            return
        link = end.pipe.link
        if not link.silent:
            self.kernel.after(end.pipe.delay(), lambda: self._syn_arrives(end))
        if again < len(CONNECT_RETRY_TIMES_S):
            wait = CONNECT_RETRY_TIMES_S[again] - (CONNECT_RETRY_TIMES_S[again - 1] if again else 0.0)
            self.kernel.after(wait, lambda: self._send_syn(end, again + 1))

    def _syn_arrives(self, end: End) -> None:
        far = end.peer
        if end.closed or end.up or far.up:
            return
        link = end.pipe.link
        listener = self.listeners.get(far.address)
        if link.silent or (listener is not None and listener.ignores_connects):
            return
        self.on_delivery("knock", far, 0)
        if listener is None or link.refuses:
            self.kernel.after(far.pipe.delay(), lambda: self._refused(end))
            return
        far.up = True
        link.ends[end] = None
        # the handshake's answer must arrive before any data of the listener
        at = self.kernel.now + far.pipe.delay()
        far.pipe.last = at
        self.kernel.at(at, lambda: self._opened(end))
        far.handler = listener.listening.connected(far)
        if far.handler is None:
            far.reset()

    def _refused(self, end: End) -> None:
        if not end.closed and not end.up and not end.error:
            self.on_delivery("refused", end, 0)
            end.error = errno.ECONNREFUSED
            if end.handler is not None:
                end.handler.refused(end)

    def _opened(self, end: End) -> None:
        if end.closed:  # closed meanwhile, so the other side gets a reset
            self._reset_arrives(end.peer)
            return
        if end.peer.pipe.silent or end.error or end.up:
            return
        self.on_delivery("open", end, 0)
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
        cut = pipe.link.settings.cut
        if cut == "whole" or len(data) < 2:
            return [data]
        most = 3 if cut == "few" else MAX_SEGMENTS_PER_WRITE
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
        """Delivers a segment to the peer of `end`."""
        pipe, far = end.pipe, end.peer
        if pipe.dropped:
            return
        if pipe.silent or pipe.link.silent:
            pipe.kept.append(segment)  # sent again after the link heals
            return
        pipe.under_way -= len(segment.data)
        if far.error:
            return
        if far.closed:
            self.on_delivery("late", far, len(segment.data))
            if segment.data:
                self._answer_reset(far)
            return
        self.on_delivery("bytes" if segment.data else "end", far, len(segment.data))
        if segment.data:
            far.inbox += segment.data
        else:
            far.ended = True
        if far.handler is not None:
            far.handler.arrived(far)

    def schedule_space_notice(self, end: End) -> None:
        """Schedules `room` at this end after the link's latency, as the peer has read data."""
        if end.handler is not None and not end.closed:
            self.kernel.after(end.peer.pipe.delay(), lambda: self._notify_space(end))

    def _notify_space(self, end: End) -> None:
        if end.handler is not None and not end.closed and not end.error:
            end.handler.space_available(end)

    # --- closing

    def send_eof(self, end: End) -> None:
        self._forward(end, Segment(b""))

    def close_end(self, end: End) -> None:
        if not end.up:
            return
        if not end.shut:
            self.send_eof(end)
        self._leave(end)

    def _leave(self, end: End) -> None:
        far = end.peer
        if far.closed or far.error:
            end.pipe.link.ends.pop(end, None)
            end.pipe.link.ends.pop(far, None)

    def break_off(self, end: End) -> None:
        """Resets the connection from this end; the peer gets the reset unless the link is silent."""
        pipe = end.pipe
        self._leave(end)
        if not end.up:
            return
        if pipe.random.random() < pipe.link.settings.reset_drops:
            pipe.dropped = True  # the reset discards data in transit
        if pipe.silent or pipe.link.silent:
            pipe.dropped = True
            return
        at = self.kernel.now + pipe.delay()
        if not pipe.dropped:
            at = pipe.last = max(at, pipe.last)
        self.kernel.at(at, lambda: self._reset_arrives(end.peer))

    def _answer_reset(self, end: End) -> None:
        """Answers data for a closed end with a reset."""
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
        """Delivers a reset to this end, sent by the peer or by a device on the path."""
        if end.closed or end.error:
            return
        self.on_delivery("reset", end, 0)
        pipe = end.peer.pipe
        end.error = errno.ECONNRESET
        if pipe.random.random() < pipe.link.settings.reset_drops:
            end.inbox.clear()
        self._leave(end)
        if end.handler is not None:
            end.handler.arrived(end)

    # --- fault injection

    def silence(self, end: End) -> None:
        """Holds back all data that this end has in transit or sends until `heal`."""
        end.pipe.silent = end.struck = end.peer.struck = True

    def heal(self, end: End) -> None:
        """Ends a silence: the data that was held back is delivered."""
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
        """Simulates a reset by a device on the path, at both ends or at this end alone."""
        end.struck = end.peer.struck = True
        end.pipe.dropped = end.peer.pipe.dropped = both
        if both:
            self.kernel.after(end.pipe.delay(), lambda: self.struck_reset(end.peer))
        self.struck_reset(end)
