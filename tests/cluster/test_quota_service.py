"""The quota account at its holder: terms, lease and configuration, in virtual time."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from attrs import define, field

from finchladder.cluster.process.quota_service import NOT_THE_HOLDER, QuotaService, Term
from finchladder.cluster.tenancy.quota_account import QuotaAccount
from finchladder.cluster.tenancy.quota_rule import QuotaRule
from finchladder.cluster.types.messages import QuotaDemand, QuotaReply, QuotaReturn, ReserveQuota
from finchladder.lab.cluster.quota_oracle import QuotaOracle
from finchladder.lab.cluster.virtual import run

RULE = QuotaRule(window_s=8.0, overage=0.1, slack=17_000)
RATE = 1_000
LOW_RATE = 100
REFILLED_S = 100.0  # time after which a bucket is full


def document(*names: str, rate: float = RATE) -> bytes:
    limits = {"api_keys": [], "unit": "token_count", "rate_per_s": rate, "burst": rate}
    tenants = [{"name": name, **limits} for name in names]
    return json.dumps({"tenants": tenants}).encode()


def capacity(rate: float = RATE) -> float:
    """Returns the units that a tenant's full bucket grants at once."""
    return RULE.bucket_limits(rate, rate).capacity


@define
class Scene:
    """A process with the account, its term and its newest configuration."""

    term: Term | None = field(factory=lambda: Term(1, 0.0))
    document: bytes = field(factory=lambda: document("a"))
    service: QuotaService = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.service = QuotaService(lambda: self.term, lambda: self.document, QuotaAccount(RULE))

    def reserve(self, *costs: int, tenant: str = "a", returns: int = 0, term: int = 1) -> QuotaReply:
        returned = (QuotaReturn(tenant, returns),) if returns else ()
        needs = (QuotaDemand(tenant, costs),) if costs else ()
        return self.service.on_reserve(ReserveQuota("edge-1", needs, returned, term))

    def granted(self, *costs: int, tenant: str = "a") -> tuple[bool, ...]:
        """Returns for each of the costs whether it is granted."""
        return self.reserve(*costs, tenant=tenant).grants[0].granted

    def drain(self) -> int:
        """Takes all available units in steps of 10, and returns their number."""
        taken = 0
        while self.granted(10) == (True,):
            taken += 10
        return taken


def run_scene(work: Callable[[Scene], Awaitable[Any]], scene: Scene | None = None) -> None:
    async def main() -> None:
        await work(scene or Scene())

    run(main())


def test_a_process_that_is_not_the_holder_grants_nothing() -> None:
    async def work(scene: Scene) -> None:
        await asyncio.sleep(REFILLED_S)
        assert scene.reserve(1) == NOT_THE_HOLDER
        assert scene.reserve(1, returns=100) == QuotaReply(is_holder=False)

    run_scene(work, Scene(term=None))


def test_nothing_is_granted_once_the_lease_has_ended_between_two_calls() -> None:
    async def work(scene: Scene) -> None:
        await asyncio.sleep(REFILLED_S)
        assert scene.granted(1) == (True,)
        scene.term = None
        assert not scene.reserve(1).is_holder
        assert scene.reserve(1).grants == ()

    run_scene(work)


def test_a_lease_that_is_renewed_late_continues_the_same_term() -> None:
    async def work(scene: Scene) -> None:
        await asyncio.sleep(REFILLED_S)
        scene.drain()
        term, scene.term = scene.term, None
        assert not scene.reserve(1).is_holder
        scene.term = term
        assert scene.granted(10) == (False,)

    run_scene(work)


def test_an_unknown_tenant_gets_nothing_until_its_configuration_is_read() -> None:
    async def work(scene: Scene) -> None:
        await asyncio.sleep(REFILLED_S)
        assert scene.granted(1, 1, tenant="b") == (False, False)
        scene.document = document("a", "b")
        assert scene.granted(1, 1, tenant="b") == (True, True)
        scene.document = b""
        assert scene.granted(1, tenant="b") == (False,)

    run_scene(work)


