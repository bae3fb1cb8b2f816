"""Tenants whose clients ask dispatchers for more than their quotas, in the control world.

Each core process has the real account, each dispatcher the real client of it; workers are stand-ins that note
what arrives. The oracle looks at what arrives only. After the faults one limit is lowered: a tenant that
asked for little until then floods, once the lower limit binds.
"""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen

from finchladder.cluster.process.quota_service import QuotaService
from finchladder.cluster.process.request_quota import RequestQuota
from finchladder.cluster.tenancy.quota_rule import QuotaRule
from finchladder.cluster.tenancy.reservations import QuotaRefusal, QuotaUnavailable
from finchladder.cluster.tenancy.tenants import QuotaUnit, Tenant
from finchladder.cluster.types.messages import QuotaReply, ReserveQuota
from finchladder.lab.cluster.dataplane import Dispatcher
from finchladder.lab.cluster.quota_figures import Outcome, QuotaFigures, Refusal
from finchladder.lab.cluster.quota_oracle import QuotaOracle
from finchladder.lab.cluster.virtual import running_loop

if TYPE_CHECKING:
    from finchladder.lab.cluster.machine import Machine
    from finchladder.lab.cluster.world import World

WINDOW_S, OVERAGE, SLACK = 8.0, 0.1, 17_000.0  # of the rule on quotas
FLOOD = 7.0  # times its limit that a tenant asks for
FLOOD_S = (2.0, 10.0)
REST_S = (3.0, 6.0)  # between two floods
LONG_REST_S = (8.0, 14.0)  # the tiny tenant's bucket fills slowly
CLIENT_TIMEOUT_S = 2.0  # a request waits for a reservation as long as its client does
ARRIVAL_S = 0.3  # the longest from the check of a grant to the arrival
LAPSE_SHARE, WAIT_SHARE = 0.05, 0.25  # of requests that wait beyond their grant's end, and for a moment
SHORT_WAIT_S, LONG_WAIT_S = 0.4, 2.0
STALL_S, BETWEEN_STALLS_S = (1.0, 5.0), (4.0, 12.0)
NOT_EXECUTED_SHARE, NO_ANSWER_SHARE = 0.03, 0.07  # of attempts
MAX_ATTEMPTS = 3
JUDGE_S = 4.0
LOWERED_WITHIN_S = 8.0  # in calm
BEYOND_WINDOW_S = 2.0  # for which the lowered limit is judged, after one window


@frozen
class Clients:
    """Those of one tenant: `share` of its limit is asked for, in requests of that cost."""

    name: str
    rate_per_s: float
    burst: float
    cost: int
    share: float
    rest_s: tuple[float, float] | None = None  # between floods; None: it asks all the time

    def tenant(self) -> Tenant:
        """As dispatchers know it."""
        return Tenant(self.name, unit=QuotaUnit.TOKENS, rate_per_s=self.rate_per_s, burst=self.burst)

    def pause_s(self, random: Random) -> float:
        """Until the next request."""
        return random.expovariate(self.share * self.rate_per_s / self.cost)


SMALL = Clients("small", 4_200, 4_200, 2_400, 0.9)
LARGE = Clients("large", 155_000, 155_000, 24_000, 0.9)
FLOODING = Clients("flooding", 4_200, 4_200, 2_400, FLOOD, REST_S)
TINY = Clients("tiny", 1_500, 1_500, 2_400, FLOOD, LONG_REST_S)  # a full bucket is most of its bound
QUIET = Clients("quiet", 155_000, 155_000, 2_400, 0.01)
LOWERED = Clients("quiet", 4_200, 4_200, 2_400, FLOOD)  # the quiet one after its limit was lowered
ALL = (SMALL, LARGE, FLOODING, QUIET, TINY)


@define
class WatchedService:
    """The account of one core process; shows the play what is granted. In place of `QuotaService`."""

    service: QuotaService
    name: str
    figures: QuotaFigures

    def on_reserve(self, request: ReserveQuota) -> QuotaReply:
        """As of `QuotaService`."""
        reply = self.service.on_reserve(request)
        if any(any(grant.granted) for grant in reply.grants):
            self.figures.granted(self.name, reply.term, running_loop().time())
        return reply


