"""Flows and their attempts: records shared by the actors, independent of the client protocol."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple, Protocol

from finchladder.core import api
from finchladder.core.dispatch.attempt_stages import Stage, Step, next_stage
from finchladder.features.status import JobStatus

# ids of ended flows that are kept at least, so that a repeated request does not run again
MAX_ENDED_IDS = 4096


class Answer(NamedTuple):
    """The final answer of a flow; `retry_after`, in seconds, is set for kind "refused" only."""

    kind: str  # served, refused, failed, or left: the client disconnected, so nothing is sent
    body: bytes = b""
    retry_after: float = 0.0


class JobMessage(Protocol):
    """A client's job in the form of the protocol that carried it."""

    def request(self, host: str, time_left_s: float) -> bytes:
        """Returns the job as a complete request to the worker at `host`."""
        ...


class Connection(Protocol):
    """The connection that a job is sent on; closing it cancels a job that is not accepted yet."""

    def close(self) -> None:
        """Closes the connection."""


class Attempt:
    """One attempt of a flow at one worker. It ends exactly once, in workers.py."""

    __slots__ = (
        "flow",
        "number",
        "worker",
        "sent_at",
        "deadline",
        "start_by",
        "stage",
        "connection",
    )

    def __init__(
        self, flow: "Flow", number: int, worker: str, sent_at: float, deadline: float, start_by: float = inf
    ) -> None:
        """Creates an attempt that becomes void unless its first byte is sent by `start_by`.

        Times are in seconds of the clock.
        """
        self.flow, self.number, self.worker = flow, number, worker
        self.sent_at, self.deadline, self.start_by = sent_at, deadline, start_by
        self.stage = Stage.WAITING
        self.connection: Connection | None = None  # None again once the job is accepted

    @property
    def ended(self) -> bool:
        """Whether the attempt has ended."""
        return self.stage is Stage.ENDED

    def step(self, step: Step) -> None:
        """Advances the attempt's stage by the state table of `attempt_stages`."""
        self.stage = next_stage(self.stage, step)


@dataclass(slots=True, eq=False)
class Flow:
    """One request of a client, from its last byte until it is answered and its last attempt has ended."""

    id: str
    job_class: str
    key: int | None
    facts: dict[str, float]
    message: JobMessage
    deadline: float
    deliver: Callable[[Answer], None]
    route: str | None = None  # the route whose limits apply
    is_client_retry: bool = False  # the client marked it as a retry
    received_at: float = 0.0  # time of acceptance, in seconds of the clock
    answer: Answer | None = None
    attempts: list[Attempt] = field(default_factory=list)
    timer: Callable[[], None] | None = None

    def request(self, now: float) -> api.Request:
        """Returns the request for the dispatcher core; `now` in seconds of the clock."""
        slots, memory = self.facts.get("slots", 1.0), self.facts.get("memory", 0.0)
        left = self.deadline - now
        return api.Request(
            self.id,
            self.job_class,
            left,
            slots,
            self.key,
            memory=memory,
            route=self.route,
            is_client_retry=self.is_client_retry,
        )


class FlowTable:
    """All flows that are unanswered or have a running attempt, by the id of their request."""

    def __init__(
        self, status: JobStatus | None = None, clock: Callable[[], float] = time.monotonic, sockets: int = 0
    ) -> None:
        self.status, self.clock = status, clock  # the job status, where enabled, records each step
        self.max_remembered = max(MAX_ENDED_IDS, 4 * sockets)
        self.by_id: dict[str, Flow] = {}
        self.open = 0  # number of unanswered flows
        self.ended_ids: dict[str, None] = {}

    def is_known(self, id: str) -> bool:
        """Whether a request of this id is open or has ended recently."""
        return id in self.by_id or id in self.ended_ids

    def add(self, flow: Flow) -> None:
        """Adds a new flow."""
        self.by_id[flow.id] = flow
        self.open += 1
        if self.status is not None:
            self.status.add(self.clock(), flow.id, flow.job_class)

    def finish(self, flow: Flow, answer: Answer) -> bool:
        """Delivers the first final answer to the client; False for any later one, which is ignored."""
        if flow.answer is not None:
            return False
        flow.answer = answer
        self.open -= 1
        if flow.timer is not None:
            flow.timer()
        flow.deliver(answer)
        self.forget_if_over(flow)
        return True

    def forget_if_over(self, flow: Flow) -> None:
        """Removes a flow that is answered and has no running attempt, and remembers its id."""
        if flow.answer is None:
            return
        for attempt in flow.attempts:
            if not attempt.ended:
                return
        if self.by_id.pop(flow.id, None) is not None:
            self.ended_ids[flow.id] = None
            # these refer back to the flow: without them it is freed at once, without garbage collection
            flow.attempts, flow.timer = [], None
            if self.status is not None:
                self.status.record_answer(self.clock(), flow.id, flow.answer.kind)
            if len(self.ended_ids) > self.max_remembered:
                del self.ended_ids[next(iter(self.ended_ids))]
