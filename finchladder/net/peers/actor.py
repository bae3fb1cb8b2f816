"""The peers' actor: sends the packets that core/peers decides on, with one UDP socket and one timer.

It never awaits, and nothing awaits it. Binding the socket is retried after an error. A datagram that the
socket can't accept at once is dropped, like one lost by the network. Received datagrams are read before
timeouts are checked, so that unread ones do not look like silence.
"""

import asyncio
import socket
from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger

from finchladder.core.api import OperatorOverrides, PeerLoads, PeerReports
from finchladder.core.peers.exchange import Packets, Peers
from finchladder.net.peers.datagrams import MAX_DATAGRAM_BYTES, MalformedDatagramError, decode, encode

MAX_READ_AT_ONCE = 64  # datagrams read in one loop iteration
BIND_RETRY_S = 5.0  # seconds between two attempts to bind the socket
SOCKET_BUFFER_BYTES = 1 << 18  # size of the receive buffer
MIN_INTERVAL_S = 0.001  # minimum time between two calls of `Peers.tick`

Address = tuple[str, int]


def bind(address: Address) -> socket.socket:
    """Opens a non-blocking UDP socket at the address.

    Raises:
        OSError: The address can't be bound.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


class PeersActor:
    """Exchanges datagrams with the other dispatchers over one UDP socket."""

    def __init__(
        self,
        peers: Peers,
        fleet: str,
        own_address: Address,
        addresses: Mapping[str, Address],
        clock: Callable[[], float],
        on_update: Callable[[PeerLoads | PeerReports | OperatorOverrides], None] | None,
        bind: Callable[[Address], socket.socket] = bind,
    ) -> None:
        """Creates the actor; `start` opens the socket.

        Args:
            peers: The exchange's state machine.
            fleet: The fleet's name; datagrams of others are dropped.
            own_address: The address to bind.
            addresses: Each peer's address, which is also the source of its datagrams.
            clock: Returns the time in seconds.
            on_update: Receives the load counts of all peers, their reports on workers, and overrides.
            bind: Opens the socket.
        """
        self.peers, self.fleet, self.own_address, self.clock, self.on_update, self.bind = (
            peers,
            fleet,
            own_address,
            clock,
            on_update,
            bind,
        )
        self.addresses = dict(addresses)
        self.socket: socket.socket | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_stopped = False
        self.dropped: dict[str, int] = {}
        self.sent = self.received = self.sent_bytes = self.received_bytes = self.unsent = 0
        self.loads_due_at = 0.0
        self.is_bind_error_logged = False
        # returns the detector's state of each worker
        self.show_detector: Callable[[], list[dict[str, Any]]] | None = None

    def start(self) -> None:
        """Opens the socket and starts the periodic exchange."""
        self._open()
        self._exchange()

    def stop(self) -> None:
        """Announces the graceful shutdown to the peers, and closes the socket."""
        self._send(self.peers.leave(self.clock()))
        self.is_stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._close()

    def _open(self) -> None:
        if self.is_stopped or self.socket is not None:
            return
        loop = asyncio.get_running_loop()
        try:
            self.socket = self.bind(self.own_address)
        except OSError as e:
            if not self.is_bind_error_logged:
                logger.error(
                    "peers: cannot open UDP socket {}:{}: {}; only this dispatcher's own shares are used",
                    *self.own_address,
                    e.strerror,
                )
            self.is_bind_error_logged = True
            loop.call_later(BIND_RETRY_S, self._open)
            return
        if self.is_bind_error_logged:
            logger.info("peers: UDP at {}:{} is there now", *self.own_address)
        loop.add_reader(self.socket.fileno(), self._read)

    def _close(self) -> None:
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None

    # --- receiving

    def _read(self) -> None:
        for _ in range(MAX_READ_AT_ONCE):
            if self.socket is None:
                return
            try:
                data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # Linux reports an earlier send to an unreachable peer here
                continue
            self.received += 1
            self.received_bytes += len(data)
            try:
                self._handle_datagram(data, (source[0], source[1]))
            except Exception:
                # a bug must not stop the reading, and is logged once
                self._drop("fault")
                if self.dropped["fault"] == 1:
                    logger.exception("peers: internal error while handling a datagram")

    def _handle_datagram(self, data: bytes, source: Address) -> None:
        try:
            packet = decode(self.fleet, data)
        except MalformedDatagramError as e:
            return self._drop(str(e))
        if self.addresses.get(packet.sender) != source:
            return self._drop("unlisted" if packet.sender not in self.addresses else "address")
        self._send(self.peers.receive(self.clock(), packet))

    def _drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # --- sending

    def _send(self, packets: Packets) -> None:
        for to, packet in packets:
            address = self.addresses.get(to)
            if address is None or self.socket is None:
                continue
            data = encode(self.fleet, packet)
            if len(data) > MAX_DATAGRAM_BYTES:
                self._drop("too long to send")
                continue
            try:
                self.socket.sendto(data, address)
            except OSError:  # a full buffer or an unreachable peer: the datagram is lost
                self.unsent += 1
                continue
            self.sent += 1
            self.sent_bytes += len(data)

    def _exchange(self) -> None:
        if self.is_stopped:
            return
        self._read()
        now = self.clock()
        try:
            self._send(self.peers.tick(now))
            self._submit_updates(now)
        except Exception:
            logger.exception("peers: a turn died")
        wait = max(MIN_INTERVAL_S, self.peers.next_due() - self.clock())
        self.timer = asyncio.get_running_loop().call_later(wait, self._exchange)

    def _submit_updates(self, now: float) -> None:
        """Submits new reports and overrides at once, and the load counts of peers every `wave_s` seconds."""
        if self.on_update is None:
            return
        if (reports := self.peers.take_reports(now)) is not None:
            self.on_update(reports)
        if self.peers.orders.has_changed:
            self.peers.orders.has_changed = False
            self.on_update(self.peers.orders.as_event(now))
        if now < self.loads_due_at or not self.peers.settings.wave_s:
            return
        self.loads_due_at = now + self.peers.settings.wave_s
        if (total := self.peers.total(now)) is not None:
            others = {
                n: count
                for n, c in total.counts.items()
                if (count := c - self.peers.sums.own_counts.get(n, 0.0)) > 0
            }
            self.on_update(PeerLoads(others, total.age_s))

    # --- configuration and state

    def follow(self, addresses: Mapping[str, Address], min_dispatchers: int) -> None:
        """Replaces the list of dispatchers; at least `min_dispatchers` are assumed to exist."""
        self.addresses = dict(addresses)
        self.peers.set_dispatchers(self.clock(), self.addresses, min_dispatchers)

    def show(self) -> dict[str, Any]:
        """Returns the state and the counters as a JSON object."""
        state = self.peers.show(self.clock())
        dropped = dict(self.dropped)
        for reason, n in state["dropped"].items():
            dropped[reason] = dropped.get(reason, 0) + n
        return (
            state
            | {
                "dropped": dropped,
                "datagrams": {
                    "sent": self.sent,
                    "received": self.received,
                    "unsent": self.unsent,
                    "sent_bytes": self.sent_bytes,
                    "received_bytes": self.received_bytes,
                },
                "socket": self.socket is not None,
            }
            | ({"judged": self.show_detector()} if self.show_detector is not None else {})
        )
