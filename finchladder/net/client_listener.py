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
from finchladder.net.admission import SO_TIMESTAMPNS
from finchladder.net.client_connection import ClientConnection
from finchladder.net.request_handler import RequestHandler

CLIENT_SOCKET_SHARE = (
    0.55  # part of all sockets: edge connections; more than open flows, as call-backs need the rest
)
NEW_CONNECTION_S = 0.25
# accepted in one turn of the loop; looked again for room after so many seconds, and so often without a gate
MAX_ACCEPTED_AT_ONCE, ACCEPT_RETRY_S, MAX_ACCEPT_RETRIES = 64, 0.025, 20


class ClientListener:
    """Accepts client connections, serves each in a task, and drains them at shutdown."""

    def __init__(self, handler: RequestHandler, bodies: BodyMemory, sockets: int) -> None:
        self.handler, self.body_memory, self.clock = handler, bodies, handler.intake.clock
        self.connections: ClientConnectionTable[ClientConnection] = ClientConnectionTable(
            int(CLIENT_SOCKET_SHARE * sockets)
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.listening_sockets: list[socket.socket] = []
        self.stop_callbacks: list[Callable[[], None]] = []
        self.accept_retries = 0  # for room, since one was accepted
        if handler.admission is not None:
            handler.admission.on_open, handler.admission.on_close = self._start, self._close

    def add_socket(self, listening: socket.socket) -> None:
        """Starts accepting connections from a listening socket."""
        self.listening_sockets.append(listening)
        if self.handler.admission is not None:
            with suppress(OSError):  # then a message counts as new when it is looked at
                listening.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)  # accepted connections inherit it
        self.stop_callbacks.append(self._listen(listening))

    def stop(self) -> None:
        """Stops accepting connections; those accepted continue."""
        for stop in self.stop_callbacks:
            stop()
        self.stop_callbacks.clear()

    def _listen(self, listening: socket.socket) -> Callable[[], None]:
        loop = asyncio.get_running_loop()
        loop.add_reader(listening, self._accept_batch, listening)

        def stop() -> None:
            loop.remove_reader(listening)

        return stop

    def _resume(self) -> None:
        self.stop_callbacks = [self._listen(listening) for listening in self.listening_sockets]

    def _accept_batch(self, listening: socket.socket) -> None:
        """Where none may be closed for another, who connects waits in the system's queue for a while.

        Those just accepted are not yet looked at, and can't be told from those that have sent something: a
        crowd that comes at once must not have a call-back among it closed unread.
        """
        for n in range(MAX_ACCEPTED_AT_ONCE):
            if self.connections.is_full and n:
                return  # nobody is closed before it is known that another is there
            if self.connections.is_full and not self._evict_one() and self._pause():
                return
            try:
                client_socket, address = listening.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            client_socket.setblocking(False)
            self._add_connection(client_socket, address)

    def _pause(self) -> bool:
        """Listens on in a moment. False: it has done so for long, and the next one is closed unread."""
        if self.handler.admission is not None:
            self.handler.admission.make_room()
        else:
            self.accept_retries += 1
            if self.accept_retries > MAX_ACCEPT_RETRIES:
                return False
        self.stop()
        IOLoop.current().call_later(ACCEPT_RETRY_S, self._resume)
        return True

    def _add_connection(self, client_socket: socket.socket, address: Any) -> None:
        """Counts at once, as many connections come in one turn of the loop: a count that lags runs over."""
        if self.connections.is_full and not self._evict_one():
            logger.error("all {} edge connections are busy: one was closed unread", len(self.connections))
            client_socket.close()
            return
        self.accept_retries = 0
        connection = ClientConnection(
            client_socket, str(address[0]), self.handler, self.connections, Reservation(self.body_memory)
        )
        self.connections.add(self.clock(), connection)
        if self.handler.admission is None:
            self._start(connection)
        else:
            self.handler.admission.add(connection)

    def _start(self, connection: ClientConnection) -> None:
        connection.open_stream()
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self.tasks.add(task)  # the loop alone would let go of it
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, connection: ClientConnection) -> None:
        try:
            await connection.serve()
        except Exception:
            logger.exception("an edge connection died")
            connection.close()
        finally:
            self._drop(connection)

    def _drop(self, connection: ClientConnection) -> None:
        connection.reservation.resize(0)
        self.connections.remove(connection)
        if self.handler.admission is not None:
            self.handler.admission.remove(connection)

    def _close(self, connection: ClientConnection) -> None:
        connection.close()
        if not connection.is_open:  # else its own task clears up
            self._drop(connection)

    def _evict_one(self) -> bool:
        connection = self.connections.evict(self.clock(), lambda connection: connection.is_quiet())
        if connection is None:
            return False
        connection.close()
        self._drop(connection)
        return True

    async def shut_down(self) -> None:
        """Drains after SIGTERM: accepts for a while, closes idle connections, waits for the answers."""
        intake = self.handler.intake
        intake.shut_down()
        if self.handler.admission is not None:
            self.handler.admission.shut_down()
        await asyncio.sleep(intake.shutdown.keep_open_s)
        while True:
            over, stays = not intake.flows.open, False
            for connection in list(self.connections):
                # one just accepted is not idle while jobs are open: a result may be on its way
                idle = over or self.connections.is_older(self.clock(), connection, NEW_CONNECTION_S)
                if connection.is_busy or (
                    not connection.sends_callbacks and not (idle and connection.is_quiet())
                ):
                    stays = True  # also where a request has come that was not looked at yet
                elif not connection.sends_callbacks:
                    self._close(connection)
            if over and not stays and not self._accept_remaining():
                return
            await asyncio.sleep(0.02)

    def _accept_remaining(self) -> bool:
        """Listens no more. True: some had connected, and nobody had looked; they are still to be heard."""
        before = len(self.connections)
        self.stop()
        for listening in self.listening_sockets:
            with suppress(OSError):  # until there is none; then whoever comes is refused, and goes elsewhere
                while True:
                    client_socket, address = listening.accept()
                    client_socket.setblocking(False)
                    self._add_connection(client_socket, address)
            listening.close()
        self.listening_sockets.clear()
        return len(self.connections) > before
