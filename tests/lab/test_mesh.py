"""Links between dispatchers: the fates by rule, and eight processes that talk over them while they fail."""

import random
from collections.abc import Callable
from itertools import accumulate
from math import inf
from pathlib import Path
from typing import NamedTuple

import msgspec
import pytest

from finchladder.lab import records
from finchladder.lab.chatter import Heard
from finchladder.lab.check import findings
from finchladder.lab.experiment import Experiment, Fault, Load, Network, Phase, Pool
from finchladder.lab.models.mesh import LATENCY_S, MOST_COPIES, Mesh, Trouble
from tests.lab.play import played

NAMES = [f"n{n}" for n in range(1, 9)]
LEFT = frozenset(NAMES[:3])


def mesh(*troubles: Trouble) -> Mesh:
    m = Mesh(NAMES, random.Random(1))
    for t in troubles:
        m.begin(t)
    return m


@pytest.mark.parametrize(
    ("way", "struck"),
    [
        ("between", {("n1", "n4"), ("n4", "n1")}),
        ("within", {("n1", "n2"), ("n2", "n1")}),
        ("out", {("n1", "n4")}),
        ("in", {("n4", "n1")}),
        ("all", {("n1", "n4"), ("n4", "n1"), ("n1", "n2"), ("n2", "n1")}),
    ],
)
def test_a_trouble_lies_on_the_links_that_its_way_names(way: str, struck: set[tuple[str, str]]) -> None:
    m = mesh(Trouble("peer_cut", LEFT, way))  # type: ignore[arg-type]
    pairs = [("n1", "n4"), ("n4", "n1"), ("n1", "n2"), ("n2", "n1"), ("n4", "n5")]
    assert {pair for pair in pairs if not m.datagram(*pair)} == struck


@pytest.mark.parametrize(
    ("trouble", "wanted"),
    [
        (("peer_loss", 0.3), lambda got: 0.6 < sum(map(len, got)) / len(got) < 0.8),
        (("peer_loss", 1.0), lambda got: not any(got)),
        (("peer_double", 1.0), lambda got: all(len(c) == 2 for c in got)),
        (("peer_late", 5.0), lambda got: 4.5 < max(c[0] for c in got) < 5.1 and min(c[0] for c in got) < 0.5),
        (("peer_shuffle", 0.5), lambda got: len({round(c[0], 4) for c in got}) == 2),
        (("peer_stall", 1.0), lambda got: not any(got)),
    ],
)
def test_fates_of_datagrams(trouble: tuple[str, float], wanted: Callable[[list[list[float]]], bool]) -> None:
    kind, size = trouble
    m = mesh(Trouble(kind, LEFT, "between", size))  # type: ignore[arg-type]
    assert wanted([m.datagram("n1", "n4") for _ in range(400)])
    assert m.datagram("n4", "n5") == [LATENCY_S]


def test_copies_are_bounded_and_a_trouble_ends_as_it_began() -> None:
    twice = Trouble("peer_double", LEFT, "all")
    m = mesh(*[twice] * 5)
    assert len(m.datagram("n1", "n2")) == MOST_COPIES
    for _ in range(5):
        m.end(twice)
    assert m.datagram("n1", "n2") == [LATENCY_S]
    with pytest.raises(ValueError):
        m.end(twice)


def test_streams_wait_come_late_or_are_cut() -> None:
    late, stall = Trouble("peer_late", LEFT, "out", 0.5), Trouble("peer_stall", LEFT, "in")
    m = mesh(late, stall)
    assert m.stream("n1", "n4") == pytest.approx(0.5 + LATENCY_S)
    assert m.stream("n4", "n1") is None
    assert not m.cut("n1", "n4")
    m.begin(Trouble("peer_cut", LEFT, "in"))
    assert m.cut("n1", "n4")
    assert m.cut("n4", "n1")


@pytest.mark.parametrize("struck", [frozenset(), frozenset({"n99"})])
def test_a_trouble_strikes_somebody_who_is_there(struck: frozenset[str]) -> None:
    with pytest.raises(ValueError, match="nobody|n99"):
        mesh(Trouble("peer_cut", struck))


@pytest.mark.parametrize(
    ("fault", "peers", "what"),
    [
        (Fault("peer_cut", at_s=0.1), False, "network.peers = true"),
        (Fault("peer_loss", at_s=0.1, size=1.5), True, "share"),
        (Fault("peer_cut", at_s=0.1, target="servers:1-2"), True, "strikes no servers"),
        (Fault("peer_cut", at_s=0.1, target="w0001"), True, "strikes no real server"),
    ],
)
def test_faults_of_links_are_checked_before_the_run(fault: Fault, peers: bool, what: str) -> None:
    e = Experiment(
        "links",
        Load([Phase("day", 1.0, rate=1.0)]),
        dispatchers=8,
        pool=[Pool(count=2)],
        network=Network(peers=peers),
        fault=[fault],
    )
    assert what in next(findings(e, processes=False))


