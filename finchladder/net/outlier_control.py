"""Control of the outlier detector: shows its state and applies the operator's overrides."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from finchladder.core.api import OperatorOverrides
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.health.detection.detector import OutlierDetector
from finchladder.core.health.detection.overrides import OverrideTable
from finchladder.net.control import OverrideRequest

if TYPE_CHECKING:
    from finchladder.core.peers.exchange import Peers


class OutlierControl:
    """Shows the outlier detector's state and applies the operator's overrides."""

    def __init__(
        self,
        key: str | None,
        detector: OutlierDetector,
        dispatcher: Dispatcher,
        clock: Callable[[], float],
        submit: Callable[[OperatorOverrides], None],
        peers: "Peers | None",
    ) -> None:
        """`peers`: distribute overrides; without them an override applies to this dispatcher only."""
        self.key, self.detector, self.dispatcher, self.clock, self.submit = (
            key,
            detector,
            dispatcher,
            clock,
            submit,
        )
        self.overrides = peers.orders if peers is not None else OverrideTable(detector.name, 0)

    def show(self) -> list[dict[str, Any]]:
        """Returns one JSON object for each worker with evidence and for each override."""
        now = self.clock()
        overrides = [
            {
                "server": s,
                "state": f"operator: {o.stance}",
                "by": o.issuer,
                "why": o.reason,
                "left_s": round(until - now, 3),
            }
            for s, (o, until) in sorted(self.overrides.active(now).items())
        ]
        return self.detector.show(now, self.dispatcher.workers) + overrides

    def apply_override(self, request: OverrideRequest) -> dict[str, Any]:
        """Applies an override and returns it as a JSON object.

        Raises:
            ValueError: No such worker is known.
        """
        if request.server not in self.dispatcher.workers:
            raise ValueError(f"no real server {request.server} is known here")
        now = self.clock()
        override = self.overrides.issue(now, request.server, request.stance, request.for_s, request.why)
        self.overrides.has_changed = False
        self.submit(self.overrides.as_event(now))
        return {
            "server": override.worker,
            "stance": override.stance,
            "for_s": override.left_s,
            "by": override.issuer,
            "why": override.reason,
        }
