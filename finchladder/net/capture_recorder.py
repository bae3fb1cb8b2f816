"""Records the inputs and outputs of the dispatcher core; errors here never affect the service."""

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from finchladder.core import api
from finchladder.core.routing.limited_dispatcher import NewRoutes
from finchladder.features.capture import Capture
from finchladder.features.fault_injection import FaultOrder
from finchladder.features.request_admission import AdmissionDecision


class CaptureRecorder:
    """Passes inputs and outputs of the dispatcher core to the capture; logs the capture's errors."""

    def __init__(self, capture: Capture) -> None:
        self.capture = capture
        self.is_error_logged = self.is_size_logged = False

    def call_soon(self, work: Callable[[], None]) -> None:
        """Runs work of the capture in a later iteration of the event loop."""
        asyncio.get_running_loop().call_soon(self._record, work)

    def record_event(
        self,
        t: float,
        event: api.Event | NewRoutes,
        actions: Sequence[api.Action],
        error: Exception | None = None,
    ) -> None:
        """Records an event and the actions, or the error, that it led to; `t` in seconds."""
        self._record(lambda: self.capture.record_event(t, event, actions, error))

    def record_request(
        self, t: float, client: str, id: str, job_class: str, patience: float, decision: AdmissionDecision
    ) -> None:
        """Records a request and the verdict of rate limits and fault injection; times in seconds."""
        self._record(lambda: self.capture.record_request(t, client, id, job_class, patience, decision))

    def record_fault_order(self, t: float, order: FaultOrder, until: float | None) -> None:
        """Records an operator's order for fault injection, which ends at `until` (seconds)."""
        self._record(lambda: self.capture.record_fault_order(t, order, until))

    def record_shutdown(self, t: float) -> None:
        """Records that the dispatcher has begun to shut down."""
        self._record(lambda: self.capture.record_shutdown(t))

    def _record(self, record: Callable[[], None]) -> None:
        """Makes a record; a failure leaves a gap, after which the capture starts again with a snapshot."""
        try:
            record()
        except Exception:
            if not self.is_error_logged:
                self.is_error_logged = True
                logger.exception("capture: an input could not be recorded")
            self.capture.record_gap()
        if self.capture.too_large and not self.is_size_logged:
            self.is_size_logged = True
            logger.warning(
                "capture: {} bytes are too few for the state", self.capture.ring.max_snapshot_bytes
            )
