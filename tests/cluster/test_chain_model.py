"""The chain with views and lost disks, searched exhaustively; wrong versions of its rules are found."""

from collections.abc import Mapping
from typing import Any

import pytest
from click.testing import CliRunner

from finchladder.cluster.replication import chain, membership
from finchladder.cluster.replication.chain import Replica
from finchladder.cluster.replication.membership import MemberStatus, ReplicationLimits
from finchladder.cluster.types.members import Member, View
from finchladder.lab.cluster import chain_model
from finchladder.lab.cluster.__main__ import main
from finchladder.lab.cluster.search import Explored, explore

MOST_STATES = 400_000


def searched(writes: int = 1, views: int = 2, wipes: int = 1) -> Explored[Any]:
    start = chain_model.start(3, writes, views, wipes)
    return explore(start, chain_model.steps, chain_model.nothing_acknowledged_is_missing, MOST_STATES)


def test_no_order_of_views_writes_and_a_lost_disk_loses_a_change() -> None:
    found = searched()
    assert found.complete
    assert found.broken is None


def test_the_command_tells_how_far_it_went() -> None:
    result = CliRunner().invoke(main, ["chain", "--writes", "1", "--views", "1"])
    assert result.exit_code == 0
    assert "all of them" in result.output


def test_joiners_that_count_as_survivors_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def anybody(view: View, alive: Mapping[str, MemberStatus]) -> list[Member]:
        return [m for m in view.chain if m.disk_id in alive]

    monkeypatch.setattr(membership, "survivors", anybody)
    assert searched(views=3).broken is not None


def test_joiners_that_lead_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    next_view = membership.next_view

    def joiner_first(*arguments: Any) -> View | None:
        view = next_view(*arguments)
        if view is None:
            return None
        return View(view.number, view.voters, view.chain[::-1], view.survivors, view.state_sources)

    monkeypatch.setattr(membership, "next_view", joiner_first)
    assert searched().broken is not None


def test_a_collection_without_the_sources_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the other group it needs machines that vote no more; test_worst_days.py forbids it by cases."""

    def whoever_answers(
        view: View, alive: Mapping[str, MemberStatus], limits: ReplicationLimits
    ) -> View | None:
        members = tuple(status.member for status in alive.values())
        return membership._checked_view(view, alive, members, 0, (view.chain,), limits)

    monkeypatch.setattr(membership, "_collecting_view", whoever_answers)
    assert searched(views=3).broken is not None


def test_the_oldest_replica_of_a_collection_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def oldest(replicas: Any) -> Replica:
        found: Replica = min(replicas, key=lambda r: (r.state_view, r.state.sequence))
        return found

    monkeypatch.setattr(chain, "newest_replica", oldest)
    assert searched(views=3).broken is not None
