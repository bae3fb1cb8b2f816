"""Clients: the listeners, and all edge connections that were made to them."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from loguru import logger
from tornado.ioloop import IOLoop

from finchladder.core.connections.body_memory import BodyMemory, Reservation
from finchladder.core.connections.client_connections import ClientConnectionTable
from finchladder.net.admission import STAMPS
from finchladder.net.client_connection import ClientConnection
from finchladder.net.request_handler import RequestHandler

CLIENT_SOCKET_SHARE = (
    0.55  # part of all sockets: edge connections; more than open flows, as call-backs need the rest
)
JUST_CAME = 0.25
# accepted in one turn of the loop; looked again for room after so many seconds, and so often without a gate
MAX_ACCEPTED_AT_ONCE, REST_S, LOOKS = 64, 0.025, 20


class ClientListener:
    def __init__(self, front: RequestHandler, bodies: BodyMemory, sockets: int) -> None:
        self.front, self.bodies, self.clock = front, bodies, front.intake.clock
        self.edges: ClientConnectionTable[ClientConnection] = ClientConnectionTable(
            int(CLIENT_SOCKET_SHARE * sockets)
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.listening: list[socket.socket] = []
        self.stops: list[Callable[[], None]] = []
        self.looks = 0  # for room, since one was accepted
        if front.gate is not None:
            front.gate.opens, front.gate.ends = self._begin, self._end

    def add_socket(self, listening: socket.socket) -> None:
        self.listening.append(listening)
        if self.front.gate is not None:
            with suppress(OSError):  # then a message counts as new when it is looked at
                listening.setsockopt(socket.SOL_SOCKET, STAMPS, 1)  # accepted connections inherit it
        self.stops.append(self._listen(listening))

    def stop(self) -> None:
        """Accepts no more. What was accepted goes on."""
        for stop in self.stops:
            stop()
        self.stops.clear()

    def _listen(self, listening: socket.socket) -> Callable[[], None]:
        loop = asyncio.get_running_loop()
        loop.add_reader(listening, self._accept_some, listening)

        def stop() -> None:
            loop.remove_reader(listening)

        return stop

    def _go_on(self) -> None:
        self.stops = [self._listen(listening) for listening in self.listening]

    def _accept_some(self, listening: socket.socket) -> None:
        """Where none may be closed for another, who connects waits in the system's queue for a while.

        Those just accepted are not yet looked at, and can't be told from those that have sent something: a
        crowd that comes at once must not have a call-back among it closed unread.
        """
        for n in range(MAX_ACCEPTED_AT_ONCE):
            if self.edges.is_full and n:
                return  # nobody is closed before it is known that another is there
            if self.edges.is_full and not self._closes_one() and self._waits():
                return
            try:
                connection, address = listening.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            connection.setblocking(False)
            self._accepted(connection, address)

    def _waits(self) -> bool:
        """Listens on in a moment. False: it has done so for long, and the next one is closed unread."""
        if self.front.gate is not None:
            self.front.gate.make_room()
        else:
            self.looks += 1
            if self.looks > LOOKS:
                return False
        self.stop()
        IOLoop.current().call_later(REST_S, self._go_on)
        return True

    def _accepted(self, connection: socket.socket, address: Any) -> None:
        """Counts at once, as many connections come in one turn of the loop: a count that lags runs over."""
        if self.edges.is_full and not self._closes_one():
            logger.error("all {} edge connections are busy: one was closed unread", len(self.edges))
            connection.close()
            return
        self.looks = 0
        edge = ClientConnection(connection, str(address[0]), self.front, self.edges, Reservation(self.bodies))
        self.edges.add(self.clock(), edge)
        if self.front.gate is None:
            self._begin(edge)
        else:
            self.front.gate.begin(edge)

    def _begin(self, edge: ClientConnection) -> None:
        edge.open()
        task = asyncio.get_running_loop().create_task(self._serve(edge))
        self.tasks.add(task)  # the loop alone would let go of it
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, edge: ClientConnection) -> None:
        try:
            await edge.serve()
        except Exception:
            logger.exception("an edge connection died")
            edge.close()
        finally:
            self._drop(edge)

    def _drop(self, edge: ClientConnection) -> None:
        edge.body.resize(0)
        self.edges.remove(edge)
        if self.front.gate is not None:
            self.front.gate.drop(edge)

    def _end(self, edge: ClientConnection) -> None:
        edge.close()
        if not edge.opened:  # else its own task clears up
            self._drop(edge)

    def _closes_one(self) -> bool:
        edge = self.edges.evict(self.clock(), lambda e: e.quiet())
        if edge is None:
            return False
        edge.close()
        self._drop(edge)
        return True

    async def leave(self) -> None:
        """After SIGTERM: listens on, answers all that was taken, closes what is idle, returns when done."""
        intake = self.front.intake
        intake.shut_down()
        if self.front.gate is not None:
            self.front.gate.shut_down()
        await asyncio.sleep(intake.leaving.keep_open_s)
        while True:
            over, stays = not intake.flows.open, False
            for edge in list(self.edges):
                # one just accepted is not idle while jobs are open: a result may be on its way
                idle = over or self.edges.is_older(self.clock(), edge, JUST_CAME)
                if edge.busy or (not edge.calls_back and not (idle and edge.quiet())):
                    stays = True  # also where a request has come that was not looked at yet
                elif not edge.calls_back:
                    self._end(edge)
            if over and not stays and not self._last_ones():
                return
            await asyncio.sleep(0.02)

    def _last_ones(self) -> bool:
        """Listens no more. True: some had connected, and nobody had looked; they are still to be heard."""
        before = len(self.edges)
        self.stop()
        for listening in self.listening:
            with suppress(OSError):  # until there is none; then whoever comes is refused, and goes elsewhere
                while True:
                    connection, address = listening.accept()
                    connection.setblocking(False)
                    self._accepted(connection, address)
            listening.close()
        self.listening.clear()
        return len(self.edges) > before
