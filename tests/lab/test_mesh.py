"""Links between dispatchers: the fates by rule, and eight processes that talk over them while they fail."""

import json
import random
from collections.abc import Callable
from pathlib import Path

import pytest

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
SOON = "at_s=0.0, target='dispatchers:1-3'"  # for the whole of the run: no verdict hangs on when it began


def heard(folder: Path, faults: list[str]) -> dict[tuple[str, str], dict[str, int]]:
    """By (sender, receiver): what the receiver counted."""
    out = played(folder, EIGHT, f"fault=[{', '.join(faults)}]")
    told = {name: json.loads((out / "config" / f"heard-{name}.json").read_text()) for name in NAMES}
    return {(sender, name): of for name, by in told.items() for sender, of in by.items()}


def test_eight_processes_hear_each_other_over_links_that_do_no_harm(tmp_path: Path) -> None:
    found = heard(tmp_path, [])
    assert set(found) == {(a, b) for a in NAMES for b in NAMES if a != b}
    assert all(f["datagrams"] == f["different"] > 5 and not f["behind"] for f in found.values())
    assert all(f["lines"] > 5 for f in found.values())


def test_eight_processes_in_a_split_hear_their_own_side_alone(tmp_path: Path) -> None:
    """What was said before the split began is heard: so the two sides are set against each other."""
    found = heard(tmp_path, [f"{{kind='peer_cut', {SOON}}}"])
    across = [f for (a, b), f in found.items() if (a in LEFT) != (b in LEFT)]
    within = [f for (a, b), f in found.items() if (a in LEFT) == (b in LEFT)]
    assert min(f["datagrams"] for f in within) > 2 * max((f["datagrams"] for f in across), default=0)
    assert min(f["lines"] for f in within) > 2 * max((f["lines"] for f in across), default=0)


def test_eight_processes_on_links_that_lose_double_and_shuffle(tmp_path: Path) -> None:
    found = heard(
        tmp_path,
        [
            f"{{kind='peer_loss', {SOON}, way='out', size=1.0}}",
            f"{{kind='peer_double', {SOON}, way='within', size=1.0}}",
            "{kind='peer_shuffle', at_s=0.0, target='dispatchers:4-8', way='within', size=0.3}",
        ],
    )
    one_way = [found.get((a, b), {"datagrams": 0})["datagrams"] for a in LEFT for b in NAMES if b not in LEFT]
    other_way = [found[b, a]["datagrams"] for a in LEFT for b in NAMES if b not in LEFT]
    assert min(other_way) > 2 * max(one_way)
    assert all(found[a, b]["datagrams"] > found[a, b]["different"] for a in LEFT for b in LEFT if a != b)
    shuffled = [found[a, b]["behind"] for a in NAMES[3:] for b in NAMES[3:] if a != b]
    assert sum(n > 0 for n in shuffled) > 0.8 * len(shuffled)
    assert all(f["lines"] > 5 for f in found.values())  # none of these is felt by a connection


def test_a_stall_closes_nothing_and_what_waited_comes_when_it_ends(tmp_path: Path) -> None:
    found = heard(tmp_path, ["{kind='peer_stall', at_s=0.3, for_s=0.8, target='dispatchers:1-3'}"])
    across = [f for (a, b), f in found.items() if (a in LEFT) != (b in LEFT)]
    within = [f for (a, b), f in found.items() if (a in LEFT) == (b in LEFT)]
    assert all(not f["lost"] for f in found.values())
    assert min(f["lines"] for f in across) > 0.8 * min(f["lines"] for f in within)
    assert max(f["datagrams"] for f in across) < 0.9 * min(f["datagrams"] for f in within)
