"""The planted faults: each still has its place in the code, and the command finds one."""

from importlib.util import find_spec
from pathlib import Path

import pytest
from click.testing import CliRunner

from finchladder.lab.cluster import mutants
from finchladder.lab.cluster.__main__ import main
from finchladder.lab.cluster.mutants import Found, MutantNotApplied, play_all, play_here
from finchladder.lab.cluster.planted_faults import MUTANTS, QUOTAS, Mutant

POINTS = {1, 2, 3, 4, QUOTAS}  # the fifth is the exchange with workers, which test_exchange.py judges


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_what_a_mutant_replaces_stands_in_its_module_once(mutant: Mutant) -> None:
    spec = find_spec(f"finchladder.cluster.{mutant.module}")
    assert spec is not None
    assert spec.origin is not None
    text = Path(spec.origin).read_text()
    assert text.count(mutant.old) == 1
    compile(text.replace(mutant.old, mutant.new), spec.origin, "exec")
    assert mutant.old != mutant.new


def test_names_differ_and_each_point_has_two_or_more() -> None:
    assert len({mutant.name for mutant in MUTANTS}) == len(MUTANTS)
    points = [mutant.point for mutant in MUTANTS]
    assert set(points) == POINTS
    assert all(points.count(point) >= 2 for point in POINTS)


def test_the_command_finds_a_head_that_acknowledges_alone() -> None:
    result = CliRunner().invoke(main, ["mutants", "--only", "acknowledged by the head alone", "--seeds", "5"])
    assert result.exit_code == 0, result.output
    assert result.output.endswith("1 mutants, 0 not found within 5 seeds\n")


def test_a_mutant_that_is_not_found_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mutants, "_play_there", lambda mutant, first, seeds: Found(mutant, seeds, ""))
    (found,) = play_all(MUTANTS[:1], 0, 3, 1)
    assert (found.seeds, found.problem) == (3, "")


def test_a_process_that_has_the_code_already_refuses_a_mutant() -> None:
    with pytest.raises(MutantNotApplied):
        play_here(MUTANTS[0], 0, 1)