def test_returns_of_an_unknown_tenant_are_dropped() -> None:
    async def work(scene: Scene) -> None:
        await asyncio.sleep(REFILLED_S)
        assert scene.reserve(tenant="b", returns=5_000).is_holder

    run_scene(work)


def test_a_lowered_limit_holds_from_the_next_call_on() -> None:
    async def work(scene: Scene) -> None:
        await asyncio.sleep(REFILLED_S)
        assert scene.granted(1) == (True,)
        scene.document = document("a", rate=LOW_RATE)
        assert scene.drain() <= capacity(LOW_RATE)
        await asyncio.sleep(1.0)
        assert scene.drain() <= LOW_RATE + 10

    run_scene(work)


def test_a_lowered_limit_does_not_refill_to_the_old_capacity() -> None:
    async def work(scene: Scene) -> None:
        scene.drain()
        scene.document = document("a", rate=LOW_RATE)
        scene.drain()
        await asyncio.sleep(REFILLED_S * RATE / LOW_RATE)
        assert scene.drain() <= capacity(LOW_RATE)

    run_scene(work)


def test_a_newer_document_is_read() -> None:
    async def work(scene: Scene) -> None:
        await asyncio.sleep(REFILLED_S)
        scene.drain()
        scene.document = document("a", rate=10 * RATE)
        scene.drain()
        await asyncio.sleep(1.0)
        assert scene.drain() == pytest.approx(10 * RATE, abs=10)

    run_scene(work)


def test_returned_quota_can_be_granted_in_the_same_message() -> None:
    async def work(scene: Scene) -> None:
        await asyncio.sleep(REFILLED_S)
        assert scene.granted(5_000) == (True,)
        scene.drain()
        reply = scene.reserve(5_000, returns=5_000)
        assert reply.grants[0].granted == (True,)
        assert scene.granted(10) == (False,)

    run_scene(work)


def test_grants_of_another_term_are_not_taken_back() -> None:
    async def work(scene: Scene) -> None:
        await asyncio.sleep(REFILLED_S)
        scene.drain()
        scene.term = Term(2, asyncio.get_running_loop().time())
        assert scene.reserve(5_000, returns=5_000, term=1).grants[0].granted == (False,)

    run_scene(work)


def test_the_term_begins_empty_at_the_election_and_not_at_the_first_call() -> None:
    async def work(scene: Scene) -> None:
        await asyncio.sleep(REFILLED_S)
        scene.drain()
        scene.term = Term(2, REFILLED_S)
        await asyncio.sleep(2.0)
        assert scene.reserve(1).term == 2
        assert scene.drain() == pytest.approx(2 * RATE, abs=11)

    run_scene(work)


def test_a_process_that_is_elected_again_does_not_reuse_its_old_buckets() -> None:
    """Another process held the account in between, and granted all available units."""

    async def work(scene: Scene) -> None:
        await asyncio.sleep(REFILLED_S)
        scene.drain()
        scene.term = None
        await asyncio.sleep(REFILLED_S)
        scene.term = Term(3, asyncio.get_running_loop().time())
        assert scene.granted(10) == (False,)

    run_scene(work)


def test_queued_requests_that_are_granted_again_keep_the_rule() -> None:
    """Queued requests return their lapsed grants for new ones, and the bucket refills meanwhile.

    No request of the tenant reaches a worker for 4 s; then the tenant requests all available units.
    """

    async def work(scene: Scene) -> None:
        loop, oracle = asyncio.get_running_loop(), QuotaOracle()
        await asyncio.sleep(REFILLED_S)
        waiting = scene.drain()
        await asyncio.sleep(4.0)
        oracle.record(loop.time(), "a", scene.drain())
        reply = scene.reserve(waiting, returns=waiting)
        if reply.grants[0].granted == (True,):
            oracle.record(loop.time(), "a", waiting)
        for _ in range(80):
            await asyncio.sleep(0.1)
            oracle.record(loop.time(), "a", scene.drain())
        excess = oracle.worst_excess(
            "a", window_s=RULE.window_s, rate=RATE, burst=RATE, overage=RULE.overage, slack=RULE.slack
        )
        assert excess <= 0

    run_scene(work)
