"""Who is in touch, and since when: for whom the control world asks that bounds in time are kept."""

import pytest
from attrs import evolve

from finchladder.lab.cluster.contact import Contact, Link, Process, Snapshot

CORE = tuple(Process(f"core-{n}", 1) for n in (1, 2, 3))
EDGE = Process("edge-1", 1)
CALM = Snapshot(CORE, (EDGE,), frozenset())
CONTACT_S = 3.0


def both_ways(one: str, *others: str) -> frozenset[Link]:
    return frozenset(link for other in others for link in ((one, other), (other, one)))


def in_touch(snapshot: Snapshot, after_s: float, before: Snapshot = CALM) -> bool:
    """Whether the dispatcher is, so long after the snapshot followed on a long time of another one."""
    contact = Contact(CONTACT_S)
    contact.watch(0.0, before)
    contact.watch(100.0, snapshot)
    return "edge-1" in contact.in_touch(100.0 + after_s, snapshot)


DOWN = evolve(CALM, core=(Process("core-1", 0), *CORE[1:]))
CASES: dict[str, tuple[Snapshot, bool]] = {
    "calm": (CALM, True),
    "one of the core is down": (DOWN, True),
    "two of the core are down": (evolve(DOWN, core=(*DOWN.core[:1], Process("core-2", 0), CORE[2])), False),
    "one of the core is frozen": (evolve(CALM, core=(Process("core-1", 1, is_frozen=True), *CORE[1:])), True),
    "a disk is slow": (evolve(CALM, core=(Process("core-1", 1, has_trouble=True), *CORE[1:])), False),
    "messages are lost": (evolve(CALM, loss=0.01), False),
    "one of the core is cut off": (evolve(CALM, cut=both_ways("core-1", "core-2", "core-3")), True),
    "all of the core are cut off": (
        evolve(CALM, cut=both_ways("core-1", "core-2", "core-3") | both_ways("core-2", "core-3")),
        False,
    ),
    "cut off from one that reaches most": (evolve(CALM, cut=both_ways("edge-1", "core-2")), False),
    "one way is enough to be cut off": (evolve(CALM, cut=frozenset({("core-2", "edge-1")})), False),
    "cut off from one that reaches nobody": (
        evolve(CALM, cut=both_ways("core-1", "core-2", "core-3", "edge-1")),
        True,
    ),
    "the dispatcher is down": (evolve(CALM, edges=(Process("edge-1", 0),)), False),
    "the dispatcher is frozen": (evolve(CALM, edges=(Process("edge-1", 1, is_frozen=True),)), False),
}


@pytest.mark.parametrize("case", CASES)
def test_who_is_in_touch_a_while_after_something_happened(case: str) -> None:
    snapshot, expected = CASES[case]
    assert in_touch(snapshot, CONTACT_S) is expected


@pytest.mark.parametrize("case", [case for case in CASES if CASES[case][0] != CALM])
def test_nobody_is_in_touch_right_after_something_happened(case: str) -> None:
    assert not in_touch(CASES[case][0], CONTACT_S - 0.1)


@pytest.mark.parametrize("case", [case for case in CASES if CASES[case][0] != CALM])
def test_nor_right_after_its_end(case: str) -> None:
    assert not in_touch(CALM, CONTACT_S - 0.1, before=CASES[case][0])
    assert in_touch(CALM, CONTACT_S, before=CASES[case][0])


def test_a_process_that_ended_and_started_between_two_looks_is_another_one() -> None:
    started = evolve(CALM, edges=(Process("edge-1", 2),))
    assert not in_touch(started, CONTACT_S - 0.1)
    assert in_touch(started, CONTACT_S)
