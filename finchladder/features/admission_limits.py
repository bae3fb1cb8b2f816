"""Admission limits by client address: token buckets. Times and addresses are arguments; no I/O."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from finchladder.config.options import DoorOptions, Options

ROUNDING_TOLERANCE_S = 1e-6  # admits a retry at exactly the announced time despite rounding errors


class TokenBuckets:
    """Token buckets by address.

    A bucket is stored as the time at which it is full again, so full buckets need no entry.
    """

    def __init__(self, options: DoorOptions) -> None:
        """Starts with all buckets full."""
        self.interval_s = 1 / options.rate
        self.max_lead_s = (options.burst - 1) * self.interval_s + ROUNDING_TOLERANCE_S
        self.max_keys = options.max_keys
        self.full_at: OrderedDict[str, float] = OrderedDict()  # by address, the least recently seen first
        # Time of the first request, to which the times in `full_at` are relative. With Unix times, about
        # 1.7e9 s, each addition of an interval would have a rounding error of up to 2e-7 s.
        self.started_at: float | None = None

    def take(self, now: float, address: str) -> float:
        """Takes a token from an address's bucket.

        Returns:
            0.0, or the seconds until the next token if there is none.
        """
        if self.started_at is None:
            self.started_at = now
        now -= self.started_at
        full_at = self.full_at.get(address)
        if full_at is None:
            full_at = now
            if len(self.full_at) >= self.max_keys:
                self.full_at.popitem(last=False)
        admitted = full_at - now <= self.max_lead_s
        self.full_at[address] = max(full_at, now) + self.interval_s if admitted else full_at
        self.full_at.move_to_end(address)
        return 0.0 if admitted else self.interval_s


class Limits(Protocol):
    """A rate limit by client address."""

    def take(self, now: float, address: str) -> float:
        """Takes a token; returns 0.0, or the seconds until the next one."""
        ...


class ClientLimits:
    """The admission limits of all job classes."""

    def __init__(self, options: Options) -> None:
        """Creates the buckets of the general limit and of the classes that have their own limit."""
        self.general: Limits | None = TokenBuckets(options.door) if options.door is not None else None
        self.by_class: dict[str, Limits] = {name: TokenBuckets(o) for name, o in options.door_of.items()}

    def use_shared(self, options: Options, make: Callable[[str, DoorOptions], Limits]) -> None:
        """Replaces the limits by limits that all dispatchers share; `make` takes a limit's unique name."""
        if options.door is not None:
            self.general = make("door", options.door)
        self.by_class = {name: make(f"door.{name}", o) for name, o in options.door_of.items()}

    def take(self, now: float, address: str, job_class: str) -> float:
        """Returns 0.0 if a request is admitted, otherwise the seconds until the next token."""
        buckets = self.by_class.get(job_class, self.general)
        return buckets.take(now, address) if buckets is not None else 0.0
