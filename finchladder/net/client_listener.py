"""The listener for client connections, and the table of all connections that it accepted."""

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

# share of all sockets for client connections; more than for open flows, as callbacks need the rest
CLIENT_SOCKET_SHARE = 0.55
NEW_CONNECTION_S = 0.25  # age up to which a connection counts as new
# connections accepted in one loop iteration; while the table is full: seconds until the next try to accept,
# and the maximum number of such tries without admission control
MAX_ACCEPTED_AT_ONCE, ACCEPT_RETRY_S, MAX_ACCEPT_RETRIES = 64, 0.025, 20


class ClientListener:
    """Accepts client connections, serves each in a task, and drains them at shutdown."""

    def __init__(self, handler: RequestHandler, body_memory: BodyMemory, sockets: int) -> None:
        self.handler, self.body_memory, self.clock = handler, body_memory, handler.intake.clock
        self.connections: ClientConnectionTable[ClientConnection] = ClientConnectionTable(
            int(CLIENT_SOCKET_SHARE * sockets)
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.listening_sockets: list[socket.socket] = []
        self.stop_callbacks: list[Callable[[], None]] = []
        self.accept_retries = 0  # retries for lack of room since a connection was accepted
        if handler.admission is not None:
            handler.admission.on_open, handler.admission.on_close = self._start, self._close

    def add_socket(self, listening: socket.socket) -> None:
        """Starts accepting connections from a listening socket."""
        self.listening_sockets.append(listening)
        if self.handler.admission is not None:
            with suppress(OSError):  # without timestamps a message counts as new when it is read
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
        """Accepts waiting connections; while the table is full, they wait in the system's queue for a while.

        Connections accepted in this iteration are not read yet, so it is unknown which of them have sent a
        message. None of them is closed for another: a callback among a burst of connections must not be lost.
        """
        for n in range(MAX_ACCEPTED_AT_ONCE):
            if self.connections.is_full and n:
                return  # none is evicted in this call, as it is unknown whether a further one waits
            if self.connections.is_full and not self._evict_one() and self._pause():
                return
            try:
                client_socket, address = listening.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            client_socket.setblocking(False)
            self._add_connection(client_socket, address)

    def _pause(self) -> bool:
        """Pauses accepting for ACCEPT_RETRY_S; returns False after too many pauses in a row."""
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
        """Adds a connection at once: many may come in one loop iteration, and the table must not overflow."""
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
        self.tasks.add(task)  # the event loop holds only a weak reference
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
        if not connection.has_stream:  # otherwise its own task removes it
            self._drop(connection)

    def _evict_one(self) -> bool:
        connection = self.connections.evict(self.clock(), lambda connection: connection.is_quiet())
        if connection is None:
            return False
        connection.close()
        self._drop(connection)
        return True

    async def shut_down(self) -> None:
        """Drains: accepts connections for a while, closes idle ones, waits until all jobs are answered."""
        intake = self.handler.intake
        intake.shut_down()
        if self.handler.admission is not None:
            self.handler.admission.shut_down()
        await asyncio.sleep(intake.shutdown.keep_open_s)
        while True:
            all_answered, any_open = not intake.flows.open, False
            for connection in list(self.connections):
                # a new connection is not idle while jobs are open: a callback may be on its way
                idle = all_answered or self.connections.is_older(self.clock(), connection, NEW_CONNECTION_S)
                if connection.is_busy or (
                    not connection.sends_callbacks and not (idle and connection.is_quiet())
                ):
                    any_open = True  # also if it has received a request that is not read yet
                elif not connection.sends_callbacks:
                    self._close(connection)
            if all_answered and not any_open and not self._accept_remaining():
                return
            await asyncio.sleep(0.02)

    def _accept_remaining(self) -> bool:
        """Accepts what is left in the system's queue and stops listening; returns whether any were left."""
        count_before = len(self.connections)
        self.stop()
        for listening in self.listening_sockets:
            with suppress(OSError):  # ends at BlockingIOError; later connections are refused by the system
                while True:
                    client_socket, address = listening.accept()
                    client_socket.setblocking(False)
                    self._add_connection(client_socket, address)
            listening.close()
        self.listening_sockets.clear()
        return len(self.connections) > count_before
