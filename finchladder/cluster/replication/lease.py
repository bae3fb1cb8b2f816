"""The lease of a singleton role, on both sides; times are seconds of the local steady clock, passed in.

The head grants the lease, the holder acts under it. The head renews it only after the whole chain has
confirmed the view, so a head that was replaced can't renew. A new head, once its chain has confirmed it,
takes the latest moment at which a former head can have renewed as the last renewal. The holder counts from
the moment of its request, the head from the moment of its reply.

A successor also waits until the last orders of the former holder are `exclusion_window_s` old. Where workers
reject orders with a fencing token below one that they have seen, this wait is needed only while both are
members of the chain and may be healthy. A holder that the view excludes is lost or partitioned; workers
reject its late orders.

    head                          renewal by holder      claim, lease valid     claim, lease expired
    unconfirmed                   reject                 reject                 reject
    confirmed                     renew                  reply with the wait    grant with the next token
"""

from math import inf

from attrs import define

RENEWALS_PER_LEASE = 3  # so that two lost renewals do not end it
CLOCK_MARGIN_S = 0.2


@define
class GrantedLease:
    """The lease as the head of the chain grants it.

    Attributes:
        lease_s: How long a holder may act after its request.
        exclusion_window_s: No two lease holders may both act within this time.
        renewed_at: When the lease may last have been renewed; None: the head is not confirmed yet.
        fenced: Whether workers reject orders with a fencing token below one that they have seen.
        released_at: When a holder last released the lease.
    """

    lease_s: float
    exclusion_window_s: float
    renewed_at: float | None = None
    fenced: bool = False
    released_at: float = -inf

    def confirm(self, since: float) -> None:
        """Records the head's first confirmation in its view; no former head renewed after `since`."""
        self.renewed_at = since

    def renew(self, now: float) -> None:
        """Renews the lease; since the holder's request the chain has confirmed the view."""
        if self.renewed_at is not None:
            self.renewed_at = now

    def release(self, now: float, idle_s: float) -> None:
        """Releases the lease; the holder last acted `idle_s` ago and will not act again."""
        if self.renewed_at is not None:
            self.renewed_at = now - idle_s - self.lease_s - CLOCK_MARGIN_S
            self.released_at = now

    def vacant_s(self, now: float) -> float:
        """Seconds for which certainly nobody has held the lease; 0 if it is not known."""
        if self.renewed_at is None:
            return 0.0
        ended_at = max(self.released_at, self.renewed_at + self.lease_s + CLOCK_MARGIN_S)
        return max(0.0, now - ended_at)

    def wait_s(self, now: float, *, holder_left: bool = False) -> float | None:
        """Seconds until a claim of another member may be granted; None: unknown.

        Args:
            now: The present time.
            holder_left: Whether the present holder is no longer in the chain.
        """
        if self.renewed_at is None:
            return None
        exclusion_s = 0.0 if self.fenced and holder_left else self.exclusion_window_s
        return max(0.0, self.renewed_at + self.lease_s + exclusion_s + CLOCK_MARGIN_S - now)


@define
class HeldLease:
    """The lease as its holder knows it."""

    lease_s: float
    token: int = 0
    expires_at: float = 0.0

    def extend(self, requested_at: float, token: int) -> None:
        """Records that the head has granted or renewed the lease on a request sent at `requested_at`."""
        self.token = token
        self.expires_at = requested_at + self.lease_s

    def drop(self) -> None:
        """Ends the lease: it was released, or belongs to another holder."""
        self.expires_at = 0.0

    @property
    def is_dropped(self) -> bool:
        """Whether the lease has ended for good; one that has only expired may still be renewed."""
        return self.expires_at == 0.0

    def is_valid(self, now: float) -> bool:
        """Whether the holder may act at this moment."""
        return now < self.expires_at
