"""The hunt for seeds that break a rule of the control state, and the corpus of those that did."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from finchladder.cluster.replication import membership
from finchladder.cluster.types.members import Member, View
from finchladder.lab.cluster.__main__ import main
from finchladder.lab.cluster.hunt import Case, corpus, hunt, play, shrink

CORPUS = Path(__file__).parent / "corpus" / "control.toml"


@pytest.mark.parametrize("case", corpus(CORPUS), ids=str)
def test_seeds_that_once_failed_keep_the_rules(case: Case) -> None:
    assert play(case) is None


def test_a_finding_is_shrunk_to_as_few_faults_as_still_break_a_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    def anybody(view: View, alive: dict[str, membership.MemberStatus]) -> list[Member]:
        return [status.member for status in alive.values() if status.healthy]

    monkeypatch.setattr(membership, "survivors", anybody)
    finding = next(found for found in (play(Case(seed)) for seed in range(40)) if found is not None)
    shorter = shrink(finding)
    assert shorter.case.faults <= finding.case.faults
    assert any("VIOLATION" in line for line in shorter.trace)
    if shorter.case.faults:
        assert play(Case(shorter.case.seed, faults=shorter.case.faults - 1)) is None


def test_the_hunt_plays_all_seeds_and_tells_that_none_breaks_a_rule() -> None:
    assert list(hunt([Case(seed, faults=1) for seed in range(4)], jobs=2)) == []
    result = CliRunner().invoke(main, ["hunt", "--seeds", "2", "--faults", "1"])
    assert (result.exit_code, result.output) == (0, "2 seeds, 0 with a rule broken\n")
