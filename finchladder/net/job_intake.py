"""Job intake: turns a client's job into a flow, independent of the protocol, and ensures one answer."""

from functools import partial

from loguru import logger
from tornado.ioloop import IOLoop

from finchladder.core import api
from finchladder.core.connections.graceful_shutdown import GracefulShutdown
from finchladder.core.routing.routes import NO_ROUTES
from finchladder.features.fault_injection import InjectedFault
from finchladder.features.request_admission import AdmissionDecision, RequestAdmission
from finchladder.net.decision_actor import DecisionActor
from finchladder.net.flows import Answer, Flow, FlowTable
from finchladder.net.timers import Timers

OPEN_FLOW_SHARE = 1 / 3  # maximum number of open flows, as a share of all sockets
NO_ROOM_RETRY_AFTER_S = 1.0  # pause asked for beyond that, of clients that have more time


class DuplicateRequestError(Exception):
    """A request with this id has been received already."""


def _fields(flow: Flow) -> dict[str, str]:
    return {"id": flow.id, "class": flow.job_class}


class JobIntake:
    """Turns accepted requests into flows, enforces their deadlines, and applies fault injection."""

    def __init__(
        self,
        classes: set[str],
        flows: FlowTable,
        decisions: DecisionActor,
        timers: Timers,
        arrivals: RequestAdmission,
        shutdown: GracefulShutdown,
        sockets: int,
    ) -> None:
        self.classes, self.flows, self.decisions, self.clock = classes, flows, decisions, decisions.clock
        self.timers, self.arrivals, self.shutdown = timers, arrivals, shutdown
        self.max_open_flows = int(OPEN_FLOW_SHARE * sockets)
        self.delayed_flows: dict[Flow, InjectedFault] = {}  # held by fault injection, or about to be aborted
        self.routes = NO_ROUTES

    def check_limits(self, client: str, id: str, job_class: str, left_s: float) -> AdmissionDecision:
        """Returns the verdict of rate limits and fault injection on a request; `left_s` in seconds.

        Raises:
            DuplicateRequestError: A request with this id has been received already.
        """
        if self.flows.is_known(id):
            raise DuplicateRequestError
        return self.arrivals.admit(self.clock(), client, id, job_class, left_s)

    def deadline(self, left_s: float) -> float:
        """Returns the deadline (seconds of the clock) of a request that may take `left_s` more seconds."""
        now = self.clock()
        return self.shutdown.latest_answer_at(now, now + left_s)

    def open_flow(self, flow: Flow, fault: InjectedFault | None = None) -> None:
        """Opens a flow and submits it to the dispatcher core, or rejects it if too many are open.

        Raises:
            DuplicateRequestError: A request with this id has been received already.
        """
        if self.flows.is_known(flow.id):
            raise DuplicateRequestError
        self.flows.add(flow)
        flow.received_at = self.clock()
        if self.flows.open > self.max_open_flows:
            has_time = flow.deadline - flow.received_at > NO_ROOM_RETRY_AFTER_S
            self.flows.finish(flow, Answer("refused", retry_after=NO_ROOM_RETRY_AFTER_S * has_time))
            return
        self.timers.schedule(flow, flow.deadline, partial(self._deadline_passed, flow))
        flow.timer = partial(self.timers.cancel, flow)
        if fault is None:
            self.decisions.submit(flow)
        else:
            self._inject_fault(flow, fault)

    def client_disconnected(self, flow: Flow) -> None:
        """Ends a flow without an answer and cancels its attempts."""
        if self.flows.finish(flow, Answer("left")):
            self.decisions.submit(api.ClientDisconnected(flow.id))

    def shut_down(self) -> None:
        """Starts the shutdown: requests held by fault injection are released."""
        now = self.clock()
        self.shutdown.begin(now)
        self.arrivals.begin_shutdown(now)
        for flow in list(self.delayed_flows):  # a delayed job must be answered before a SIGKILL follows
            self.delayed_flows[flow] = InjectedFault()
            self._release_delayed(flow)

    def _inject_fault(self, flow: Flow, fault: InjectedFault) -> None:
        kind = "delay" if fault.delay_s else "abort"
        bound = logger.bind(drill=kind, **_fields(flow))
        bound.info("drill={} class={} id={} hold={:g}", kind, flow.job_class, flow.id, fault.delay_s)
        self.delayed_flows[flow] = fault
        if not fault.delay_s:
            return self._release_delayed(flow)
        loop, cancel_deadline = IOLoop.current(), flow.timer
        handle = loop.call_later(fault.delay_s, self._release_delayed, flow)

        # also called when the client disconnects, so that no timer keeps a reference to the flow
        def forget() -> None:
            if cancel_deadline is not None:
                cancel_deadline()
            loop.remove_timeout(handle)
            self.delayed_flows.pop(flow, None)

        flow.timer = forget

    def _release_delayed(self, flow: Flow) -> None:
        if (fault := self.delayed_flows.pop(flow, None)) is None or flow.answer is not None:
            return
        if fault.abort:
            self.flows.finish(flow, Answer("refused"))
        else:
            self.decisions.submit(flow)

    def _deadline_passed(self, flow: Flow) -> None:
        """Fails a flow that the dispatcher core should have answered before its deadline, but has not."""
        if self.flows.finish(flow, Answer("failed")):
            logger.bind(**_fields(flow)).error("the dispatcher core did not answer a job before its deadline")
            self.decisions.submit(api.ClientDisconnected(flow.id))
