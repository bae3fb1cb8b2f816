"""What a control process logs while its chain does not confirm it."""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest
from attrs import define

from finchladder.cluster.process import confirmation_monitor
from finchladder.cluster.process.chain_service import ChainService
from finchladder.cluster.process.confirmation_monitor import CHECK_INTERVAL_S, ConfirmationMonitor
from finchladder.cluster.process.view_agreement import ViewAgreement
from finchladder.cluster.replication.lease import GrantedLease
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.members import Member, View
from finchladder.lab.cluster.virtual import run

VALIDITY_S = 2.0
FIRST, SECOND, OTHER = (
    Member(f"core-{n}", f"disk-{n}", "z", f"core-{n}:1", f"core-{n}:2") for n in (1, 2, 3)
)


@define
class Chain:
    """The state of a chain service that the monitor reads."""

    view: View
    reason: str = ""
    confirmed_at: float = -1e9

    def unconfirmed_reason(self) -> str:
        return self.reason


def test_losses_and_recoveries_of_the_confirmation_are_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    events: list[tuple[str, str]] = []
    monkeypatch.setattr(
        confirmation_monitor, "event", lambda kind, **fields: events.append((kind, fields.get("problem", "")))
    )

    async def work() -> None:
        chain = Chain(View(1, (FIRST,), (FIRST,), 1), "no reply")
        monitor = ConfirmationMonitor(cast(ChainService, chain), VALIDITY_S)
        asyncio.get_running_loop().create_task(monitor.run())
        await asyncio.sleep(VALIDITY_S - CHECK_INTERVAL_S)
        assert not events and not monitor.is_confirmed()
        await asyncio.sleep(VALIDITY_S)
        assert events == [("chain.contact_lost", "no reply")]
        chain.reason = "not in the chain"
        await asyncio.sleep(VALIDITY_S)
        chain.confirmed_at = steady()
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        assert monitor.is_confirmed()
        await asyncio.sleep(2 * VALIDITY_S)

    run(work())
    assert events == [
        ("chain.contact_lost", "no reply"),
        ("chain.contact_lost", "not in the chain"),
        ("chain.contact_restored", ""),
        ("chain.contact_lost", "not in the chain"),
    ]


@pytest.mark.parametrize(
    ("chain", "last_request_view", "reason"),
    [
        ((FIRST, OTHER), 0, "core-2 is not in the chain of view 4"),
        ((SECOND, OTHER), 0, "the chain of view 4 has not replied"),
        ((FIRST, SECOND), 3, "core-1, the predecessor in view 4, has sent no request"),
        ((FIRST, SECOND, OTHER), 4, "a successor in view 4 has not confirmed"),
    ],
)
def test_the_reason_names_what_is_missing(
    chain: tuple[Member, ...], last_request_view: int, reason: str
) -> None:
    agreement = SimpleNamespace(view=View(4, chain, chain, len(chain)), me=SECOND)
    service = ChainService(cast(ViewAgreement, agreement), GrantedLease(1.0, 3.0), 0.3)
    service.last_request_view = last_request_view
    assert service.unconfirmed_reason() == reason
