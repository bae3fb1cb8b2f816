"""Quota cost of resumed streams and retried requests, which a review found to be untested."""

from collections.abc import Callable

import pytest
from aiohttp import web
from attrs import define, field

from finchladder.cluster.tenancy.reservations import QuotaExhausted, QuotaRefusal, Reservation
from finchladder.cluster.tenancy.tenants import Tenant
from finchladder.cluster.transport.peers import steady
from tests.cluster.test_router import (
    Handler,
    StandInWorker,
    abort,
    complete_stream,
    not_executed,
    respond,
    resumed_stream,
    run_with_timeout,
    stream_events,
)
from tests.cluster.test_tenant_requests import NORTH, key, tenant_harness, tenant_snapshot

QuotaOutcome = Callable[[Tenant, int], Reservation | QuotaRefusal]


def granted(tenant: Tenant, cost: int) -> Reservation:
    return Reservation(tenant.name, cost, 1, steady() + 0.5)


def lapsed(tenant: Tenant, cost: int) -> Reservation:
    return Reservation(tenant.name, cost, 1, steady())


def exhausted(tenant: Tenant, cost: int) -> QuotaExhausted:
    return QuotaExhausted(1.0)


@define
class Source:
    """Returns the given outcomes in order, and then repeats the last one."""

    outcomes: list[QuotaOutcome]
    reserved: int = 0
    returned: list[Reservation] = field(factory=list)

    async def reserve(
        self, tenant: Tenant, cost: int, deadline: float, replaced: Reservation | None = None
    ) -> Reservation | QuotaRefusal:
        outcome = self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
        self.reserved += 1
        return outcome(tenant, cost)

    def return_reservation(self, reservation: Reservation) -> None:
        self.returned.append(reservation)


LIMITED = tenant_snapshot(1, {**NORTH, "rate_per_s": 100, "burst": 100})


async def interrupted_stream(request: web.BaseRequest) -> web.StreamResponse:
    return await stream_events(request, 1, 2, b"id: 3\nda")


@pytest.mark.parametrize(
    ("second", "arrivals", "returned"),
    [(granted, 2, 0), (lapsed, 1, 1), (exhausted, 1, 0)],
    ids=["granted", "lapsed meanwhile", "exhausted"],
)
def test_a_stream_that_is_resumed_reaches_the_second_worker_with_a_grant_of_its_own(
    second: QuotaOutcome, arrivals: int, returned: int
) -> None:
    async def work() -> None:
        source = Source([granted, second])
        workers = [StandInWorker(interrupted_stream), StandInWorker(resumed_stream, complete_stream)]
        async with tenant_harness(*workers) as harness:
            harness.router.snapshot, harness.router.quotas = LIMITED, source
            try:
                async with harness.send("/resumed/", b"{}", **key("north-1")) as response:
                    await response.read()
            except Exception:  # noqa: BLE001 - any exception: the connection was aborted
                assert arrivals == 1
        assert sum(len(worker.requests) for worker in workers) == arrivals
        assert (source.reserved, len(source.returned)) == (2, returned)

    run_with_timeout(work)


@pytest.mark.parametrize(
    ("first", "second", "status", "reserved", "arrivals"),
    [(abort, exhausted, 502, 2, 1), (abort, granted, 200, 2, 2)],
    ids=["may have run, exhausted", "may have run, granted"],
)
def test_an_attempt_that_may_have_run_costs_quota_and_never_gets_429(
    first: Handler, second: QuotaOutcome, status: int, reserved: int, arrivals: int
) -> None:
    async def work() -> None:
        source = Source([granted, second])
        attempts: list[int] = []

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            attempts.append(1)
            return await (first if len(attempts) == 1 else respond)(request)

        workers = [StandInWorker(handle), StandInWorker(handle)]
        async with tenant_harness(*workers) as harness:
            harness.router.snapshot, harness.router.quotas = LIMITED, source
            async with harness.send("/again/", b"{}", **key("north-1")) as response:
                assert response.status == status
        assert (len(attempts), source.reserved, source.returned) == (arrivals, reserved, [])

    run_with_timeout(work)


def test_an_attempt_that_did_not_run_costs_nothing_more_at_the_next_worker() -> None:
    async def work() -> None:
        source = Source([granted])
        attempts: list[int] = []

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            attempts.append(1)
            return await (not_executed(503) if len(attempts) == 1 else respond)(request)

        async with tenant_harness(StandInWorker(handle), StandInWorker(handle)) as harness:
            harness.router.snapshot, harness.router.quotas = LIMITED, source
            async with harness.send("/once/", b"{}", **key("north-1")) as response:
                assert response.status == 200
        assert (len(attempts), source.reserved, source.returned) == (2, 1, [])

    run_with_timeout(work)


def test_a_request_that_is_never_sent_returns_its_grant() -> None:
    async def work() -> None:
        source = Source([granted])
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:
            harness.router.snapshot, harness.router.quotas = LIMITED, source
            headers = {"X-Finchladder-Model": "m9", "X-Finchladder-Deadline-Ms": "200"}
            async with harness.send("/once/", b"{}", **key("north-1"), **headers) as response:
                assert response.status == 503
        assert (worker.requests, source.reserved, len(source.returned)) == ([], 1, 1)

    run_with_timeout(work)
