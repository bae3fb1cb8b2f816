"""Eight processes of the program that judge real servers together, with faults at these and between them.

What each holds is asked over HTTP while the run goes on; the judge looks at the jobs. No verdict rests on
when something was held, only on that it was, and on counts.
"""

import json
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from finchladder.lab import judge, ledger
from tests.lab.play import played

EIGHT = """
name = "eight"
dispatchers = 8
settle_s = 20.0
slack_s = 3.0
zones = ["a", "b"]

[program]
memory_mb = 96
peers = { period_s = 0.2 }
judgement = {}
peers_every_s = 0.25

[network]
peers = true

[front]
across_zones = true

[[pool]]
count = 12
cores = 2
queue = 30
cold_from = 0.9
cold_for_s = 3.0

[[class]]
name = "view"
share = 0.7
work_s = 0.01
deadline_s = 4.0

[[class]]
name = "confirm"
effect = "fragile"
share = 0.3
work_s = 0.01
deadline_s = 4.0

[keys]
count = 400

[load]
late_s = 5.0
most_in_flight = 5000
retries = { kind = "none" }

[[load.phase]]
name = "day"
for_s = 16.0
rate = 90.0
law = "even"
"""
BAD = "{kind='errors', at_s=4.0, for_s=9.0, target='w0001', size=1.0}"


class Case(NamedTuple):
    faults: tuple[str, ...]
    out: set[str]  # held out by some
    by: int  # dispatchers that held it out at the least
    met: int  # jobs that ended badly there at the most; without judgement each of 8 meets it again and again


CASES = {
    "one fails all": Case((BAD,), {"w0001"}, 6, 40),
    "one fails all in a split of three and five": Case(
        (BAD, "{kind='peer_cut', at_s=2.0, for_s=12.0, target='dispatchers:1-3', share=1.0}"),
        {"w0001"},
        4,
        60,
    ),
    "one fails all while a third is lost, late, twice": Case(
        (
            BAD,
            *(
                f"{{kind='peer_{kind}', at_s=2.0, for_s=12.0, target='dispatchers:1-8', share=1.0,"
                f" way='within', size={size}}}"
                for kind, size in (("loss", 0.3), ("double", 0.5), ("shuffle", 0.3))
            ),
        ),
        {"w0001"},
        6,
        50,
    ),
    "one fails all while five are killed and come back": Case(
        (BAD, "{kind='kill', at_s=7.0, for_s=0.5, target='dispatchers:1-5'}"),
        {"w0001"},
        6,
        60,
    ),
    "all fail at three in ten": Case(
        ("{kind='errors', at_s=3.0, for_s=10.0, target='all', share=1.0, size=0.3}",),
        set(),
        0,
        10_000,
    ),
    "one stands still": Case(("{kind='pause', at_s=4.0, for_s=8.0, target='w0001'}",), {"w0001"}, 0, 10_000),
}


@pytest.mark.parametrize("name", CASES)
def test_eight_that_judge_together(name: str, tmp_path: Path) -> None:
    case = CASES[name]
    out = played(tmp_path, EIGHT, f"fault=[{', '.join(case.faults)}]")
    found = ledger.load(out)
    verdict = judge.judge(found)
    assert verdict.rules == {"answer": 0, "once": 0, "drain": 0, "cold": 0}, verdict.findings[:3]
    looks: list[dict[str, Any]] = [
        json.loads(line) for line in (out / "peers.jsonl").read_text().splitlines()
    ]
    held: dict[str, set[str]] = {}
    for look in looks:
        for h in look["told"]["judged"] if look["told"] is not None else ():
            if h["state"] == "condemned":
                held.setdefault(h["server"], set()).add(look["node"])
    # a good one may be thought ill of by one or two; that most hold one out takes what is true
    assert {s for s, by in held.items() if len(by) >= 4} <= case.out, held
    assert all(len(held.get(s, ())) >= case.by for s in case.out), held
    failed = sum(
        run.how == "failed" and run.server in case.out for t in found.tries.values() for run in t.runs
    )
    assert failed <= case.met
