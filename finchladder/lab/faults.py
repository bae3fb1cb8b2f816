"""Which names a fault strikes, and who is told: drawn from the run's seed, before the run begins."""

import random
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from finchladder.lab.check import (
    DISPATCHER_FAULTS,
    ETCD_FAULTS,
    LINK_FAULTS,
    LOAD_FAULTS,
    PEER_FAULTS,
    SERVER_FAULTS,
    dispatcher_names,
    numbers,
    place_servers,
)
from finchladder.lab.experiment import Experiment, Fault
from finchladder.lab.schedule import draw_faults


class Strike(NamedTuple):
    """A fault with all that was left open in the file drawn."""

    at: float  # seconds from the begin of the arrivals
    fault: Fault  # for_s, size and share as numbers
    targets: list[str]  # dispatchers, real servers or links; none for discovery, etcd, load
    of: str  # who carries it out: dispatchers, servers, discovery, etcd, links, load

    @property
    def for_s(self) -> float:
        assert not isinstance(self.fault.for_s, tuple)
        return self.fault.for_s


class Link(NamedTuple):
    """A relay's way. `name` is "clients>n1", "n1>w0001", "n1>discovery" or, for call-backs, "ZONE>n1"."""

    name: str
    from_zone: str
    to_zone: str

    @property
    def ends(self) -> tuple[str, str]:
        before, _, after = self.name.partition(">")
        return before, after


def links(e: Experiment) -> list[Link]:
    """All links of a run with relays: O(dispatchers x real servers)."""
    found = []
    servers = place_servers(e)
    for index, name in enumerate(dispatcher_names(e)):
        zone = e.zone_of(index)
        found += [Link(f"clients>{name}", zone, zone), Link(f"{name}>discovery", zone, zone)]
        found += [Link(f"{z}>{name}", z, zone) for z in sorted({s.zone for s in servers})]
        found += [Link(f"{name}>{s.name}", zone, s.zone) for s in servers]
    return found


def draw(e: Experiment) -> Experiment:
    """The experiment with all faults drawn from its seed, in the order of their times, spans as numbers."""
    return msgspec.structs.replace(e, fault=draw_faults(e, e.seed))


def strikes(e: Experiment) -> list[Strike]:
    """All faults of a drawn experiment in the order of their times; the same for the same seed."""
    rng = random.Random(f"targets/{e.seed}")
    found: dict[int, Strike] = {}
    for n, fault in enumerate(e.fault):
        if not fault.same_as:
            targets, of = _targets(e, fault, rng)
            found[n] = Strike(fault.at_s or 0.0, fault, targets, of)
    labelled = {s.fault.label: s for s in found.values() if s.fault.label}
    for n, fault in enumerate(e.fault):
        if fault.same_as:
            like = labelled[fault.same_as]
            of = like.of
            if of in ("dispatchers", "peers"):
                of = "peers" if fault.kind in PEER_FAULTS else "dispatchers"
            found[n] = Strike(fault.at_s or 0.0, fault, like.targets, of)
    return [found[n] for n in sorted(found)]


def _targets(e: Experiment, fault: Fault, rng: random.Random) -> tuple[list[str], str]:
    if fault.kind in LOAD_FAULTS:
        return [], "load"
    if fault.kind in ETCD_FAULTS:
        return [], "etcd"
    if fault.kind in LINK_FAULTS:
        return _links(e, fault, rng), "links"
    group, _, name = fault.target.partition(":")
    servers, names = place_servers(e), dispatcher_names(e)
    if group in ("dispatchers", "servers"):
        span = numbers(name)
        assert span is not None  # check.py has seen to it
        every = names if group == "dispatchers" else [s.name for s in servers]
        chosen = every[span[0] - 1 : span[1]]
        chosen = _some(fault, chosen, rng) if fault.share else chosen
        return chosen, "peers" if fault.kind in PEER_FAULTS else group
    strikes_server = fault.target not in names and (
        fault.kind not in DISPATCHER_FAULTS or group == "kind" or fault.target in {s.name for s in servers}
    )
    if fault.kind in SERVER_FAULTS and strikes_server:
        fitting = [
            s.name
            for s in servers
            if fault.target in ("any", "all", s.name)
            or (group == "zone" and s.zone == name)
            or (group == "kind" and e.pool[s.pool].kind == name)
        ]
        return _some(fault, fitting, rng), "servers"
    if fault.kind in DISPATCHER_FAULTS | PEER_FAULTS:
        fitting = [
            n
            for i, n in enumerate(names)
            if fault.target in ("any", "all", n) or (group == "zone" and e.zone_of(i) == name)
        ]
        return _some(fault, fitting, rng), "peers" if fault.kind in PEER_FAULTS else "dispatchers"
    return [], "discovery"


def _some(fault: Fault, fitting: Sequence[str], rng: random.Random) -> list[str]:
    """`share` of them, one at least; without a share all for "all" and one for what else there may be."""
    share = fault.share
    assert not isinstance(share, tuple)
    if not fitting or (fault.target == "all" and not share):
        return list(fitting)
    count = max(1, round(share * len(fitting)))
    return sorted(rng.sample(list(fitting), count))


def _links(e: Experiment, fault: Fault, rng: random.Random) -> list[str]:
    every = links(e)
    if fault.between is not None:
        return [ln.name for ln in every if {ln.from_zone, ln.to_zone} == set(fault.between)]
    group, _, name = fault.target.partition(":")
    if group == "zone":
        fitting = [ln for ln in every if name in (ln.from_zone, ln.to_zone)]
    else:
        fitting = [ln for ln in every if fault.target in ("any", "all", *ln.ends)]
    if fault.target not in ("any", "all") and not fault.share:
        return [ln.name for ln in fitting]
    return _some(fault, [ln.name for ln in fitting], rng)
