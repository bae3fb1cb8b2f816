"""Settings file of a process: values, defaults and the report of the first problem."""

import pytest

from finchladder.cluster.process.settings import parse_settings
from finchladder.cluster.tenancy.quota_rule import QuotaRule
from finchladder.cluster.types.errors import InvalidSettingsError

SETTINGS = """
node_name = "core-1"
ip = "10.0.0.1"
zone = "z"
port_range = [7000, 7015]
seeds = ["10.0.0.1:80", "10.0.0.2:80"]
later_field = 5
[listen]
control_plane = "10.0.0.1:80"
[bounds]
lease_ms = 1500
"""


def test_a_settings_file_is_read_and_unknown_settings_are_ignored() -> None:
    settings = parse_settings(SETTINGS, "boot.toml")
    assert settings.peer_address == "10.0.0.1:7000"
    assert settings.peer_address_of("10.0.0.2:80") == "10.0.0.2:7000"
    assert settings.bounds.lease_s == 1.5
    assert settings.bounds.drain_s == 2.0


def test_each_value_of_the_quota_rule_is_read_by_its_own_name() -> None:
    text = SETTINGS + "quota_window_s = 3\nquota_overage = 0.25\nquota_slack = 17\n"
    assert parse_settings(text, "boot.toml").bounds.quota == QuotaRule(window_s=3, overage=0.25, slack=17)


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (('zone = "z"', ""), "zone"),
        (("[7000, 7015]", "7000"), "port_range"),
        (('seeds = ["10.0.0.1:80"', 'seeds = ["nowhere"'), "seeds"),
        (('zone = "z"', "zone = "), "read settings"),
        (("[bounds]", '[bounds]\ndrain_ms = "soon"'), "soon"),
        (("[bounds]", "[bounds]\ncontact_ms = []"), "convert settings"),
        (("[bounds]", "[limits]\ndisk_mb = inf\n[bounds]"), "convert settings"),
    ],
)
def test_the_error_of_an_invalid_settings_file_names_the_file(change: tuple[str, str], named: str) -> None:
    with pytest.raises(InvalidSettingsError, match=named):
        parse_settings(SETTINGS.replace(*change), "boot.toml")


def test_a_contact_bound_below_the_heartbeat_interval_is_rejected_with_both_values() -> None:
    text = SETTINGS.replace('zone = "z"', 'zone = "z"\nheartbeat_ms = 1200') + "contact_ms = 900\n"
    with pytest.raises(InvalidSettingsError, match=r"contact_ms 900 .* heartbeat_ms 1200"):
        parse_settings(text, "boot.toml")
