"""Membership: which real servers are believed to be there, where several sources tell of them.

What goes in: `Report` (a whole list, or changed entries) and `heard` (nothing new, but alive), each with the
time; `due` when `next_due` has come. What comes out: `Decided`, the differences of the believed list.
"""

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple

from finchladder.core.api import WorkerList

Address = tuple[str, int]  # host as numbers, port

ANY_START = inf  # as `born` of a DRAINING entry: a notice that holds whatever start it is of


class Source(NamedTuple):
    """One that tells a list, by the name that the log has for it. The first of several goes before the next.

    `quiet_s`: heard nothing for so long, it is lost. A `past` source tells a list of before, once: it is
    never alive, so that any other goes before it.
    """

    name: str
    quiet_s: float = 3.0
    past: bool = False


class Report(NamedTuple):
    """What a source tells. `workers.kind`: WHOLE (what is missing is gone) or PATCH (changed entries alone).

    `version` orders what one source tells within one `epoch` (etcd: revision and cluster id; discovery: index
    and ""). An entry may lack its address where it only says that a real server drains (its `born` is
    ANY_START then, unless the start is known). `in_step`: nothing that was so before is still to come.
    """

    source: str
    version: int
    workers: WorkerList
    addresses: dict[str, Address]
    epoch: str = ""
    in_step: bool = True


class What(Enum):
    """What is worth a line in the log; `Fact.count` and `Fact.seconds` as said here."""

    LEADS = "leads"  # `source` is followed from now on; count: entries that changed by it
    LOST = "lost"  # nothing was heard of `source` for so long; count: entries it last told
    BACK = "back"  # `source` is heard and in step again, after so long
    STALE = "stale"  # a report of `source` is older than what it told before, and was dropped
    BEHIND = "behind"  # `source` tells a whole list older than what it told before: doubted; count: versions
    ANEW = "anew"  # the doubted list, or one of another epoch, is now that of `source`
    HOLDING = "holding"  # so many entries (`count`) vanished within so long: they stay until a second sign
    RELEASED = "released"  # of those so many are believed gone
    RETURNED = "returned"  # all that were held are listed again, or gone
    FLAPS = "flaps"  # `names` came and went too often: they stay out until they are steady
    DISAGREE = "disagree"  # `source` says otherwise of `names` than who leads
    AGREED = "agreed"
    OLD = "old"  # the list in use is so old that any other is taken
    FULL = "full"  # `source` tells more entries than are kept; count: those left out


class Fact(NamedTuple):
    what: What
    source: str = ""
    names: tuple[str, ...] = ()  # the first few concerned
    count: int = 0
    seconds: float = 0.0


class Decided(NamedTuple):
    """What has changed of the believed list: what RealServers.update takes, what is not ready first.

    The first one that has entries is WHOLE (of a past source: STALE), all others are PATCH. There is nothing
    to apply where `workers.entries` is empty.
    """

    workers: WorkerList
    addresses: dict[str, Address]
    facts: tuple[Fact, ...] = ()


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Shares are of the believed entries; times are seconds."""

    max_vanish: float = 0.5  # more gone at once, without having drained, is not believed; 1: always believed
    vanish_window_s: float = 10.0  # what "at once" means: leases that were cut off end over their whole time
    hold_s: float = 900.0  # held without a second sign for so long, it is believed where others are ready
    max_age_s: float = 3600.0  # beyond it a list is not started with, and protects itself no more
    settle_s: float = 5.0  # a better source must have been alive for so long before it leads again
    back_s: float = 1.5  # a source that tells older versions for so long has begun anew
    flap_most: int = 3  # times that an entry may become ready within `flap_window_s`
    flap_window_s: float = 60.0
    flap_hold_s: float = 1.5  # beyond that it must have been ready for so long

    def __post_init__(self) -> None:
        bounds = {
            "max_vanish": (0.05, 1.0), "vanish_window_s": (1.0, 300.0), "hold_s": (10.0, 86_400.0),
            "max_age_s": (60.0, 2_592_000.0), "settle_s": (0.0, 600.0), "back_s": (0.0, 600.0),
            "flap_most": (1, 100), "flap_window_s": (1.0, 3600.0), "flap_hold_s": (0.1, 60.0),
        }  # fmt: skip
        for name, (least, most) in bounds.items():
            if not least <= getattr(self, name) <= most:
                raise ValueError(f"membership: {name} must be from {least:g} to {most:g}")
