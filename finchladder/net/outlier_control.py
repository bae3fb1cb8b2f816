"""The bench of judges: what this dispatcher holds of real servers, and the operator's word on them."""

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
        judging: OutlierDetector,
        d: Dispatcher,
        clock: Callable[[], float],
        tell: Callable[[OperatorOverrides], None],
        peers: "Peers | None",
    ) -> None:
        """`peers`: tell the others; without them a word holds here alone."""
        self.key, self.detector, self.dispatcher, self.clock, self.submit = key, judging, d, clock, tell
        self.overrides = peers.orders if peers is not None else OverrideTable(judging.name, 0)

    def show(self) -> list[dict[str, Any]]:
        """Returns one JSON object for each worker with evidence and for each override."""
        now = self.clock()
        words = [
            {
                "server": s,
                "state": f"operator: {o.stance}",
                "by": o.issuer,
                "why": o.reason,
                "left_s": round(until - now, 3),
            }
            for s, (o, until) in sorted(self.overrides.active(now).items())
        ]
        return self.detector.show(now, self.dispatcher.workers) + words

    def apply_override(self, order: OverrideRequest) -> dict[str, Any]:
        """Applies an override and returns it as a JSON object.

        Raises:
            ValueError: No such worker is known.
        """
        if order.server not in self.dispatcher.workers:
            raise ValueError(f"no real server {order.server} is known here")
        now = self.clock()
        said = self.overrides.issue(now, order.server, order.stance, order.for_s, order.why)
        self.overrides.has_changed = False
        self.submit(self.overrides.as_event(now))
        return {
            "server": said.worker,
            "stance": said.stance,
            "for_s": said.left_s,
            "by": said.issuer,
            "why": said.reason,
        }
