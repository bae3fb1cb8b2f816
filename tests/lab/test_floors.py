"""The report of days against their gate: a day with no broken rule may still not have passed."""

import json
from pathlib import Path

from click.testing import CliRunner

from benchmarks.floors import main

SITE = """
classes = [{ name = "draft" }, { name = "urgent" }]
[[day]]
floor_classes = [0.3]
[[day]]
floor_classes = [0.4]
[[day]]
"""


def day(name: str, shares: list[float | None], **more: object) -> dict[str, object]:
    return {"name": name, "rules": {}, "fault": None, "gate": True, "short": [], "by_class": shares} | more


def report(folder: Path, *days: dict[str, object]) -> tuple[int, str]:
    site, entry = folder / "site.toml", folder / "entry.json"
    site.write_text(SITE)
    entry.write_text(json.dumps({"id": "e1", "days": list(days)}))
    result = CliRunner().invoke(main, [str(site), str(entry)])
    return result.exit_code, result.output


def test_days_that_passed_are_told_with_the_least_share_of_each_class(tmp_path: Path) -> None:
    code, text = report(tmp_path, day("one", [0.9, 0.5]), day("two", [0.7, None]), day("three", [0.8, 0.4]))
    assert code == 0
    assert "3 of 3 days passed the gate" in text
    assert "floors of the site's days: 0.30 to 0.40" in text
    assert "draft                    least 0.700  median 0.800" in text
    assert "urgent                   least 0.400  median 0.450" in text


def test_a_day_below_a_floor_is_as_broken_as_one_with_a_broken_rule(tmp_path: Path) -> None:
    code, text = report(
        tmp_path,
        day("low", [0.9, 0.2], short=["0.20 of urgent"]),
        day("lost", [0.9, 0.5], gate=False, rules={"LOST": 2}),
        day("crashed", [0.9, 0.5], gate=False, fault="too slow"),
        day("starved", [0.9, 0.5], gate=False),
        day("good", [0.9, 0.5]),
    )
    assert code == 1
    assert "1 of 5 days passed the gate" in text
    assert "broken: low (e1): 0.20 of urgent" in text
    assert "broken: lost (e1): LOST broken 2 times" in text
    assert "broken: crashed (e1): too slow" in text
    assert "broken: starved (e1): gate failed" in text


def test_no_days_are_no_pass(tmp_path: Path) -> None:
    assert report(tmp_path)[0] == 1
