"""Exhaustive search of the agreement on a view, and of wrong versions of it."""

from collections.abc import Iterable

import pytest
from click.testing import CliRunner

from finchladder.cluster.replication import agreement
from finchladder.cluster.types.members import View
from finchladder.cluster.types.messages import Accept, Promise
from finchladder.lab.cluster import agreement_model
from finchladder.lab.cluster.__main__ import main
from finchladder.lab.cluster.search import Explored, explore

ALL, SOME = 1_000_000, 15_000  # states


def searched(voters: int, ballots: int, most: int = ALL) -> Explored[agreement_model.Round]:
    start = agreement_model.start(voters, ballots)
    return explore(start, agreement_model.steps, agreement_model.one_view_is_decided, most)


@pytest.mark.parametrize(("voters", "ballots"), [(3, 1), (3, 2)])
def test_no_order_of_two_proposals_decides_two_views(voters: int, ballots: int) -> None:
    found = searched(voters, ballots)
    assert found.broken is None
    assert found.complete


@pytest.mark.parametrize(("voters", "ballots"), [(3, 3), (5, 2)])
def test_larger_rounds_are_searched_as_far_as_a_test_may_take(voters: int, ballots: int) -> None:
    """All of them: `python -m finchladder.lab.cluster search --voters 5`."""
    found = searched(voters, ballots, most=SOME)
    assert found.broken is None
    assert found.states == SOME


def test_a_proposer_that_heeds_no_accepted_view_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def heedless(promises: Iterable[Promise]) -> View | None:
        return None

    monkeypatch.setattr(agreement, "value_to_propose", heedless)
    found = searched(3, 2)
    assert found.broken is not None
    assert len(found.broken) == 10, "two promises, a proposal and two votes of each ballot"


def test_a_voter_that_accepts_below_its_promise_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    accept = agreement.accept

    def forgetful(acceptor: agreement.Acceptor, may_vote: bool, request: Accept) -> object:
        return accept(agreement.Acceptor(acceptor.view), may_vote, request)

    monkeypatch.setattr(agreement, "accept", forgetful)
    assert searched(3, 2).broken is not None


def test_the_command_tells_what_it_saw_and_fails_where_two_views_are_decided(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    result = CliRunner().invoke(main, ["search"])
    assert (result.exit_code, result.output) == (0, "1696 states, all of them, up to 14 steps away\n")
    assert "not all" in CliRunner().invoke(main, ["search", "--states", "50"]).output
    monkeypatch.setattr(agreement, "value_to_propose", lambda promises: None)
    result = CliRunner().invoke(main, ["search"])
    assert result.exit_code == 1
    assert "two views are decided after:" in result.output


def test_the_search_tells_the_shortest_way_and_whether_it_saw_all() -> None:
    def steps(number: int) -> Iterable[tuple[str, int]]:
        return [(f"+{step}", number + step) for step in (1, 2) if number + step <= 6]

    assert explore(0, steps, lambda number: number != 4, 100).broken == ("+2", "+2")
    assert explore(0, steps, lambda number: True, 100) == Explored(7, 3, True, None)
    assert not explore(0, steps, lambda number: True, 3).complete
