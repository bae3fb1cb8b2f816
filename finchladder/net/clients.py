"""Clients: the listener, and all edge connections that were made to it."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from loguru import logger
from tornado.netutil import add_accept_handler

from finchladder.core.bodies import BodyRoom, Reservation
from finchladder.core.edges import EdgeTable
from finchladder.core.leaving import IDLE_STAYS
from finchladder.net.edge import EdgeConnection
from finchladder.net.front import Front
from finchladder.net.http1 import PIECE, READ, Stream

EDGE = 0.55  # part of all sockets: edge connections; more than open flows, as call-backs need the rest
JUST_CAME = 0.25


class Clients:
    def __init__(self, front: Front, bodies: BodyRoom, sockets: int) -> None:
        self.front, self.bodies, self.clock = front, bodies, front.intake.clock
        self.edges: EdgeTable[EdgeConnection] = EdgeTable(int(EDGE * sockets))
        self.tasks: set[asyncio.Task[None]] = set()
        self.listening: list[socket.socket] = []
        self.stops: list[Callable[[], None]] = []
        if front.gate is not None:
            front.gate.accept = self.accept

    def add_socket(self, listening: socket.socket) -> None:
        self.listening.append(listening)
        self.stops.append(add_accept_handler(listening, self._accepted))

    def stop(self) -> None:
        """Accepts no more. What was accepted goes on."""
        for stop in self.stops:
            stop()
        self.stops.clear()

    def accept(self, on: bool) -> None:
        """Off: who connects waits in the system's queue."""
        self.stop()
        if on:
            self.stops = [add_accept_handler(listening, self._accepted) for listening in self.listening]

    def _accepted(self, connection: socket.socket, address: Any) -> None:
        """Counts at once, as many connections come in one turn of the loop: a count that lags runs over."""
        stream = Stream(connection, max_buffer_size=4 * PIECE, read_chunk_size=READ)
        if self.edges.full and not self._make_room():
            stream.close()
            return
        edge = EdgeConnection(stream, str(address[0]), self.front, self.edges, Reservation(self.bodies))
        self.edges.begin(self.clock(), edge)
        task = asyncio.get_running_loop().create_task(self._serve(edge))
        self.tasks.add(task)  # the loop alone would let go of it
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, edge: EdgeConnection) -> None:
        try:
            await edge.serve()
        except Exception:
            logger.exception("an edge connection died")
            edge.channel.close()
        finally:
            self._drop(edge)

    def _drop(self, edge: EdgeConnection) -> None:
        edge.body.hold(0)
        self.edges.drop(edge)
        if self.front.gate is not None:
            self.front.gate.drop(edge)

    def _make_room(self) -> bool:
        edge = self.edges.make_room(self.clock(), lambda e: e.channel.quiet())
        if edge is None:
            logger.error("all {} edge connections are busy: one was closed unread", len(self.edges))
            return False
        edge.channel.close()
        self._drop(edge)
        return True

    async def leave(self) -> None:
        """After SIGTERM: listens on, answers all that was taken, closes what is idle, returns when done."""
        intake = self.front.intake
        intake.leave()
        if self.front.gate is not None:
            self.front.gate.leave()
        await asyncio.sleep(IDLE_STAYS)
        while True:
            over, stays = not intake.flows.open, False
            for edge in list(self.edges):
                # one just accepted is not idle while jobs are open: a result may be on its way
                idle = over or self.edges.older(self.clock(), edge, JUST_CAME)
                if edge.busy or (not edge.calls_back and not (idle and edge.channel.quiet())):
                    stays = True  # also where a request has come that was not looked at yet
                elif not edge.calls_back:
                    edge.channel.close()
            if over and not stays:
                return
            await asyncio.sleep(0.02)
