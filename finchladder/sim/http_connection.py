"""One side of a simulated HTTP connection: receives whole messages and sends bytes."""

from finchladder.lab.wire import Message, Parser, WireError
from finchladder.sim.network import End, Handler, Network

READ_BYTES = 65_536


class HttpConnection(Handler):
    """Base class. Reads as data arrives unless `stall` was called; buffers what can't be written yet."""

    def __init__(self, net: Network, responses: bool) -> None:
        self.net = net
        self.parser = Parser(responses)
        self.end: End | None = None
        self.out = bytearray()
        self.closing = False  # close once the buffer is written
        self.is_closed = False
        self.rate: float | None = None  # bytes per second read while stalled; None: no limit

    # --- callbacks for subclasses

    def on_message(self, m: Message) -> None: ...

    def on_message_begun(self, offset: int) -> None:
        """Called at the first byte of a message, with its offset in all bytes received."""

    def on_connected(self) -> None:
        """Called when an outgoing connection is established."""

    def on_lost(self, how: str) -> None:
        """Called at most once, never after `close`: refused, reset, closed (orderly) or bad (not HTTP)."""

    # --- operations

    def connect(self, host: str, ip: str, address: tuple[str, int]) -> End:
        self.end = self.net.connect(host, ip, address, self)
        return self.end

    def write(self, data: bytes) -> None:
        self.out += data
        self._flush()

    def close(self) -> None:
        """Closes in an orderly way after all buffered bytes are written."""
        self.closing = True
        self._flush()

    def reset(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            if self.end is not None:
                self.end.reset()

    def stall(self, rate: float) -> None:
        self.rate = rate

    def resume(self) -> None:
        self.rate = None
        if self.end is not None:
            self.arrived(self.end)

    # --- calls of the network

    def opened(self, end: End) -> None:
        self.end = end
        if not self.is_closed:
            self.on_connected()
            self._flush()

    def refused(self, end: End) -> None:
        self._lost("refused")

    def space_available(self, end: End) -> None:
        self._flush()

    def arrived(self, end: End) -> None:
        if self.rate is not None:
            self.net.kernel.after(0.01, lambda: self._read_slowly(end))
            return
        while not self.is_closed:
            try:
                data = end.read(READ_BYTES)
            except BlockingIOError:
                return
            except OSError:
                self._lost("reset")
                return
            if not data:
                self._lost("closed")
                return
            self._feed(data)

    def _read_slowly(self, end: End) -> None:
        if self.rate is None or self.is_closed:
            return
        try:
            data = end.read(max(1, int(self.rate * 0.01)))
        except BlockingIOError:
            return
        except OSError:
            self._lost("reset")
            return
        if not data:
            self._lost("closed")
            return
        self._feed(data)
        self.net.kernel.after(0.01, lambda: self._read_slowly(end))

    def _feed(self, data: bytes) -> None:
        if not self.parser.begun and self.end is not None:
            self.on_message_begun(self.end.taken - len(data))
        try:
            messages = self.parser.feed(data)
        except WireError:
            self._lost("bad")
            return
        for m in messages:
            if not self.is_closed:
                self.on_message(m)

    def _flush(self) -> None:
        end = self.end
        if self.is_closed or end is None or not end.up:
            return
        try:
            while self.out:
                del self.out[: end.write(self.out)]
        except BlockingIOError:
            return
        except OSError:
            self._lost("reset")
            return
        if self.closing:
            self.is_closed = True
            end.close()

    def _lost(self, how: str) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        if self.end is not None:
            self.end.close()
        self.on_lost(how)
