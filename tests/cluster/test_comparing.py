"""Variants compared by the days that the bench played with each."""

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from finchladder.lab.cluster.__main__ import main
from finchladder.lab.cluster.comparing import (
    CREDIT,
    FIGURE,
    DayKey,
    EntryUnusable,
    bootstrap,
    broken_days,
    compare,
    lines,
    read_entry,
    read_variant,
)


def played(number: int, figure: float, **more: Any) -> dict[str, Any]:
    name, prices = f"mix --seed {number}", [["orders", 12, 0.01]]
    day = {"G": figure, "name": name, "seed": number, "slot": "trouble", "served": figure + 0.1}
    day |= {"by_class": [0.9, None, 0.5], "prices": prices, "rules": {}, "fault": None, "short": []}
    return {**day, **more}


def write(folder: Path, figures: list[float], **more: Any) -> Path:
    folder.mkdir(exist_ok=True)
    for number, figure in enumerate(figures):
        entry = {"id": f"e{number}", "site": "s", "argv": ["run"], "days": [played(number, figure, **more)]}
        (folder / f"{number}.json").write_text(json.dumps(entry))
    return folder


def test_what_every_pair_gains_is_told_apart_from_what_some_gain(tmp_path: Path) -> None:
    before = read_variant([write(tmp_path / "a", [0.6, 0.7, 0.8, 0.5, 0.65])])
    gains = read_variant([write(tmp_path / "b", [0.63, 0.74, 0.83, 0.52, 0.69])])
    varies = read_variant([write(tmp_path / "c", [0.7, 0.6, 0.9, 0.4, 0.65])])
    by_measure = {d.measure: d.interval for d in compare(before, gains) if d.group == "s"}
    figure = by_measure[FIGURE]
    assert figure is not None
    assert figure.is_told_apart
    assert figure.mean == pytest.approx(0.032)
    assert by_measure["price: orders"] is not None
    assert by_measure["price: orders"].mean == 0.0
    (interval,) = [d.interval for d in compare(before, varies) if d.group == "s" and d.measure == FIGURE]
    assert interval is not None
    assert not interval.is_told_apart
    assert any("not told apart" in line for line in lines(compare(before, varies)))


def test_under_four_pairs_nothing_is_said(tmp_path: Path) -> None:
    before = read_variant([write(tmp_path / "a", [0.6, 0.7, 0.8])])
    after = read_variant([write(tmp_path / "b", [0.9, 0.9, 0.9])])
    told = compare(before, after)
    assert all(d.interval is None and d.pairs == 3 for d in told)
    assert "  under 4 pairs: nothing is said" in lines(told)


def test_only_days_that_both_played_are_pairs_and_several_plays_of_one_are_averaged(tmp_path: Path) -> None:
    before = read_variant([write(tmp_path / "a", [0.6] * 6)])
    again = [write(tmp_path / "b", [0.6] * 4), write(tmp_path / "c", [0.8] * 4)]
    (difference,) = [
        d for d in compare(before, read_variant(again)) if d.group == "s" and d.measure == CREDIT
    ]
    assert difference.pairs == 4
    assert difference.interval is not None
    assert difference.interval.mean == pytest.approx(0.1)


def test_small_twins_are_no_pairs_of_full_days(tmp_path: Path) -> None:
    folder = write(tmp_path / "a", [0.5])
    entry = json.loads((folder / "0.json").read_text())
    (folder / "0.json").write_text(json.dumps({**entry, "argv": ["run", "--small"]}))
    assert set(read_variant([folder])) == {DayKey("s", "mix", 0, True)}


def test_the_interval_is_the_same_each_time_and_wider_with_what_varies_more() -> None:
    narrow, wide = [0.01, 0.011, 0.009, 0.01], [0.2, -0.2, 0.1, -0.06]
    assert bootstrap(narrow) == bootstrap(narrow)
    assert bootstrap(wide).high - bootstrap(wide).low > 10 * (bootstrap(narrow).high - bootstrap(narrow).low)


def test_a_standard_day_is_its_own_seed(tmp_path: Path) -> None:
    before = read_variant([write(tmp_path / "a", [0.6], name="quiet-1", seed=None)])
    after = read_variant([write(tmp_path / "b", [0.7], name="quiet-1", seed=None)])
    assert [str(key) for key in before] == ["s quiet-1"]
    assert {d.pairs for d in compare(before, after)} == {1}


def test_days_that_did_not_pass_are_told(tmp_path: Path) -> None:
    days = read_variant([write(tmp_path / "a", [0.0], rules={"CONFIG": 38}, fault="too slow")])
    assert broken_days(days) == ["s mix --seed 0: CONFIG broken 38 times; too slow"]


def test_the_command_says_what_differs_draws_it_and_fails_on_broken_days(tmp_path: Path) -> None:
    before, after = write(tmp_path / "a", [0.5] * 4), write(tmp_path / "b", [0.6] * 4)
    plot = tmp_path / "plot.png"
    call = ["compare", "--before", str(before), "--after", str(after), "--plot", str(plot)]
    result = CliRunner().invoke(main, call)
    assert result.exit_code == 0, result.output
    assert "s: 4 pairs" in result.output
    assert plot.read_bytes().startswith(b"\x89PNG")
    write(after, [0.6], rules={"ONE": 1})
    result = CliRunner().invoke(main, call)
    assert result.exit_code == 1
    assert "broken, after: s mix --seed 0: ONE broken 1 times" in result.output


def test_a_file_that_is_no_entry_is_named(tmp_path: Path) -> None:
    (tmp_path / "x.json").write_text('{"days": 3}')
    with pytest.raises(EntryUnusable, match="x.json"):
        read_entry(tmp_path / "x.json")
    result = CliRunner().invoke(
        main, ["compare", "--before", str(tmp_path / "x.json"), "--after", str(tmp_path)]
    )
    assert result.exit_code == 2
