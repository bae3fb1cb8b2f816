"""Timeouts for detecting a loss of contact in deployments with other bounds."""

import pytest

from finchladder.cluster.process.contact_timeouts import ContactTimeouts
from finchladder.lab.cluster.hunt import Case, play


@pytest.mark.parametrize("contact_s", [0.75, 3.0, 5.0, 12.0])
def test_a_dispatcher_is_unconfirmed_once_it_no_longer_counts_as_connected(contact_s: float) -> None:
    timeouts = ContactTimeouts(contact_s)
    doubt_s = timeouts.confirmation_validity_s + timeouts.unconfirmed_timeout_s
    assert doubt_s == pytest.approx(contact_s)


@pytest.mark.parametrize("contact_s", [0.75, 3.0, 5.0, 12.0])
def test_confirmations_and_replies_are_repeated_within_their_validity(contact_s: float) -> None:
    timeouts = ContactTimeouts(contact_s)
    assert 3 * timeouts.confirm_interval_s < timeouts.confirmation_validity_s
    assert timeouts.long_poll_s <= timeouts.unconfirmed_timeout_s


@pytest.mark.parametrize("scale", [0.25, 4.0])
@pytest.mark.parametrize("seed", [0, 1, 2, 3, 5, 6])
def test_the_simulated_core_keeps_all_rules_with_a_quarter_and_four_times_the_bounds(
    scale: float, seed: int
) -> None:
    case = Case(seed, faults=2, freezes=True, overlaps=True, edges=4, scale=scale)
    finding = play(case)
    assert finding is None, finding
