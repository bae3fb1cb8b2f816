"""A peer's side of a connection: whole HTTP messages in, bytes out, over an end of the network."""

from finchladder.lab.wire import Message, Parser, WireError
from finchladder.sim.network import End, Handler, Network

READ = 65_536


class Talk(Handler):
    """To be subclassed. It reads at once, unless `stall` has been called; what it can't write waits."""

    def __init__(self, net: Network, responses: bool) -> None:
        self.net = net
        self.parser = Parser(responses)
        self.end: End | None = None
        self.out = bytearray()
        self.closing = False  # once all is written
        self.over = False
        self.rate: float | None = None  # bytes a second that it reads, where it is slow

    # --- what a subclass hears

    def message(self, m: Message) -> None: ...

    def begun(self, place: int) -> None:
        """The first byte of a message has come; it is at this place of all that came."""

    def made(self) -> None:
        """A connection that it asked for is there."""

    def lost(self, how: str) -> None:
        """refused, reset, closed (in good order), bad (no HTTP). Once, and not after `close`."""

    # --- what it does

    def connect(self, host: str, ip: str, address: tuple[str, int]) -> End:
        self.end = self.net.connect(host, ip, address, self)
        return self.end

    def say(self, data: bytes) -> None:
        self.out += data
        self._flush()

    def close(self) -> None:
        """In good order, what was said before it included."""
        self.closing = True
        self._flush()

    def reset(self) -> None:
        if not self.over:
            self.over = True
            if self.end is not None:
                self.end.reset()

    def stall(self, rate: float) -> None:
        self.rate = rate

    def resume(self) -> None:
        self.rate = None
        if self.end is not None:
            self.arrived(self.end)

    # --- the network's calls

    def opened(self, end: End) -> None:
        self.end = end
        if not self.over:
            self.made()
            self._flush()

    def refused(self, end: End) -> None:
        self._lost("refused")

    def room(self, end: End) -> None:
        self._flush()

    def arrived(self, end: End) -> None:
        if self.rate is not None:
            self.net.kernel.after(0.01, lambda: self._sip(end))
            return
        while not self.over:
            try:
                data = end.read(READ)
            except BlockingIOError:
                return
            except OSError:
                self._lost("reset")
                return
            if not data:
                self._lost("closed")
                return
            self._feed(data)

    def _sip(self, end: End) -> None:
        if self.rate is None or self.over:
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
        self.net.kernel.after(0.01, lambda: self._sip(end))

    def _feed(self, data: bytes) -> None:
        if not self.parser.begun and self.end is not None:
            self.begun(self.end.taken - len(data))
        try:
            messages = self.parser.feed(data)
        except WireError:
            self._lost("bad")
            return
        for m in messages:
            if not self.over:
                self.message(m)

    def _flush(self) -> None:
        end = self.end
        if self.over or end is None or not end.up:
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
            self.over = True
            end.close()

    def _lost(self, how: str) -> None:
        if self.over:
            return
        self.over = True
        if self.end is not None:
            self.end.close()
        self.lost(how)
