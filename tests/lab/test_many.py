"""Nine processes of the program and faults between them: what all of them together must keep.

Nine are more than the eight up to which a dispatcher counts as one of a few. Verdicts are counts of the
judge, and shares of jobs that no lateness can turn.
"""

from collections import Counter
from pathlib import Path

import pytest

from finchladder.lab import judge, ledger, spread
from tests.lab.play import played

NINE = """
name = "nine"
dispatchers = 9
zones = ["a", "b", "c"]
settle_s = 25.0
slack_s = 3.0

[program]
memory_mb = 96

[[pool]]
count = 6
cores = 2
queue = 30
cold_from = 0.9
cold_for_s = 5.0

[[class]]
name = "view"
share = 0.5
work_s = 0.01
deadline_s = 4.0

[[class]]
name = "confirm"
share = 0.5
work_s = 0.01
effect = "fragile"
worth = 10.0
deadline_s = 4.0

[keys]
count = 200

[front]
across_zones = true

[load]
late_s = 5.0
most_in_flight = 5000

[[load.phase]]
name = "day"
for_s = 2.5
rate = 120.0
law = "even"
"""


def nine(folder: Path, *sets: str) -> ledger.Ledger:
    return ledger.load(played(folder, NINE, *sets))


FAULTS = {
    "processes die, stand still and are rolled": [
        "{kind='kill', at_s=0.3, target='dispatchers:1-6', for_s=0.1, label='most'}",
        "{kind='pause', at_s=0.4, target='dispatchers:7-8', for_s=0.8}",
        "{kind='restart', at_s=1.6, target='n9', for_s=0.1}",
    ],
    "the same ones are killed twice while real servers die": [
        "{kind='kill', at_s=0.3, target='all', share=0.5, for_s=0.1, label='half'}",
        "{kind='crash', at_s=0.8, target='servers:1-3', for_s=0.4}",
        "{kind='kill', at_s=1.8, same_as='half', for_s=0.1}",
    ],
    "a real server fails fast, one crawls, one hangs": [
        "{kind='errors', at_s=0.2, target='w0001', for_s=2.0, size=1.0}",
        "{kind='slow', at_s=0.2, target='w0002', for_s=2.0, size=0.15}",
        "{kind='pause', at_s=0.2, target='w0003', for_s=1.0}",
    ],
    "a third of the list changes at one moment": [
        "{kind='drain', at_s=0.5, target='servers:1-2', for_s=0.5}",
        "{kind='vanish', at_s=1.5, share=0.34, for_s=0.3}",
        "{kind='discovery_stale', at_s=1.0, for_s=1.0, size=0.5}",
    ],
    "links between zones are cut, then silent, then reset": [
        "{kind='cut', at_s=0.3, between=['a','b'], for_s=0.6}",
        "{kind='black_hole', at_s=1.0, target='zone:c', share=0.4, for_s=0.6}",
        "{kind='reset_after', at_s=1.7, target='zone:a', share=0.4, for_s=0.5}",
    ],
}


@pytest.mark.parametrize("name", FAULTS)
def test_nine_dispatchers_keep_the_rules_while(name: str, tmp_path: Path) -> None:
    sets = [f"fault=[{', '.join(FAULTS[name])}]"]
    if "links" in name:
        sets.append("network.on=true")
    found = nine(tmp_path, *sets)
    verdict = judge.judge(found)
    assert verdict.rules == {"answer": 0, "once": 0, "drain": 0, "cold": 0}, verdict.findings[:3]
    assert len(found.jobs) == 300
    struck = {f.kind for f in found.faults}
    assert {part.split("'")[1] for part in FAULTS[name]} <= struck
    assert spread.summarize(found)["sends"] >= 200  # work went on


def test_one_hot_key_is_not_left_to_the_two_that_its_hashes_name(tmp_path: Path) -> None:
    """Each sees some 45 of its requests, where a few dispatchers believe a share from 50 on."""
    found = nine(tmp_path, "keys.hot=1.0", "load.phase.0.rate=160.0", "zones=['a']")
    got = Counter(run.server for t in found.tries.values() for run in t.runs if run.verdict == "accepted")
    some = [server for server, n in got.items() if n >= 0.05 * sum(got.values())]
    assert len(some) >= 4, got  # three pairs name four at the least


def test_ties_of_one_key_are_not_all_won_by_one_real_server(tmp_path: Path) -> None:
    """Jobs so short that no two of a dispatcher's meet: each comparison is a tie."""
    found = nine(tmp_path, "keys.count=40", "keys.zipf=0.0", "pool.0.answers_at_once=true", "zones=['a']")
    homes: dict[str, Counter[str]] = {}
    for t in found.tries.values():
        for run in t.runs:
            homes.setdefault(t.asked.key, Counter())[run.server] += 1
    alone = sum(max(servers.values()) == sum(servers.values()) for servers in homes.values())
    assert alone < 0.5 * len(homes), homes  # some 2 ** -6 of them, and those whose two hashes name one
