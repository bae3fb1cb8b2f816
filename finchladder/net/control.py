"""Control endpoints: HTTP calls that inspect or steer a running dispatcher at the address for clients."""

from collections.abc import Callable, Iterator
from hmac import compare_digest
from typing import Annotated, Any, Literal, NamedTuple, Protocol
from urllib.parse import unquote

import msgspec
from msgspec import Meta

from finchladder.config.options import Options
from finchladder.features.capture import Capture, split_chunks
from finchladder.features.fault_injection import FaultOrder
from finchladder.features.request_admission import RequestAdmission
from finchladder.features.status import JobStatus
from finchladder.net.decision_actor import Clock
from finchladder.net.http1 import Head, MalformedMessageError

STATUS_PATH, FAULT_PATH, METRICS_PATH, CAPTURE_PATH, PEERS_PATH = (
    "/_status/",
    "/_drill",
    "/_metrics",
    "/_capture",
    "/_peers",
)
OVERRIDE_PATH = "/_judge"
JSON_HEADER = "Content-Type: application/json"


class Dump:
    """A snapshot of the capture ring. It holds memory until it is sent, so only one exists at a time."""

    def __init__(self, blocks: list[bytes], on_sent: Callable[[], None]) -> None:
        self.blocks, self.on_sent = blocks, on_sent
        self.size = sum(map(len, blocks))

    def pieces(self) -> Iterator[bytes]:
        """Yields the dump in pieces of bounded size."""
        return split_chunks(self.blocks)


class Reportable(Protocol):
    """A component whose state `GET /_peers` returns."""

    def show(self) -> dict[str, Any]:
        """Returns the state as a JSON object."""


class OutlierControls(Protocol):
    """The outlier detector's state, and the operator's overrides of it."""

    key: str | None

    def show(self) -> list[dict[str, Any]]:
        """Returns one JSON object for each worker with evidence and for each override."""

    def apply_override(self, request: "OverrideRequest") -> dict[str, Any]:
        """Applies an override and returns it as a JSON object.

        Raises:
            ValueError: The override can't be applied; the message is one line.
        """


class OverrideRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `POST /_judge`; `for_s` in seconds."""

    server: Annotated[str, Meta(min_length=1, max_length=64)]
    stance: Literal["out", "in", "let"]
    for_s: Annotated[float, Meta(gt=0, le=86_400)] = 600.0
    why: Annotated[str, Meta(max_length=80)] = ""


class Reply(NamedTuple):
    """A response; `fields` are complete header lines."""

    status: int
    body: bytes = b""
    fields: tuple[str, ...] = ()
    dump: Dump | None = None  # sent instead of `body`


class ControlEndpoints:
    """Serves the control endpoints of the enabled features."""

    def __init__(
        self,
        clock: Clock,
        classes: set[str],
        options: Options,
        status: JobStatus | None,
        arrivals: RequestAdmission,
        capture: Capture | None,
    ) -> None:
        self.clock, self.classes = clock, classes
        self.status, self.arrivals, self.capture = status, arrivals, capture
        self.peers: Reportable | None = None
        self.outlier_control: OutlierControls | None = None
        self.is_dumping = False
        self.fault_key = options.drill.key if options.drill is not None else None

    def answer(self, head: Head, body: bytes) -> Reply | None:
        """Returns the response, or None for a path that is no control endpoint.

        Raises:
            MalformedMessageError: The request can't be used.
        """
        path = head.target.partition("?")[0]
        if self.status is not None and path.startswith(STATUS_PATH):
            return self._answer_get(head, lambda: self._status(unquote(path.removeprefix(STATUS_PATH))))
        if self.arrivals.fault_injector is not None and path == METRICS_PATH:
            return self._answer_get(head, self._metrics)
        if self.capture is not None and path == CAPTURE_PATH:
            return self._answer_get(head, self._dump)
        if self.peers is not None and path == PEERS_PATH:
            peers = self.peers
            return self._answer_get(
                head, lambda: Reply(200, msgspec.json.encode(peers.show()) + b"\n", (JSON_HEADER,))
            )
        if self.outlier_control is not None and path == OVERRIDE_PATH:
            outlier_control = self.outlier_control
            if head.method == "GET":
                return Reply(200, msgspec.json.encode(outlier_control.show()) + b"\n", (JSON_HEADER,))
            return self._override(outlier_control, head, body)
        if path == FAULT_PATH and head.method == "POST":
            return self._inject_fault(head, body)
        return None

    def _answer_get(self, head: Head, answer: Callable[[], Reply]) -> Reply:
        if head.method != "GET":
            raise MalformedMessageError(405, "this is asked for by GET", allow="GET")
        return answer()

    def _status(self, id: str) -> Reply:
        assert self.status is not None
        status = self.status.get(self.clock(), id)
        if status is None:
            return Reply(404, b"no job of this id is known here\n")
        return Reply(200, msgspec.json.encode(status), (JSON_HEADER,))

    def _metrics(self) -> Reply:
        assert self.arrivals.fault_injector is not None
        lines = [
            "# HELP drill_applied_total Requests that a drill delayed or aborted.",
            "# TYPE drill_applied_total counter",
        ]
        for name, count in self.arrivals.fault_injector.applied.items():
            label = name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
            lines.append(f'drill_applied_total{{class="{label}"}} {count}')
        text = "".join(f"{line}\n" for line in lines)
        return Reply(200, text.encode(), ("Content-Type: text/plain; version=0.0.4; charset=utf-8",))

    def _dump(self) -> Reply:
        assert self.capture is not None
        if self.is_dumping:
            return Reply(503, b"another dump is being sent\n", ("Retry-After: 1",))
        self.is_dumping = True
        dump = Dump(self.capture.dump(self.clock()), self._dump_sent)
        return Reply(200, fields=("Content-Type: application/jsonl",), dump=dump)

    def _dump_sent(self) -> None:
        self.is_dumping = False

    def _override(self, outlier_control: OutlierControls, head: Head, body: bytes) -> Reply:
        if head.method != "POST":
            raise MalformedMessageError(405, "this is asked for by GET, and said by POST", allow="GET, POST")
        given = (head.headers.get("x-judge-key") or "").encode()
        if outlier_control.key is None or not compare_digest(given, outlier_control.key.encode()):
            return Reply(403, b"no word without the key\n")
        try:
            applied = outlier_control.apply_override(msgspec.json.decode(body, type=OverrideRequest))
            return Reply(200, msgspec.json.encode(applied) + b"\n", (JSON_HEADER,))
        except msgspec.MsgspecError as e:
            raise MalformedMessageError(400, f"judge: {e}") from None
        except ValueError as e:
            return Reply(409, f"{e}\n".encode())

    def _inject_fault(self, head: Head, body: bytes) -> Reply:
        given = (head.headers.get("x-drill-key") or "").encode()
        # in constant time: the duration must not reveal how many bytes of the key were right
        if self.fault_key is None or not compare_digest(given, self.fault_key.encode()):
            return Reply(403, b"no drill without the key\n")
        try:
            order = msgspec.json.decode(body, type=FaultOrder)
        except msgspec.MsgspecError as e:
            raise MalformedMessageError(400, f"drill: {e}") from None
        if order.job_class not in self.classes:
            raise MalformedMessageError(
                400, f"drill: no such class; there are {', '.join(sorted(self.classes))}"
            )
        order = msgspec.structs.replace(order, abort_share=order.total_abort_share)
        self.arrivals.start_fault(self.clock(), order)
        return Reply(200, msgspec.json.encode(order) + b"\n", (JSON_HEADER,))
