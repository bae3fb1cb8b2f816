"""Admission of requests: limits by client address first, then fault injection. No clock and no I/O."""

from typing import NamedTuple, Protocol

from finchladder.config.options import Options
from finchladder.features.admission_limits import ClientLimits
from finchladder.features.fault_injection import FaultInjector, FaultOrder, InjectedFault


class AdmissionDecision(NamedTuple):
    """The decision on one request."""

    wait_s: float = 0.0  # above 0: the request is rejected; a token is available after this time
    fault: InjectedFault | None = None


ADMITTED = AdmissionDecision()


class AdmissionObserver(Protocol):
    """Observer of every input and of the decision on it."""

    def record_request(
        self,
        t: float,
        client: str,
        request_id: str,
        job_class: str,
        timeout_s: float,
        decision: AdmissionDecision,
    ) -> None:
        """Observes the decision on a request."""

    def record_fault_order(self, t: float, order: FaultOrder, until: float | None) -> None:
        """Observes an order for fault injection."""

    def record_shutdown(self, t: float) -> None:
        """Observes the start of the graceful shutdown."""


class RequestAdmission:
    """Decides on requests before they are dispatched."""

    def __init__(self, options: Options, seed: int) -> None:
        """Creates the limits and fault injection that the options enable."""
        self.client_limits = ClientLimits(options) if options.door or options.door_of else None
        self.fault_injector = FaultInjector(seed) if options.drill is not None else None
        self.observer: AdmissionObserver | None = None

    def admit(
        self, now: float, client: str, request_id: str, job_class: str, timeout_s: float
    ) -> AdmissionDecision:
        """Decides on a request and notifies the observer."""
        decision = self._decide(now, client, job_class, timeout_s)
        if self.observer is not None:
            self.observer.record_request(now, client, request_id, job_class, timeout_s, decision)
        return decision

    def _decide(self, now: float, client: str, job_class: str, timeout_s: float) -> AdmissionDecision:
        if self.client_limits is not None and (wait_s := self.client_limits.take(now, client, job_class)) > 0:
            return AdmissionDecision(wait_s)
        if (
            self.fault_injector is not None
            and (fault := self.fault_injector.apply(now, job_class, timeout_s)) is not None
        ):
            return AdmissionDecision(fault=fault)
        return ADMITTED

    def start_fault(self, now: float, order: FaultOrder) -> float | None:
        """Starts a fault injection; returns the time at which it ends, or None if that is disabled."""
        until = self.fault_injector.start(now, order) if self.fault_injector is not None else None
        if self.observer is not None:
            self.observer.record_fault_order(now, order, until)
        return until

    def begin_shutdown(self, now: float) -> None:
        """Stops fault injection at the start of a graceful shutdown."""
        if self.fault_injector is not None:
            self.fault_injector.stop()
        if self.observer is not None:
            self.observer.record_shutdown(now)
