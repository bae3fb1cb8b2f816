"""The counts across a fleet's captures, on small ones made here."""

import importlib.util
from pathlib import Path

FILE = Path(__file__).resolve().parents[2] / "benchmarks" / "fleet_counts.py"
spec = importlib.util.spec_from_file_location("fleet_counts", FILE)
assert spec is not None
assert spec.loader is not None
counts = importlib.util.module_from_spec(spec)
spec.loader.exec_module(counts)

ONE = """0.5 2026-12-01 | INFO | serving
0.6 {"t":10.1,"in":"list","kind":"patch","entries":[]}
{"t":10.2,"out":"send","id":"a","server":"s1"}
{"t":10.3,"in":"event","id":"a","state":"started","attempt":0}
{"t":10.4,"in":"event","id":"a","state":"returned","attempt":0,"took":0.1}
{"t":10.5,"out":"send","id":"a","server":"s2"}
{"t":12.1,"in":"event","id":"a","state":"done","attempt":1,"took":1.6}
{"t":12.2,"out":"refuse","id":"b","retry_after":1.0}
{"t":12.3,"out":"send","id":"c","""
TWO = """{"t":11.9,"out":"send","id":"a","server":"s1"}
{"t":12.0,"in":"event","id":"z","state":"done","attempt":0}"""


def test_sends_are_counted_where_they_were_sent_and_by_dispatcher() -> None:
    fleet = {name: list(counts.lines_of(text.splitlines())) for name, text in (("n0", ONE), ("n1", TWO))}
    first, second = counts.count(fleet, 2.0)
    assert first[0] == 0.0
    assert first[2] == 4 / 3
    assert first[1] == {"send": 3, "returned": 1, "done": 1, "list": 1, "dispatchers told": 1}
    assert (second[0], dict(second[1])) == (2.0, {"refuse": 1})


BORN = """{"t":99.0,"in":"list","entries":[["s1","ready","z","k",0,98.0,4],["s2","ready","z","k",0,0.0,4]]}
{"t":100.0,"out":"send","id":"a","server":"s1"}
{"t":100.0,"out":"send","id":"b","server":"s2"}
{"t":106.6,"out":"send","id":"c","server":"s1"}"""
OTHER = """{"t":100.1,"out":"send","id":"d","server":"s1"}"""  # its list did not tell of the start yet


def test_sends_to_cold_ones_are_counted_by_what_any_dispatcher_was_told() -> None:
    fleet = {name: list(counts.lines_of(text.splitlines())) for name, text in (("n0", BORN), ("n1", OTHER))}
    assert [c["send to a cold one"] for _, c, _ in counts.count(fleet, 100.0, 8.5)] == [0, 2]
    assert [c["send to a cold one"] for _, c, _ in counts.count(fleet, 100.0)] == [0, 0]
