"""A configuration with a `null` is acknowledged, and no dispatcher applies it or anything after it."""

import asyncio
import contextlib
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin import HOST, LIMITS, CannotRunError, Deployment, Message, Record, Worker, call, run_case

CONFIG_APPLY_S = 2.0  # config_apply_ms
DRAIN_S = 2.0  # drain_ms
MARGIN_S = 0.5
REQUESTS = 20  # on each path
NOT_FOUND = 404


def route(name: str, path_prefix: str, service: str) -> dict[str, Any]:
    """A route for requests that may be repeated."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": path_prefix,
        "kind": "idempotent",
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "retries": 2,
    }


def service(name: str) -> dict[str, Any]:
    """A service whose workers need no model."""
    return {
        "name": name,
        "health_check": "/healthz",
        "max_connections": 96,
        "protocol": "h1",
        "tls": False,
    }


def document(version: int, routes: list[dict[str, Any]], idle_timeout_ms: int | None) -> dict[str, Any]:
    """A configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [service("plain"), service("other")],
        "limits": LIMITS | {"idle_timeout_ms": idle_timeout_ms},
    }


FORMER = [route("moved", "/moved/", "plain"), route("dropped", "/dropped/", "plain")]
NEWER = [route("moved", "/moved/", "other"), route("added", "/added/", "plain")]
EXPECTED = {"/moved/1": "other", "/added/1": "plain", "/dropped/1": "404"}  # under the newer version


class Case:
    """Clients and workers, and what they saw."""

    def __init__(self, record: Record, trouble: bool) -> None:
        """Creates the stand-ins without starting them."""
        self.record = record
        self.trouble = trouble
        self.deployment = Deployment(record)
        self.workers = [Worker(n, "plain", self.handle, slots=6) for n in (1, 2, 3)]
        self.workers += [Worker(n, "other", self.handle, slots=6) for n in (4, 5)]
        self.arrivals: list[tuple[float, Worker]] = []
        self.sent = 0

    async def handle(
        self, worker: Worker, request: Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs a request."""
        self.arrivals.append((time.monotonic(), worker))
        request_id = request.headers["x-finchladder-request-id"]
        headers = {"X-Finchladder-Request-Id": request_id, "X-Finchladder-Response-Signature": worker.id}
        self.record.add(f"{worker.id} of {worker.service} ({worker.state}) runs {request_id}")
        return await worker.answer(writer, 200, worker.service.encode(), headers)

    async def send(self, path: str) -> str:
        """Sends a request as a client; returns the service that ran it, or the status."""
        self.sent += 1
        request_id = f"r{self.sent:04d}"
        edge = self.deployment.frontends[self.sent % len(self.deployment.frontends)]
        headers = {"Host": HOST, "X-Finchladder-Request-Id": request_id, "X-Finchladder-Deadline-Ms": "4000"}
        result = "no answer"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            answer = await call(edge, "GET", path, headers, timeout_s=5.0)
            result = answer.body.decode() if answer.status == 200 else str(answer.status)
        self.record.add(f"client sent {request_id} {path} to {edge}: {result}")
        return result

    async def send_all(self) -> int:
        """Sends requests on all paths; returns how many were handled as only the former version allows."""
        results: Counter[tuple[str, str]] = Counter()
        for _ in range(REQUESTS):
            for path in EXPECTED:
                results[path, await self.send(path)] += 1
        self.record.add(f"results: {dict(results)}")
        former = {"/moved/1": "plain", "/added/1": str(NOT_FOUND), "/dropped/1": "plain"}
        return sum(results[path, result] for path, result in former.items())

    async def drain(self, worker: Worker) -> int:
        """Drains a worker; returns how many requests reach it later than `drain_ms` after the ack."""
        worker.state = "draining"
        deadline = time.monotonic() + 10
        while not worker.drain_acknowledged_at:
            if time.monotonic() > deadline:
                raise CannotRunError("the drain was not acknowledged")
            await asyncio.sleep(0.05)
        self.record.add(f"{worker.id} is acknowledged as draining, and serves on")
        await asyncio.sleep(DRAIN_S + MARGIN_S)
        await self.send_all()
        too_late = worker.drain_acknowledged_at + DRAIN_S
        return sum(arrived_at > too_late for arrived_at, at in self.arrivals if at is worker)

    async def restart_edge(self) -> str:
        """Stops and starts a dispatcher, as planned work does; returns how it answers 8 s later."""
        node, readiness = self.deployment.edges[0], self.deployment.readiness[0]
        node.send(signal.SIGTERM)
        if node.process is not None:
            await asyncio.to_thread(node.process.wait, 9)
        node.start()
        await asyncio.sleep(8.0)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            return str((await call(readiness, "GET", "/api/readyz", {})).status)
        return "no answer"

    async def play(self) -> bool:
        """Returns whether the rule was broken."""
        add = self.record.add
        await self.deployment.start(document(5, FORMER, 15000), self.workers)
        newer = document(8, NEWER, None if self.trouble else 20000)
        await self.deployment.configure("PUT", 5, newer)
        await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
        handled_as_former = await self.send_all()
        arrived_late = await self.drain(self.workers[0])
        ready = await self.restart_edge()
        add(f"a dispatcher that was stopped and started answers {ready} when asked if ready")
        total = REQUESTS * len(EXPECTED)
        add(f"CONFIG: {handled_as_former} of {total} requests handled as only the former version allows")
        add(f"DRAIN: {arrived_late} requests reached a worker later than drain_ms after its acknowledgement")
        return handled_as_former > 0 or arrived_late > 0


async def case(record: Record, trouble: bool) -> bool:
    """Returns whether the rule was broken."""
    played = Case(record, trouble)
    try:
        return await played.play()
    finally:
        await played.deployment.stop()


run_case(Path(__file__).resolve().parent, case)
