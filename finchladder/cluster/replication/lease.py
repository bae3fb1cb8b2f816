"""The lease of a singleton role, on both sides; times are seconds of the own steady clock, passed in.

The head grants it, the holder acts under it. The head renews only after the whole chain has confirmed the
view, so a head that was replaced can't renew. A new head, once its chain has confirmed it, takes the lease as
renewed at the last moment at which a head before it can have done so. The holder counts from the moment it
asked; the head from the moment it answered.

The successor waits besides until the last holder's orders are `turn_s` old. Where workers refuse orders with
a fencing token below one that they have seen, that is needed only between members of one chain, which may
both be well. A holder that the view leaves out is lost or cut off; what it may still have sent is refused.

    head                          renew by holder        claim, lease runs      claim, lease over
    unconfirmed                   refuse                 refuse                 refuse
    confirmed                     renewed                told how long          granted with the next token
"""

from attrs import define

RENEW_SHARE = 3  # renewals within one lease
CLOCK_MARGIN_S = 0.2


@define
class GrantedLease:
    """The head's side."""

    lease_s: float  # how long a holder may act after it asked
    turn_s: float  # how long no two holders may both have acted
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

    def resign(self, now: float, idle_s: float) -> None:
        """The holder will not act again; its last act was `idle_s` ago."""
        if self.renewed_at is not None:
            self.renewed_at = now - idle_s - self.lease_s - CLOCK_MARGIN_S

    def wait_s(self, now: float, *, holder_left: bool = False) -> float | None:
        """How long a claim of another member has to wait; 0: it may be granted; None: unknown. `holder_left`:
        the holder is not in the chain.
        """
        if self.renewed_at is None:
            return None
        turn_s = 0.0 if self.fenced and holder_left else self.turn_s
        return max(0.0, self.renewed_at + self.lease_s + turn_s + CLOCK_MARGIN_S - now)


@define
class HeldLease:
    """The holder's side."""

    lease_s: float
    token: int = 0
    until: float = 0.0

    def extend(self, asked_at: float, token: int) -> None:
        """The head has granted what was asked for at `asked_at`."""
        self.token = token
        self.until = asked_at + self.lease_s

    def drop(self) -> None:
        """The role is somebody else's."""
        self.until = 0.0

    @property
    def is_dropped(self) -> bool:
        """Whether the role is known to be vacant or another's; a lease that has only run out may go on."""
        return self.until == 0.0

    def holds(self, now: float) -> bool:
        """Whether the holder may act at this moment."""
        return now < self.until
