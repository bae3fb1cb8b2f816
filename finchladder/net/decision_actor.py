"""The actor of the dispatcher core, with its clock and its timers."""

import math
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from tornado.ioloop import IOLoop

from finchladder.core import api
from finchladder.core.dispatch.dispatcher import SWEEP_TIMER
from finchladder.core.routing.limited_dispatcher import Decisions, NewRoutes
from finchladder.net.actor import Actor
from finchladder.net.flows import Answer, Attempt, Flow, FlowTable

MAILBOX_SIZE = 16384


class Clock:
    """Unix time at the start plus the progress of the monotonic clock since, in seconds.

    It never goes back, and is comparable with the start times of workers (`since_ms`).
    """

    def __init__(
        self, wall: Callable[[], float] = time.time, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        self.monotonic = monotonic
        self.offset = wall() - monotonic()

    def __call__(self) -> float:
        """Returns the time in seconds."""
        return self.offset + self.monotonic()


class AttemptSender(Protocol):
    """Sends attempts to workers and cancels them."""

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt to its worker."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt."""


class DecisionRecorder(Protocol):
    """Records each event and the actions that it led to."""

    def record_event(
        self,
        t: float,
        event: api.Event | NewRoutes,
        actions: Sequence[api.Action],
        error: Exception | None = None,
    ) -> None:
        """Records one event with its actions, or the error raised; `t` in seconds."""


class AttemptEnd:
    """The end of an attempt, for the dispatcher core.

    Whether the flow is answered is determined when the item is handled, not when it is created.
    """

    __slots__ = ("attempt", "ending", "duration_s", "report")

    def __init__(
        self, attempt: Attempt, ending: api.Ending, duration_s: float, report: dict[str, float] | None
    ) -> None:
        self.attempt, self.ending, self.duration_s, self.report = attempt, ending, duration_s, report


Item = api.Event | NewRoutes | Flow | AttemptEnd


MIN_STALL_S = 0.005  # a shorter delay of the event loop does not count as a stall


class DecisionActor(Actor[Item]):
    """The only caller of `Decisions.handle`: passes events to the core and carries out its actions."""

    def __init__(self, dispatcher: Decisions, flows: FlowTable, clock: Clock) -> None:
        super().__init__("module", MAILBOX_SIZE)
        self.dispatcher, self.flows, self.clock = dispatcher, flows, clock
        self.sender: AttemptSender | None = None
        self.recorder: DecisionRecorder | None = None
        # called with the seconds that a job took to start
        self.on_job_started: Callable[[float], None] | None = None
        self.queued_lists = 0  # number of worker lists in the mailbox
        # time at which the core's sweep timer is due; a later event means that the event loop stalled
        self.sweep_due_at = math.inf
        # called if the core has to request the list
        self.on_subscribe: Callable[[bool], None] = lambda on: None

    def submit(self, item: Item) -> None:
        """Posts an event; a worker list overtakes other queued events, so that these use the new list."""
        self.post(item)
        if self.mailbox and self.mailbox[-1] is item and isinstance(item, api.WorkerList):
            self.mailbox.pop()
            self.mailbox.insert(self.queued_lists, item)
            self.queued_lists += 1

    def receive(self, item: Item) -> None:
        """Passes one event to the dispatcher core and carries out its actions."""
        now = self.clock()
        self._check_stall(now)
        if isinstance(item, Flow):
            if item.answer is not None:  # the client disconnected before its request was handled
                return
            event: api.Event | NewRoutes = item.request(now)
        elif isinstance(item, AttemptEnd):
            attempt = item.attempt
            finished = attempt.flow.answer is not None
            event = api.Ended(
                attempt.flow.id, attempt.number, item.ending, finished, item.duration_s, item.report
            )
        else:
            event = item
            if isinstance(item, api.WorkerList):
                self.queued_lists = max(0, self.queued_lists - 1)
        for action in self._decide(now, event):
            self._carry_out(action, now)

    def _on_timer(self, timer: api.Timer) -> None:
        if timer.token == SWEEP_TIMER:
            self._check_stall(self.clock())
            self.sweep_due_at = math.inf
        self.submit(timer)

    def _check_stall(self, now: float) -> None:
        """Reports a stall of the event loop, during which responses of workers could not be read."""
        if now > self.sweep_due_at + MIN_STALL_S:
            stall_s, self.sweep_due_at = now - self.sweep_due_at, now
            for action in self._decide(now, api.LoopStall(stall_s)):
                self._carry_out(action, now)

    def _decide(self, now: float, event: api.Event | NewRoutes) -> list[api.Action]:
        try:
            actions = self.dispatcher.handle(now, event)
        except Exception as e:
            if self.recorder is not None:
                self.recorder.record_event(now, event, [], e)
            raise
        if self.recorder is not None:
            self.recorder.record_event(now, event, actions)
        return actions

    def _carry_out(self, action: api.Action, now: float) -> None:
        if isinstance(action, api.Send | api.Cancel | api.Reject | api.Fail):
            if (flow := self.flows.by_id.get(action.request)) is not None:
                self._for_flow(flow, action, now)
        elif isinstance(action, api.SetTimer):
            if action.token == SWEEP_TIMER:
                self.sweep_due_at = now + action.delay_s
            IOLoop.current().call_later(max(0.0, action.delay_s), self._on_timer, api.Timer(action.token))
        elif isinstance(action, api.Log):
            self.log.info("module: {}", action.text)
        elif isinstance(action, api.Subscribe):
            self.on_subscribe(action.on)
        else:
            self.log.warning("module: messages to peers are not supported here; one is ignored")

    def _for_flow(
        self, flow: Flow, action: api.Send | api.Cancel | api.Reject | api.Fail, now: float
    ) -> None:
        assert self.sender is not None
        if isinstance(action, api.Send):
            deadline = min(flow.deadline, now + action.timeout_s) if action.timeout_s > 0 else flow.deadline
            start_by = now + action.start_within_s if action.start_within_s > 0 else math.inf
            attempt = Attempt(flow, len(flow.attempts), action.worker, now, deadline, start_by)
            flow.attempts.append(attempt)
            if self.flows.status is not None:
                self.flows.status.record_attempt(flow.id, action.worker)
            self.sender.send(attempt)
        elif isinstance(action, api.Cancel):
            if action.attempt < len(flow.attempts):
                self.sender.cancel(flow.attempts[action.attempt])
        elif isinstance(action, api.Reject):
            self.flows.finish(flow, Answer("refused", retry_after=action.retry_after_s))
        else:
            self.flows.finish(flow, Answer("failed"))

    def failed(self, item: Item) -> None:
        """Fails the flow of an event that raised an error, so that its client still gets an answer."""
        flow = item if isinstance(item, Flow) else None
        if isinstance(item, AttemptEnd):
            flow = item.attempt.flow
        elif isinstance(item, api.Started | api.Progress):
            flow = self.flows.by_id.get(item.request)
        if flow is not None:
            self.flows.finish(flow, Answer("failed"))
        # the core relies on its timers: a lost one might never be set again
        if isinstance(item, api.Timer):
            IOLoop.current().call_later(self.dispatcher.settings.clock_tick_s, self.submit, item)