EIGHT = """
name = "links"
dispatchers = 8
settle_s = 1.0
program = { command = ["python", "-m", "finchladder.lab.chatter"], memory_mb = 64 }
network = { peers = true }

[[pool]]
count = 1

[load]
late_s = 5.0
retries = { kind = "none" }

[[load.phase]]
name = "talk"
for_s = 2.0
rate = 5.0
"""
WHOLE_RUN = "at_s=0.0, target='dispatchers:1-3'"


class Span(NamedTuple):
    """While all faults of a run lay on the links, by the process that carries the links out; monotonic."""

    begin: float
    end: float

    def holds(self, at: float) -> bool:
        return self.begin < at < self.end


class Counts(NamedTuple):
    """What one process received of another, of what was sent in a span."""

    datagrams: int
    different: int
    behind: int  # came after one that was sent later
    lines: int
    lost: int  # connections, over the whole run


def counts(heard: Heard, span: Span) -> Counts:
    numbers = [d.number for d in heard.datagrams if span.holds(d.sent_at)]
    latest = list(accumulate(numbers, max))
    behind = sum(number < highest for number, highest in zip(numbers, latest, strict=True))
    lines = sum(span.holds(at) for at in heard.lines)
    return Counts(len(numbers), len(set(numbers)), behind, lines, heard.lost)


def span_of_faults(ledger: Path) -> Span:
    """While all troubles lay on the links; the whole run, if there are none."""
    struck = [r for r in records.read(ledger / "peers.log") if isinstance(r, records.Struck)]
    begins = [r.at for r in struck if not r.detail]
    ends = [r.at for r in struck if r.detail == "end"]
    return Span(max(begins, default=0.0), min(ends, default=inf))


def play(folder: Path, faults: list[str]) -> dict[tuple[str, str], Counts]:
    """By (sender, receiver): what came of what was sent while all faults lay on the links.

    A process talks from its own start on, at a loaded machine some seconds before the last one has started
    and the faults begin: what was sent before shows nothing of them.
    """
    out = played(folder, EIGHT, f"fault=[{', '.join(faults)}]")
    span = span_of_faults(out / "ledger")
    assert span.begin > 0.0 or not faults
    silent = Heard()
    told = {
        name: msgspec.json.decode((out / "config" / f"heard-{name}.json").read_bytes(), type=dict[str, Heard])
        for name in NAMES
    }
    pairs = [(sender, receiver) for sender in NAMES for receiver in NAMES if sender != receiver]
    return {
        (sender, receiver): counts(told[receiver].get(sender, silent), span) for sender, receiver in pairs
    }


def test_eight_processes_hear_each_other_over_links_that_do_no_harm(tmp_path: Path) -> None:
    found = play(tmp_path, [])
    assert all(f.datagrams == f.different > 5 and not f.behind for f in found.values())
    assert all(f.lines > 5 for f in found.values())


def test_eight_processes_in_a_split_hear_their_own_side_alone(tmp_path: Path) -> None:
    found = play(tmp_path, [f"{{kind='peer_cut', {WHOLE_RUN}}}"])
    across = [f for (a, b), f in found.items() if (a in LEFT) != (b in LEFT)]
    within = [f for (a, b), f in found.items() if (a in LEFT) == (b in LEFT)]
    assert not any(f.datagrams or f.lines for f in across)
    assert all(f.datagrams > 5 for f in within)
    assert all(f.lines > 5 for f in within)


def test_eight_processes_on_links_that_lose_double_and_shuffle(tmp_path: Path) -> None:
    found = play(
        tmp_path,
        [
            f"{{kind='peer_loss', {WHOLE_RUN}, way='out', size=1.0}}",
            f"{{kind='peer_double', {WHOLE_RUN}, way='within', size=1.0}}",
            "{kind='peer_shuffle', at_s=0.0, target='dispatchers:4-8', way='within', size=0.3}",
        ],
    )
    one_way = [found[a, b].datagrams for a in LEFT for b in NAMES if b not in LEFT]
    other_way = [found[b, a].datagrams for a in LEFT for b in NAMES if b not in LEFT]
    doubled = [found[a, b] for a in LEFT for b in LEFT if a != b]
    shuffled = [found[a, b] for a in NAMES[3:] for b in NAMES[3:] if a != b]
    assert not any(one_way)
    assert min(other_way) > 5
    assert all(f.different > 5 for f in doubled)
    assert all(f.datagrams > 1.5 * f.different for f in doubled)
    assert sum(f.behind > 0 for f in shuffled) > 0.8 * len(shuffled)
    assert all(f.lines > 5 for f in found.values())  # none of these is felt by a connection


def test_a_stall_closes_nothing_and_what_waited_comes_when_it_ends(tmp_path: Path) -> None:
    found = play(tmp_path, ["{kind='peer_stall', at_s=0.3, for_s=0.8, target='dispatchers:1-3'}"])
    across = [f for (a, b), f in found.items() if (a in LEFT) != (b in LEFT)]
    within = [f for (a, b), f in found.items() if (a in LEFT) == (b in LEFT)]
    assert all(not f.lost for f in found.values())
    assert not any(f.datagrams for f in across)
    assert all(f.datagrams for f in within)
    assert all(f.lines for f in found.values())
    assert min(f.lines for f in across) > 0.8 * min(f.lines for f in within)
