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

from attrs import define

RENEWALS_PER_LEASE = 3  # renewals within one lease
CLOCK_MARGIN_S = 0.2


@define
class GrantedLease:
    """The head's side."""

    lease_s: float  # how long a holder may act after it asked
    exclusion_window_s: float  # how long no two holders may both have acted
    renewed_at: float | None = None  # None: not confirmed yet in this view
    fenced: bool = False  # whether workers refuse orders with a fencing token below one that they have seen

    def confirm(self, since: float) -> None:
        """The chain has confirmed the head for the first time in its view; no other head has renewed since
        `since`.
        """
        self.renewed_at = since

    def renew(self, now: float) -> None:
        """The holder was heard and the chain has confirmed the view since."""
        if self.renewed_at is not None:
            self.renewed_at = now

    def release(self, now: float, idle_s: float) -> None:
        """The holder will not act again; its last act was `idle_s` ago."""
        if self.renewed_at is not None:
            self.renewed_at = now - idle_s - self.lease_s - CLOCK_MARGIN_S

    def wait_s(self, now: float, *, holder_left: bool = False) -> float | None:
        """How long a claim of another member has to wait; 0: it may be granted; None: unknown. `holder_left`:
        the holder is not in the chain.
        """
        if self.renewed_at is None:
            return None
        exclusion_s = 0.0 if self.fenced and holder_left else self.exclusion_window_s
        return max(0.0, self.renewed_at + self.lease_s + exclusion_s + CLOCK_MARGIN_S - now)


@define
class HeldLease:
    """The holder's side."""

    lease_s: float
    token: int = 0
    expires_at: float = 0.0

    def extend(self, asked_at: float, token: int) -> None:
        """The head has granted what was asked for at `asked_at`."""
        self.token = token
        self.expires_at = asked_at + self.lease_s

    def drop(self) -> None:
        """The role is somebody else's."""
        self.expires_at = 0.0

    @property
    def is_dropped(self) -> bool:
        """Whether the role is known to be vacant or another's; a lease that has only run out may go on."""
        return self.expires_at == 0.0

    def is_valid(self, now: float) -> bool:
        """Whether the holder may act at this moment."""
        return now < self.expires_at
