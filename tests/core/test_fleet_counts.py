"""Tests of benchmarks/fleet_counts.py, which counts events in the captures of a fleet, on small captures."""

import importlib.util
from pathlib import Path

FILE = Path(__file__).resolve().parents[2] / "benchmarks" / "fleet_counts.py"
spec = importlib.util.spec_from_file_location("fleet_counts", FILE)
assert spec is not None
assert spec.loader is not None
counts = importlib.util.module_from_spec(spec)
spec.loader.exec_module(counts)

FIRST = """0.5 2026-12-01 | INFO | serving
0.6 {"t":10.1,"in":"list","kind":"patch","entries":[]}
{"t":10.2,"out":"send","id":"a","server":"s1"}
{"t":10.3,"in":"event","id":"a","state":"started","attempt":0}
{"t":10.4,"in":"event","id":"a","state":"returned","attempt":0,"took":0.1}
{"t":10.5,"out":"send","id":"a","server":"s2"}
{"t":12.1,"in":"event","id":"a","state":"done","attempt":1,"took":1.6}
{"t":12.2,"out":"refuse","id":"b","retry_after":1.0}
{"t":12.3,"out":"send","id":"c","""
SECOND = """{"t":11.9,"out":"send","id":"a","server":"s1"}
{"t":12.0,"in":"event","id":"z","state":"done","attempt":0}"""


def test_outcomes_are_counted_in_the_time_span_of_their_send() -> None:
    fleet = {name: list(counts.lines_of(text.splitlines())) for name, text in (("n0", FIRST), ("n1", SECOND))}
    first, second = counts.count(fleet, 2.0)
    assert first[0] == 0.0
    assert first[2] == 4 / 3
    assert first[1] == {"send": 3, "returned": 1, "done": 1, "list": 1, "dispatchers told": 1}
    assert (second[0], dict(second[1])) == (2.0, {"refuse": 1})


STARTED = """{"t":99.0,"in":"list","entries":[["s1","ready","z","k",0,98.0,4],["s2","ready","z","k",0,0.0,4]]}
{"t":100.0,"out":"send","id":"a","server":"s1"}
{"t":100.0,"out":"send","id":"b","server":"s2"}
{"t":106.6,"out":"send","id":"c","server":"s1"}"""
# a dispatcher that has not received the start of s1 yet
UNAWARE = """{"t":100.1,"out":"send","id":"d","server":"s1"}"""


def test_sends_during_slow_start_are_counted_by_the_lists_of_all_dispatchers() -> None:
    fleet = {
        name: list(counts.lines_of(text.splitlines())) for name, text in (("n0", STARTED), ("n1", UNAWARE))
    }
    assert [c["send to a cold one"] for _, c, _ in counts.count(fleet, 100.0, 8.5)] == [0, 2]
    assert [c["send to a cold one"] for _, c, _ in counts.count(fleet, 100.0)] == [0, 0]
