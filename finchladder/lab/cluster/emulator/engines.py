"""Model workers with engines: what they hold, and how fast they serve what is sent to them.

An engine works in steps. In each it reads a piece of the prompts that wait, in the order of urgency, and
makes one token of each request that has been read; the more it does, the longer the step takes. Source: the
project's protocol page, and continuous batching with chunked prefill as published (Yu and others, "Orca";
Agrawal and others, "Sarathi-Serve").
"""

import asyncio
from collections.abc import Callable
from itertools import count

from attrs import define, field, frozen

from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.worker_api import OrderRequest
from finchladder.lab.cluster.model_workers import TAKEN, StandInWorker

IDLE_S = 3600.0
ADAPTER_S = 0.012


@frozen
class EngineSpeed:
    """Of one engine, at a model of pace 1."""

    batch: int = 64
    step_s: float = 0.0082
    step_s_per_request: float = 0.0000181
    tokens_per_s: float = 25_800.0
    chunk: int = 2048
    memory_tokens: int = 148_971


@frozen
class Work:
    """What one request asks of an engine. `parts`: shared ones of its prompt, in order, with their tokens."""

    model: str
    adapter: str
    prompt: int
    output: int
    priority: int
    parts: tuple[tuple[str, int], ...] = ()


@define(eq=False)
class Running:
    """A request at an engine. `first` and `end` are done with its first and last token."""

    work: Work
    number: int
    until: float
    unread: int
    left: int
    first: "asyncio.Future[bool]"
    end: "asyncio.Future[bool]"
    was_run: bool = True  # False: the worker has said that it never will

    def fail(self) -> None:
        """It ends here, unserved."""
        for future in (self.first, self.end):
            if not future.done():
                future.set_result(False)


@frozen
class LoadTime:
    """How long a model takes to load from the store and from the own disk; seconds."""

    store_s: float
    disk_s: float


@define
class EngineWorker(StandInWorker):
    """A worker that takes orders as the stand-in does, and runs requests."""

    speed: EngineSpeed = field(factory=EngineSpeed)
    paces: dict[str, float] = field(factory=dict)  # by model; a higher one is slower
    load_times: dict[str, LoadTime] = field(factory=dict)  # by model
    queue: list[Running] = field(factory=list)
    running: list[Running] = field(factory=list)
    arrived: Signal = field(factory=Signal)
    kept: set[tuple[str, ...]] = field(factory=set)  # parts of prompts, by the path to them
    numbers: "count[int]" = field(factory=count)
    busy_s: float = 0.0

    def take(self, order: OrderRequest) -> int:
        """As of the stand-in. What waits for a model that goes is refused."""
        times = self.load_times[order.model]
        self.load_s = times.disk_s if order.model in self.on_disk else times.store_s
        if order.adapter is not None:
            self.load_s = ADAPTER_S
        status = StandInWorker.take(self, order)
        if status == TAKEN and order.operation == "evict":
            self._refuse_waiting(order)
            self.kept = {path for path in self.kept if path[0] != order.model}
        return status

    def _refuse_waiting(self, order: OrderRequest) -> None:
        for request in [*self.queue]:
            work = request.work
            if work.model == order.model and order.adapter in (None, work.adapter):
                request.was_run = False
                request.fail()
        self._drop(lambda one: not one.was_run)

    def submit(self, work: Work, until: float) -> Running | None:
        """Takes a request; None if it is refused: the model or adapter is not there."""
        self.settle()
        if not self.holds(work.model) or work.adapter not in {"", *self.adapters.get(work.model, ())}:
            return None
        loop = asyncio.get_running_loop()
        unread = max(1, work.prompt - self._kept_tokens(work))
        request = Running(
            work, next(self.numbers), until, unread, work.output, loop.create_future(), loop.create_future()
        )
        self.in_use[work.model] += 1
        self.queue.append(request)
        self.queue.sort(key=lambda one: (one.work.priority, one.number))
        self.arrived.fire()
        return request

    def _root(self, work: Work) -> tuple[str, ...]:
        return work.model, work.adapter

    def _kept_tokens(self, work: Work) -> int:
        tokens, path = 0, self._root(work)
        for part, size in work.parts:
            path = (*path, part)
            if path not in self.kept:
                break
            tokens += size
        return tokens

    def _keep(self, work: Work) -> None:
        path = self._root(work)
        for part, _ in work.parts:
            path = (*path, part)
            self.kept.add(path)

    async def serve(self) -> None:
        """Runs for ever."""
        while True:
            self._admit()
            if not self.running:
                await self.arrived.wait(IDLE_S)
                continue
            reads, slowest = self._read()
            made = [one for one in self.running if not one.unread]
            step_s = self.speed.step_s + self.speed.step_s_per_request * len(self.running)
            step_s = (step_s + reads / self.speed.tokens_per_s) * slowest
            self.busy_s += reads / self.speed.tokens_per_s * slowest
            await asyncio.sleep(step_s)
            self._make(made)

    def _admit(self) -> None:
        used = sum(one.work.prompt + one.work.output for one in self.running)
        while self.queue and len(self.running) < self.speed.batch:
            first = self.queue[0]
            used += first.work.prompt + first.work.output
            if used > self.speed.memory_tokens and self.running:
                return
            self.running.append(self.queue.pop(0))

    def _read(self) -> tuple[int, float]:
        """Reads up to a chunk; returns its tokens and the pace of the slowest model in the batch."""
        left = self.speed.chunk
        for request in self.running:
            piece = min(left, request.unread)
            request.unread -= piece
            left -= piece
        slowest = max(self.paces.get(one.work.model, 1.0) for one in self.running)
        return self.speed.chunk - left, slowest

    def _make(self, made: list[Running]) -> None:
        now = steady()
        for request in made:
            if not request.first.done():
                request.first.set_result(True)
                self._keep(request.work)
            request.left -= 1
            if request.left <= 0 and not request.end.done():
                request.end.set_result(True)
        for request in [*self.running, *self.queue]:
            if now > request.until and not request.end.done():
                request.fail()
        self._drop(lambda one: one.end.done())

    def _drop(self, is_over: Callable[[Running], bool]) -> None:
        for requests in (self.running, self.queue):
            for request in [one for one in requests if is_over(one)]:
                requests.remove(request)
                self.in_use[request.work.model] -= 1
