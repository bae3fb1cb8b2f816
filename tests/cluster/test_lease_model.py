"""Every state of the placer's lease: no two members act within a turn, and each guard is needed for that."""

from collections.abc import Callable

import pytest
from click.testing import CliRunner

from finchladder.cluster.replication.lease import CLOCK_MARGIN_S, GrantedLease, HeldLease
from finchladder.lab.cluster import lease_model
from finchladder.lab.cluster.__main__ import main
from finchladder.lab.cluster.lease_model import (
    no_two_act_within_a_turn,
    no_two_hold_at_once,
    start,
    steps,
)
from finchladder.lab.cluster.search import Explored, explore

MOST_STATES = 200_000
MOST_FENCED_STATES = 400_000


def search() -> Explored[lease_model.System]:
    return explore(start(2, 1), steps, no_two_act_within_a_turn, MOST_STATES)


def test_in_no_state_two_members_act_within_a_turn() -> None:
    found = search()
    assert found.complete
    assert found.broken is None
    assert found.states == 114_787


def test_the_command_tells_how_far_it_went() -> None:
    result = CliRunner().invoke(main, ["lease", "--requests", "1"])
    assert (result.exit_code, result.output) == (0, "1771 states, all of them, up to 20 steps away\n")


def counts_from_the_answer(self: HeldLease, asked_at: float, token: int) -> None:
    self.token, self.expires_at = token, lease_model.NOW + self.lease_s


def waits_for_no_turn(self: GrantedLease, now: float, *, holder_left: bool = False) -> float | None:
    if self.renewed_at is None:
        return None
    return max(0.0, self.renewed_at + self.lease_s + CLOCK_MARGIN_S - now)


def waits_for_no_lease(self: GrantedLease, now: float, *, holder_left: bool = False) -> float | None:
    if self.renewed_at is None:
        return None
    return max(0.0, self.renewed_at + (0.0 if self.fenced and holder_left else self.exclusion_window_s) - now)


def does_not_note_renewals(self: GrantedLease, now: float) -> None:
    self.renewed_at = now if self.renewed_at is None else self.renewed_at


def takes_the_lease_as_over(self: GrantedLease, since: float) -> None:
    self.renewed_at = lease_model.NOW - self.lease_s - self.exclusion_window_s - CLOCK_MARGIN_S


def forgets_the_last_act(self: GrantedLease, now: float, idle_s: float) -> None:
    if self.renewed_at is not None:
        self.renewed_at = now - self.exclusion_window_s - self.lease_s - CLOCK_MARGIN_S


def does_not_drop(self: HeldLease) -> None:
    """The role is given up, and orders go on."""


@pytest.mark.parametrize(
    ("side", "name", "careless"),
    [
        (HeldLease, "extend", counts_from_the_answer),
        (HeldLease, "drop", does_not_drop),
        (GrantedLease, "wait_s", waits_for_no_turn),
        (GrantedLease, "wait_s", waits_for_no_lease),
        (GrantedLease, "renew", does_not_note_renewals),
        (GrantedLease, "confirm", takes_the_lease_as_over),
        (GrantedLease, "release", forgets_the_last_act),
    ],
)
def test_without_a_guard_two_act_within_a_turn(
    monkeypatch: pytest.MonkeyPatch, side: type, name: str, careless: Callable[..., object]
) -> None:
    monkeypatch.setattr(side, name, careless)
    assert search().broken is not None


def search_fenced() -> Explored[lease_model.System]:
    return explore(start(2, 1, fenced=True, views=1), steps, no_two_hold_at_once, MOST_FENCED_STATES)


def test_where_workers_check_fences_in_no_state_two_members_hold_the_role() -> None:
    found = search_fenced()
    assert found.complete
    assert found.broken is None


@pytest.mark.parametrize(
    ("side", "name", "careless"),
    [
        (HeldLease, "extend", counts_from_the_answer),
        (HeldLease, "drop", does_not_drop),
        (GrantedLease, "wait_s", waits_for_no_lease),
        (GrantedLease, "renew", does_not_note_renewals),
        (GrantedLease, "confirm", takes_the_lease_as_over),
    ],
)
def test_where_workers_check_fences_without_a_guard_two_hold_the_role(
    monkeypatch: pytest.MonkeyPatch, side: type, name: str, careless: Callable[..., object]
) -> None:
    monkeypatch.setattr(side, name, careless)
    assert search_fenced().broken is not None
