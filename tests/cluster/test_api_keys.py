"""Tests that API keys are parsed from headers, looked up by digest and never shown."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.tenancy.api_keys import (
    ApiKey,
    MalformedCredentials,
    MissingKey,
    build_key_table,
    parse_credentials,
)
from finchladder.cluster.tenancy.tenants import Tenant

SALT = b"salt of process1"


@pytest.mark.parametrize(
    "value", ["Token k1", "token k1", "TOKEN k1", " \tToken k1\t ", "Token   k1", "Token \tk1"]
)
def test_a_key_is_parsed_after_the_scheme(value: str) -> None:
    assert parse_credentials([value]) == ApiKey("k1")


@pytest.mark.parametrize(
    "values",
    [
        [""],
        ["Token"],
        ["Token "],
        ["Tokenk1"],
        ["k1"],
        ["Bearer k1"],
        ["Token k1 k2"],
        ["Token k1, Token k1"],
        ["Token\u00a0k1"],
        ["Token k\x00"],
        ["Token k\x7f"],
        ["Token k\x1f1"],
        ["Token k\udcff"],
        ["Token k1", "Token k1"],
        ["Token k1", ""],
        ["", "Token k1"],
    ],
)
def test_other_header_values_are_malformed(values: list[str]) -> None:
    assert parse_credentials(values) == MalformedCredentials()


def test_a_request_without_header_has_no_key() -> None:
    assert parse_credentials([]) == MissingKey()


HEADER_VALUES = st.one_of(
    st.text(st.characters()),
    st.builds(
        "".join, st.lists(st.sampled_from(["Token", "token", " ", "\t", "k1", ",", "\x00", "\n", "é"]))
    ),
)


@given(st.lists(HEADER_VALUES, max_size=3))
def test_parsed_keys_contain_no_whitespace_or_control_characters(values: list[str]) -> None:
    credentials = parse_credentials(values)
    if isinstance(credentials, ApiKey):
        assert len(values) == 1
        assert credentials.text and credentials.text in values[0]
        assert not any(c.isspace() or ord(c) < 0x20 or 0x7F <= ord(c) < 0xA0 for c in credentials.text)
        assert build_key_table(SALT, [(Tenant("a"), [credentials.text])]).tenant_of(credentials) is not None


@given(st.text(st.characters(exclude_categories=("C", "Z")), min_size=1))
def test_every_printable_key_can_be_sent(text: str) -> None:
    assert parse_credentials([f"Token {text}"]) == ApiKey(text)


def test_the_table_contains_each_key_of_each_tenant() -> None:
    a, b = Tenant("a"), Tenant("b")
    table = build_key_table(SALT, [(a, ["k1", "k2", "k2"]), (b, ["k3"]), (Tenant("c"), [])])
    found = [table.tenant_of(ApiKey(text)) for text in ("k1", "k2", "k3", "k4", "K1", "k")]
    assert found == [a, a, b, None, None, None]


def test_keys_with_any_characters_of_json_can_be_configured() -> None:
    build_key_table(SALT, [(Tenant("a"), ["\ud800", "é", "\x00 "])])


def test_no_representation_contains_a_key_and_digests_depend_on_the_salt() -> None:
    tables = [build_key_table(salt, [(Tenant("a"), ["secret"])]) for salt in (SALT, b"other", b"")]
    assert len({key for table in tables for key in table._tenants_by_digest}) == 3
    for value in (*tables, ApiKey("secret")):
        assert "secret" not in repr(value) and "secret" not in str(value)
    assert "secret" not in repr(tables[0]._tenants_by_digest)
