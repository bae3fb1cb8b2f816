"""Tracks whether the chain has recently confirmed a control process, and logs why it has not."""

import asyncio

from attrs import define, field

from finchladder.cluster.process.chain_service import ChainService
from finchladder.cluster.process.log import event
from finchladder.cluster.transport.peers import steady

CHECK_INTERVAL_S = 0.5


@define
class ConfirmationMonitor:
    """Confirmation of one control process by its chain.

    `validity_s`: seconds for which a confirmation counts as recent.
    """

    chain: ChainService
    validity_s: float
    _started_at: float = field(factory=steady, init=False)
    _logged_reason: str = field(default="", init=False)  # empty while the process is confirmed

    def is_confirmed(self) -> bool:
        """Returns whether the last confirmation is recent."""
        return steady() - self.chain.confirmed_at < self.validity_s

    async def run(self) -> None:
        """Logs losses and recoveries of the confirmation until it is cancelled."""
        while True:
            self.log_changes()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def log_changes(self) -> None:
        """Logs if the confirmation was lost or recovered, or if the reason for the loss has changed."""
        if self.is_confirmed():
            if self._logged_reason:
                event("chain.contact_restored", view=self.chain.view.number)
            self._logged_reason = ""
            return
        if steady() - self._started_at < self.validity_s:
            return
        reason = self.chain.unconfirmed_reason()
        if reason != self._logged_reason:
            event("chain.contact_lost", view=self.chain.view.number, problem=reason)
        self._logged_reason = reason
