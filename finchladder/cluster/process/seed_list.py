"""The seeds of a process: control processes to contact while it knows no others that reply.

The platform may change the settings file while the process runs, with or without a signal. A process whose
known control processes were all replaced while it was out of contact finds the new ones only by these seeds.
"""

from collections.abc import Callable

from attrs import define, field

from finchladder.cluster.process.log import event
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import InvalidSettingsError

REFRESH_INTERVAL_S = 1.0
NEVER = -1e9


def _unchanged() -> None:
    """Returns None, as `SeedList.read` of a process whose settings never change."""


@define
class SeedList:
    """Peer addresses of the seeds, as of the last time that the settings were read.

    `read`: returns the peer addresses that the settings contain now, or None if the settings have not changed
    since the last call; raises InvalidSettingsError if they cannot be used.
    """

    addresses: tuple[str, ...]
    read: Callable[[], tuple[str, ...] | None] = _unchanged
    _refreshed_at: float = field(default=NEVER, init=False)
    _logged_problem: str = field(default="", init=False)

    def refresh_if_due(self) -> None:
        """Reads the seeds again, at most once per `REFRESH_INTERVAL_S`."""
        if steady() - self._refreshed_at >= REFRESH_INTERVAL_S:
            self.refresh()

    def refresh(self) -> None:
        """Reads the seeds again; keeps the current ones if the settings cannot be used or contain none."""
        self._refreshed_at = steady()
        try:
            addresses = self.read()
        except InvalidSettingsError as error:
            self._log_problem(str(error))
            return
        self._logged_problem = ""
        if addresses and addresses != self.addresses:
            self.addresses = addresses
            event("seeds.changed", seeds=addresses)

    def _log_problem(self, problem: str) -> None:
        if problem != self._logged_problem:
            event("seeds.unreadable", problem=problem)
        self._logged_problem = problem