@define
class QuotaPlay:
    """Tenants, clients and stand-in workers of one world.

    Attributes:
        stalls: Whether workers take no requests at times, which wait then with what they have reserved.
        blocked_until: Until when workers take no requests.
        oracle: All arrivals.
        lowered_oracle: Arrivals since the lowered limit binds.
        lowered_at: Since when the limit is lowered in changes; None: it is not.
        low_changes: Numbers of the changes with the lowered limit.
        bound_at: Since when it binds.
    """

    world: "World"
    random: Random
    stalls: bool = False
    blocked_until: float = 0.0
    oracle: QuotaOracle = field(factory=QuotaOracle)
    lowered_oracle: QuotaOracle = field(factory=QuotaOracle)
    figures: QuotaFigures = field(factory=QuotaFigures)
    lowered_at: float | None = None
    low_changes: set[int] = field(factory=set)
    bound_at: float | None = None
    tasks: set[asyncio.Task[Any]] = field(factory=set)

    def start(self, machine: "Machine") -> None:
        """The account of a core process that starts; its control state is there."""
        assert machine.plane is not None
        service = QuotaService.build(machine.plane.placer_lease, QuotaRule(WINDOW_S, OVERAGE, SLACK))
        machine.quotas = WatchedService(service, machine.name, self.figures)

    def tenants_of_change(self, number: int) -> list[dict[str, Any]]:
        """The tenants as they stand in a new configuration."""
        quiet = QUIET
        if self.lowered_at is not None:
            self.low_changes.add(number)
            quiet = LOWERED
        return [
            {
                "name": clients.name,
                "api_keys": [f"key of {clients.name}"],
                "unit": QuotaUnit.TOKENS.value,
                "rate_per_s": clients.rate_per_s,
                "burst": clients.burst,
            }
            for clients in (SMALL, LARGE, FLOODING, quiet, TINY)
        ]

    # --- the play -----------------------------------------------------------------------------------------

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs something outside all processes until it ends."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def begin(self) -> None:
        """Clients come; the world's dispatchers must be there."""
        for clients in ALL:
            self.figures.add_tenant(clients.name, clients.rate_per_s, clients.burst, running_loop().time())
            self._spawn(self._come(clients, Random(self.random.getrandbits(64))))
        self._spawn(self._judge_again_and_again())
        if self.stalls:
            self._spawn(self._stall())

    async def end(self) -> None:
        """Lowers a limit, judges what arrives under it, and stops all of it."""
        if self.world.violation is None:
            await self._lower()
        for task in list(self.tasks):
            task.cancel()
        self.judge()

    async def _lower(self) -> None:
        """The limit binds one window after all dispatchers in touch must have it."""
        loop, changes = running_loop(), self.world.oracle.changes
        self.lowered_at = loop.time()
        while not any(changes[number].taken_at is not None for number in self.low_changes):
            await asyncio.sleep(0.1)
            if loop.time() > self.lowered_at + LOWERED_WITHIN_S:
                self.world.break_off(f"no limit was lowered within {LOWERED_WITHIN_S} s in calm")
                return
        await asyncio.sleep(self.world.contact.contact_s + self.world.fleet.apply_s + WINDOW_S)
        self.bound_at = loop.time()
        self.figures.add_tenant(LOWERED.name, LOWERED.rate_per_s, LOWERED.burst, self.bound_at)
        self._spawn(self._come(LOWERED, Random(self.random.getrandbits(64))))
        await asyncio.sleep(WINDOW_S + BEYOND_WINDOW_S)

    async def _stall(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(*BETWEEN_STALLS_S))
            stall_s = self.random.uniform(*STALL_S)
            self.blocked_until = running_loop().time() + stall_s
            self.world.note(f"workers take no requests for {stall_s:.2f} s")
            await asyncio.sleep(stall_s)

    # --- clients and dispatchers --------------------------------------------------------------------------

    async def _come(self, clients: Clients, random: Random) -> None:
        """Sends requests to any dispatcher for ever; who floods rests at times."""
        loop = running_loop()
        while True:
            until = loop.time() + random.uniform(*FLOOD_S)
            while loop.time() < until:
                await asyncio.sleep(clients.pause_s(random))
                self._send(clients, random.choice(self.world.dispatchers), Random(random.getrandbits(64)))
            if clients.rest_s is not None:
                await asyncio.sleep(random.uniform(*clients.rest_s))

    def _send(self, clients: Clients, dispatcher: Dispatcher, random: Random) -> None:
        """One request; a dispatcher that does not run, or knows no configuration yet, serves nobody."""
        outcome = self.figures.begin(clients.name, clients.cost, running_loop().time())
        if dispatcher.quotas is not None and dispatcher.version:
            reserve_by = running_loop().time() + CLIENT_TIMEOUT_S
            quota = RequestQuota(dispatcher.quotas, clients.tenant(), clients.cost, reserve_by)
            running_loop().spawn(dispatcher.name, self._serve(quota, outcome, random))

    async def _serve(self, quota: RequestQuota, outcome: Outcome, random: Random) -> None:
        """What a dispatcher does with a request, as part of its process."""
        try:
            refusal = await quota.reserve()
            if refusal is None:
                await self._wait_for_worker(random)
                refusal = await self._attempt(quota, outcome, random)
            is_unavailable = isinstance(refusal, QuotaUnavailable)
            outcome.refusal = Refusal.NO_ACCOUNT if is_unavailable else Refusal.EXHAUSTED
        finally:
            quota.release()

    async def _wait_for_worker(self, random: Random) -> None:
        """In the queue; most requests find a worker at once."""
        lot = random.random()
        if lot < LAPSE_SHARE:
            await asyncio.sleep(random.uniform(SHORT_WAIT_S, LONG_WAIT_S))
        elif lot < LAPSE_SHARE + WAIT_SHARE:
            await asyncio.sleep(random.uniform(0.0, SHORT_WAIT_S))
        while (blocked_s := self.blocked_until - running_loop().time()) > 0:
            await asyncio.sleep(blocked_s)

    async def _attempt(self, quota: RequestQuota, outcome: Outcome, random: Random) -> QuotaRefusal | None:
        """Attempts at workers; the grant is looked at in the step that sends. The refusal if there is one."""
        for _ in range(MAX_ATTEMPTS):
            while not quota.is_reserved():
                refusal = await quota.reserve()
                if refusal is not None:
                    return refusal
            quota.spend()
            delay_s, lot = random.uniform(0.0, ARRIVAL_S), random.random()
            if lot >= NOT_EXECUTED_SHARE:
                self._arrive(outcome, running_loop().time() + delay_s)
            await asyncio.sleep(delay_s)
            if lot < NOT_EXECUTED_SHARE:
                quota.restore()
            elif lot >= NOT_EXECUTED_SHARE + NO_ANSWER_SHARE:
                return None
        return None

    def _arrive(self, outcome: Outcome, at: float) -> None:
        """A worker runs the request from that moment on."""
        outcome.is_served = True
        self.oracle.record(at, outcome.tenant, outcome.cost)
        if self.bound_at is not None and at >= self.bound_at:
            self.lowered_oracle.record(at, outcome.tenant, outcome.cost)

    # --- what must hold -----------------------------------------------------------------------------------

    async def _judge_again_and_again(self) -> None:
        while True:
            await asyncio.sleep(JUDGE_S)
            self.judge()

    def judge(self) -> None:
        """In no window more arrives than the rule allows."""
        for clients in ALL:
            self._judge_one(self.oracle, clients)
        self._judge_one(self.lowered_oracle, LOWERED)

    def _judge_one(self, oracle: QuotaOracle, clients: Clients) -> None:
        excess = oracle.worst_excess(
            clients.name,
            window_s=WINDOW_S,
            rate=clients.rate_per_s,
            burst=clients.burst,
            overage=OVERAGE,
            slack=SLACK,
        )
        if excess > 0:
            self.world.break_off(
                f"{excess:.0f} units of {clients.name} over a limit of {clients.rate_per_s:.0f} a second"
            )
