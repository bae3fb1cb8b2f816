"""Routes HTTP messages: jobs, callbacks, health checks and control calls."""

from collections.abc import Callable

from finchladder.core.connections.client_connections import ConnectionValue
from finchladder.net.admission import Admission
from finchladder.net.client_connection import ClientConnection
from finchladder.net.control import ControlEndpoints, Reply
from finchladder.net.flows import Answer, Flow
from finchladder.net.http1 import Head, MalformedMessageError, StreamClosedError
from finchladder.net.job_intake import DuplicateRequestError, JobIntake
from finchladder.net.messages import (
    CALLBACK_PATH,
    Callback,
    HttpMessage,
    read_callback,
    read_client_retry,
    read_facts,
    read_id,
    read_target,
    read_time_left,
)

HEALTH_PATH = "/_health"


def reply_of(answer: Answer) -> Reply:
    """Returns the HTTP response for a flow's answer."""
    if answer.kind == "served":
        return Reply(200, answer.body)
    if answer.kind == "refused":
        after = (f"Retry-After: {answer.retry_after:g}",) if answer.retry_after > 0 else ()
        return Reply(503, b"refused\n", after)
    return Reply(502, b"failed\n")


class RequestHandler:
    """Answers each message: a callback, a health check, a control call or a job."""

    def __init__(
        self,
        intake: JobIntake,
        controls: ControlEndpoints,
        is_ready: Callable[[], bool],
        on_callback: Callable[[Callback], None],
        admission: Admission | None = None,
    ) -> None:
        self.intake, self.controls, self.admission = intake, controls, admission
        self.is_ready, self.on_callback = is_ready, on_callback

    async def answer(self, connection: ClientConnection, head: Head, body: bytes) -> Reply:
        """Returns the response to one message.

        Raises:
            MalformedMessageError: The message can't be used.
            StreamClosedError: The client has closed the connection.
        """
        path = head.target.partition("?")[0]
        if path == CALLBACK_PATH:
            connection.sends_callbacks = True
            if head.method != "POST":
                raise MalformedMessageError(405, "call-backs come by POST")
            self.on_callback(read_callback(body))
            connection.raise_value(ConnectionValue.SERVED)
            return Reply(204)
        if path == HEALTH_PATH:
            up = self.is_ready() and not self.intake.shutdown.has_begun
            connection.raise_value(ConnectionValue.QUERIED)
            return Reply(200, b"up\n") if up else Reply(503, b"not up\n")
        if path.startswith("/_") and (reply := self.controls.answer(head, body)) is not None:
            connection.raise_value(ConnectionValue.QUERIED)
            return reply
        return await self._answer_job(connection, head, body)

    async def _answer_job(self, connection: ClientConnection, head: Head, body: bytes) -> Reply:
        job_class, key = read_target(head.target)
        if job_class not in self.intake.classes:
            raise MalformedMessageError(404, "no such class")
        if head.method != "POST":
            raise MalformedMessageError(405, "jobs come by POST")
        # bytes after the request may be another one, smuggled in its body
        if connection.channel.parser.has_more:
            raise MalformedMessageError(400, "one request at a time")
        id, facts, left_s = read_id(head), read_facts(head), read_time_left(head)
        if connection.received_at:
            left_s = max(0.0, left_s - connection.message_age_s)
        route = self.intake.routes.find(head.method, head.target, head.headers, job_class)
        if route is not None:
            left_s = route.effective_timeout_s(left_s)
        try:
            decision = self.intake.check_limits(connection.client, id, job_class, left_s)
            if decision.wait_s > 0:
                connection.raise_value(ConnectionValue.QUERIED)
                return Reply(429, b"too many requests\n", (f"Retry-After: {decision.wait_s:g}",))
            if self.admission is not None and not connection.is_admitted and decision.fault is None:
                retry_after_s = self.admission.check(job_class, left_s)
                if retry_after_s is not None:
                    connection.raise_value(ConnectionValue.QUERIED)
                    return reply_of(Answer("refused", retry_after=retry_after_s))
            message = HttpMessage(head.method, head.target, head.headers, body)
            # a job whose client has disconnected is not started
            if connection.client_has_left():
                raise StreamClosedError()
            deadline = self.intake.deadline(left_s)
            flow = Flow(id, job_class, key, facts, message, deadline, connection.deliver)
            if route is not None:
                flow.route, flow.is_client_retry = route.name, read_client_retry(head)
            self.intake.open_flow(flow, decision.fault)
        except DuplicateRequestError:
            raise MalformedMessageError(
                400, "a request with this X-Correlation-Id has come already"
            ) from None
        return reply_of(await connection.wait_for_answer(flow))
