"""The operator's file in TOML: invalid files are rejected with their codes, valid files load."""

import json
import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchladder.cli import front
from finchladder.config.findings import MAX_FINDINGS, REMEDIES, Finding, FindingsError
from finchladder.config.operator_file import (
    MAX_FILE_BYTES,
    MAX_READS,
    RECHECK_DELAY_S,
    Loaded,
    load,
    read,
    read_unchanged,
)
from finchladder.config.option_files import read_options
from finchladder.config.positions import Position, toml_positions
from finchladder.core.api import Effect
from finchladder.core.routing.routes import MAX_ROUTES, retryable_endings
from tests.config.platform import MEMORY_MB, PLATFORMS, VARIANTS, variant_of
from tests.peers import ROOT

CASES = tomllib.loads((Path(__file__).parent / "cases.toml").read_text())
BAD = [(code, text.replace(" ⏎ ", "\n")) for code, texts in CASES["bad"].items() for text in texts]
GOOD = [text.replace(" ⏎ ", "\n") for text in CASES["good"]["files"]]
ODD: list[tuple[str, bytes]] = [  # bytes that aren't valid text or exceed limits
    ("FL102", b"#" * (10 * 1024 * 1024)),
    ("FL102", b"#" * (MAX_FILE_BYTES + 1)),
    ("FL103", b"\xff\xfe[\0d\0"),
    ("FL103", "[door]".encode("utf-16")),
    ("FL103", "# Señora\n[door]".encode("latin-1")),
    ("FL103", b"\xef\xbb\xbf[door]"),
    ("FL103", b"a = '\xed\xa0\x80'"),
    ("FL103", b"# \xc3"),
    ("FL105", b"a = 1\0"),
    ("FL105", b"a = " + b"9" * 5000),
    ("FL105", b"a\rb"),
    ("FL107", b"a = " + b"[" * 100_000),
    ("FL107", b"a = " + b"{a=" * 100_000),
    ("FL107", b"a." * 100_000 + b"a = 1"),
    ("FL124", b"".join(b"route.r%d = {class = 'view'}\n" % n for n in range(MAX_ROUTES + 1))),
]


def codes(found: Loaded | FindingsError) -> set[str]:
    return {f.code for f in found.reported} if isinstance(found, FindingsError) else set()


def loaded(text: str | bytes, name: str = "c.toml") -> Loaded | FindingsError:
    variant = variant_of(text) if isinstance(text, str) else ""
    return load(text, name, PLATFORMS[variant], MEMORY_MB)


def check(*args: str) -> int:
    """Runs `finchladder config check` and returns its exit status."""
    try:
        front.main(["config", "check", *args])
    except SystemExit as e:
        return int(e.code or 0)
    return 0


@pytest.fixture
def platform(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for name, facts in VARIANTS.items():
        (tmp_path / f"platform{name}.json").write_text(json.dumps(facts))
    monkeypatch.setenv("NODE_CONFIG", str(tmp_path / "platform.json"))


def test_the_cases_are_numerous_and_cover_every_code() -> None:
    assert len(set(BAD)) == len(BAD) >= 150
    assert len(set(GOOD)) == len(GOOD) >= 50
    assert {*CASES["bad"], *(code for code, _ in ODD), "FL101", "FL109"} == set(REMEDIES)


@pytest.mark.usefixtures("platform")
@pytest.mark.parametrize(("code", "text"), BAD + ODD, ids=lambda v: v if str(v).startswith("FL") else "")
def test_an_invalid_file_is_rejected_with_exit_status_2_and_its_code(
    code: str,
    text: str | bytes,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    file = tmp_path / "c.toml"
    file.write_bytes(text.encode() if isinstance(text, str) else text)
    variant = variant_of(text) if isinstance(text, str) else ""
    monkeypatch.setenv("NODE_CONFIG", str(tmp_path / f"platform{variant}.json"))
    assert check(str(file)) == 2
    out, err = capsys.readouterr()
    lines = out.splitlines()
    assert err == ""
    assert lines
    for line in lines:
        assert re.fullmatch(rf"{re.escape(str(file))}:\d+:\d+: {code} \S.*\. [A-Z].*\.", line), line
        assert line.isprintable()
        assert len(line) < 800


@pytest.mark.usefixtures("platform")
def test_valid_files_load(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for n, text in enumerate(GOOD):
        file = tmp_path / f"{n}.toml"
        file.write_text(text)
        monkeypatch.setenv("NODE_CONFIG", str(tmp_path / f"platform{variant_of(text)}.json"))
        assert check(str(file)) == 0, text
        found = loaded(text)
        assert isinstance(found, Loaded)
        assert {r.name for r in found.routes.all} == set(tomllib.loads(text).get("route", {}))


def test_files_at_the_limits_are_valid() -> None:
    routes = "".join(f"route.r{n} = {{match = {{path = '/view/{n}'}}}}\n" for n in range(MAX_ROUTES))
    for text in ("#" * MAX_FILE_BYTES, routes):
        assert isinstance(loaded(text), Loaded)


def test_a_file_that_cannot_be_read(tmp_path: Path) -> None:
    (tmp_path / "a.toml").write_text("nosuch = 1")
    for path, code in (("none.toml", "FL101"), ("", "FL101"), ("a\0b.toml", "FL101"), ("a.toml", "FL111")):
        with pytest.raises(FindingsError) as e:
            read(str(tmp_path / path))
        assert codes(e.value) == {code}


def test_a_file_is_read_again_until_it_has_been_written(tmp_path: Path) -> None:
    # A reload that read the file between its truncation and its writing dropped all routes.
    path = tmp_path / "operator.toml"
    whole = "[route.s]\nclass = 's'\nattempts = 1\n"
    steps = iter([whole[:10], whole[: whole.index("attempts")], whole])
    path.write_text("")
    found = read_unchanged(str(path), None, None, lambda delay_s: path.write_text(next(steps, whole)))
    assert found.version == read(str(path)).version
    assert next(steps, None) is None


def test_a_file_that_keeps_changing_is_read_a_limited_number_of_times(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("")
    delays_s: list[float] = []

    def change(delay_s: float) -> None:
        delays_s.append(delay_s)
        path.write_text("#" * len(delays_s))

    read_unchanged(str(path), None, None, change)
    assert delays_s == [RECHECK_DELAY_S] * (MAX_READS - 1)


def test_all_findings_are_reported_in_the_order_of_the_lines() -> None:
    text = """# a
[defaults]
hedge_after = "p95"

[route.a]
class = "view"
  timeout = 5
resend_on = ["void", "never"]
pool = { kinds = ["fast"], zones = ["a", "c"] }

[route.b]
match = { class = "confirm", path = "/confirm/x" }
"é" = 1; attempts = 9
"""
    found = loaded(text.replace("; ", "\n"))
    assert isinstance(found, FindingsError)
    assert [(f.code, f.line, f.column) for f in found.reported] == [
        ("FL166", 3, 1),
        ("FL113", 7, 3),
        ("FL119", 8, 22),
        ("FL171", 9, 42),
        ("FL112", 13, 1),
        ("FL164", 14, 1),
    ]
    many = loaded("".join(f"a{n} = 1\n" for n in range(MAX_FINDINGS + 7)))
    assert isinstance(many, FindingsError)
    assert (len(many.reported), many.omitted_count) == (MAX_FINDINGS, 7)
    assert str(many).endswith("\nand 7 more findings")


def test_a_finding_has_a_position_a_reason_and_a_remedy(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv("NODE_CONFIG", raising=False)
    Path("a.toml").write_text('route.a = {class = "view",\ttimeout = 5}')
    Path("b.ini").write_text("[capture]\nfiles = 3\n")
    assert check("a.toml", "b.ini", "--format", "json") == 2
    out, err = capsys.readouterr()
    assert err.count("\n") == 1
    assert "without the platform's settings" in err
    finding = Finding("FL113", "a.toml", 1, 28, "timeout has no unit", "Write timeout_s = SECONDS")
    assert json.loads(out) == [
        {"file": "a.toml", "usable": False, "findings": [finding._asdict()], "more": 0},
        {"file": "b.ini", "usable": True, "findings": [], "more": 0, "version": read("b.ini").version},
    ]


def test_the_remedy_names_the_section_that_can_override_the_setting() -> None:
    for which, where in (("match = {}", "[class.confirm]"), ("class = 'confirm'", "[route.a]")):
        found = loaded(f"defaults.hedge_after = 'p95'\nroute.a = {{{which}}}")
        assert isinstance(found, FindingsError)
        assert found.reported[0].remedy.endswith(f"hedge_most = 0 in {where}")


def test_serve_rejects_a_file_with_the_findings_of_check(tmp_path: Path) -> None:
    (tmp_path / "platform.json").write_text(json.dumps(VARIANTS[""]))
    file = tmp_path / "c.toml"
    file.write_text('[route.a]\nclass = "view"\ntimeout = 5\n[route.b]\nclass = "confirm"\nattempts = 9\n')
    env = {
        "NODE_LISTEN": "127.0.0.1:1",
        "NODE_DISCOVERY": "127.0.0.1:1",
        "NODE_CONFIG": str(tmp_path / "platform.json"),
    }
    command = [sys.executable, "-m", "finchladder", "--config", str(file)]
    done = subprocess.run(
        command, env=os.environ | env, capture_output=True, text=True, cwd=ROOT, timeout=20, check=False
    )
    found = load(file.read_bytes(), str(file), PLATFORMS[""], MEMORY_MB)
    assert (done.returncode, done.stdout, done.stderr) == (2, "", f"{found}\n")
    assert codes(found) == {"FL113", "FL164"}


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[door]",
        "[door]\nrate = 1\nrate = 2",
        "rate = 1",
        "[door]\nrate = 0",
        "[door.a]\nrate = 5",
        "[x]",
        "[door]\r\nrate = 5\r\n",
        "[door]\rrate = 5",
        "[door]\n x",
        "[DEFAULT]\na = 1",
        "[drill]\nkey = null",
    ],
)
def test_an_ini_file_is_valid_if_serve_accepts_it(text: str, tmp_path: Path) -> None:
    file = tmp_path / "c.ini"
    file.write_bytes(text.encode())
    found = load(text, str(file))
    try:
        expected = read_options(str(file))
    except ValueError:
        assert codes(found) == {"FL109"}
    else:
        assert isinstance(found, Loaded)
        assert found.options == expected


@pytest.mark.parametrize(
    "text",
    [
        "[door]",
        "[door.view]",
        "[door]\n[door.view]\nrate = 5",
        "[door.view]\nrate = 5\n[door]",
        "[door]\nrate = 50\nburst = 60\n[door.view]\nrate = 55",
        "[status]\n[capture]\nfiles = 2",
    ],
)
def test_a_section_has_the_same_meaning_in_ini_and_toml(text: str) -> None:
    """In particular, [door.NAME] without [door] limits only that class."""
    ini, toml = load(text, "c.ini"), load(text, "c.toml")
    assert isinstance(ini, Loaded)
    assert isinstance(toml, Loaded)
    assert ini.options == toml.options


@pytest.mark.parametrize(
    ("text", "ini", "toml"),
    [
        ("[door]\nrate = 30\nburst = 20", ("FL109", 1), ("FL123", 3)),
        ("[status]\n[door]\nrate = 5\n[door.nosuch]", ("FL161", 4), ("FL161", 4)),
        ("\n[capture]\nring_bytes = 100000000", ("FL176", 2), ("FL176", 2)),
    ],
)
def test_findings_of_features_have_the_line_of_their_section_or_key(
    text: str, ini: tuple[str, int], toml: tuple[str, int]
) -> None:
    for name, expected in (("c.ini", ini), ("c.toml", toml)):
        found = loaded(text, name)
        assert isinstance(found, FindingsError)
        assert [(f.code, f.line) for f in found.reported] == [expected]


def test_findings_of_ini_files_have_their_line() -> None:
    for text, place in (
        ("\n[door]\nburst = 1\nrate = x", (4, 1)),
        ("[door]\n\n[y]", (3, 1)),
        ("[door]\nrate = 1\nrate = 2", (3, 1)),
    ):
        found = load(text, "c.ini")
        assert isinstance(found, FindingsError)
        assert [(f.code, f.line, f.column) for f in found.reported] == [("FL109", *place)]


# --- positions ----------------------------------------------------------------------------------------------

WALK = '''a = 1 # [x]
"b c".d = [1, {x = 2, 'y' = "]"}, """
q""""]
[t . u]
k = \'\'\'x
y\'\'\'
z = 1979-05-27 07:32:00
[[s]]
n = 1
[[s]]
n = 2
[s.sub]
o = {}
[t]
'''


def test_each_key_has_its_position() -> None:
    places = toml_positions(WALK)
    assert places.duplicate is None
    assert places.too_deep is None
    assert {".".join(map(str, path)): tuple(place) for path, place in places.by_path.items()} == {
        "a": (1, 1),
        "b c": (2, 1),
        "b c.d": (2, 1),
        "b c.d.0": (2, 12),
        "b c.d.1": (2, 15),
        "b c.d.1.x": (2, 16),
        "b c.d.1.y": (2, 23),
        "b c.d.2": (2, 35),
        "t": (14, 1),
        "t.u": (4, 1),
        "t.u.k": (5, 1),
        "t.u.z": (7, 1),
        "s": (8, 1),
        "s.0": (8, 1),
        "s.0.n": (9, 1),
        "s.1": (10, 1),
        "s.1.n": (11, 1),
        "s.1.sub": (12, 1),
        "s.1.sub.o": (13, 1),
    }
    assert places.find(("t", "u", "nosuch", 3)) == Position(4, 1)
    assert places.find(("nosuch",)) == Position(1, 1)


def _paths(value: object, path: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    parts = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [p for key, below in parts for p in ((*path, key), *_paths(below, (*path, key)))]


def parsed_or_none(text: str) -> dict[str, object] | None:
    try:
        return tomllib.loads(text)
    except ValueError:
        return None


def test_every_key_of_every_file_has_a_position() -> None:
    """No other paths have a position, and the key's text is found at its position."""
    seen = 0
    for text in [WALK, *GOOD, *(text for _, text in BAD)]:
        whole = parsed_or_none(text)
        places = toml_positions(text)
        if whole is None or places.too_deep is not None:
            continue
        assert set(places.by_path) == set(_paths(whole)), text
        lines = text.split("\n")
        for path, place in places.by_path.items():
            rest = lines[place.line - 1][place.column - 1 :]
            part = next(p for p in reversed(path) if isinstance(p, str))
            assert rest and (part in rest or not part.isidentifier() or isinstance(path[-1], int)), path
        seen += 1
    assert seen > 300


# --- arbitrary content --------------------------------------------------------------------------------------

BITS = st.sampled_from(
    [
        '"',
        "'",
        "[",
        "]",
        "{",
        "}",
        "=",
        ".",
        "\n",
        "\r\n",
        ",",
        "#",
        "-",
        "nan",
        "inf",
        '"""',
        "'''",
        "\\",
        "[route.a]",
        "class",
        "é",
        "\0",
        "\x7f",
        "timeout_s",
        "1e999",
        "[[",
        "]]",
        "true",
        "9" * 30,
        "match = {}",
    ]
)
EDITS = st.lists(st.tuples(st.integers(0, 400), st.integers(0, 12), BITS | st.just("")), max_size=5)


def check_load(data: str | bytes, name: str) -> None:
    """Content loads or is rejected; loaded routes allow nothing that their class forbids."""
    for platform in (PLATFORMS[""], PLATFORMS["no_copies"], None):
        found = load(data, name, platform, MEMORY_MB)
        if isinstance(found, FindingsError):
            assert found.reported
            assert "\n" not in "".join(map(str, found.reported))
            continue
        for route in found.routes.all:
            assert platform is not None
            cls = next(c for c in platform.classes if c.name == route.job_class)
            assert route.resend_on <= retryable_endings(cls)
            assert route.attempts is None or 1 <= route.attempts <= platform.max_attempts
            assert route.timeout_s is None or route.timeout_s <= cls.deadline_s
            if route.hedge is not None:
                assert platform.may_hedge
                assert platform.may_cancel
                assert cls.effect is not Effect.UNSAFE
                assert (route.hedge.after_s is None) != (route.hedge.percentile is None)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.sampled_from([*GOOD, *(text for _, text in BAD)]), EDITS, st.sampled_from(["c.toml", "c.ini"]))
def test_an_edited_file_raises_no_error(text: str, edits: list[tuple[int, int, str]], name: str) -> None:
    for at, cut, bit in edits:
        at %= len(text) + 1
        text = text[:at] + bit + text[at + cut :]
    check_load(text, name)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=60) | st.text(max_size=60), st.sampled_from(["c.toml", "c.ini"]))
def test_arbitrary_bytes_raise_no_error(data: str | bytes, name: str) -> None:
    check_load(data, name)


KEYS = st.sampled_from(
    [
        "class",
        "match",
        "path",
        "method",
        "headers",
        "timeout_s",
        "attempt_timeout_s",
        "attempts",
        "backoff",
        "base_s",
        "most_s",
        "jitter",
        "resend_on",
        "hedge_after",
        "hedge_after_s",
        "hedge_most",
        "retry_budget",
        "share",
        "least_per_s",
        "concurrency",
        "queue",
        "length",
        "order",
        "longest_wait_s",
        "priority",
        "pool",
        "kinds",
        "zones",
        "timeout",
        "view",
        "confirm",
        "x y",
    ]
)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=4)
    | st.sampled_from(["view", "confirm", "p95", "void", "timed_out", "worth", "a", "fast", 0, 1, 2, 0.5]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=3),
    max_leaves=4,
)


def toml_text(value: object) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(k)} = {toml_text(v)}" for k, v in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml_text, value)) + "]"
    if isinstance(value, str):
        return json.dumps(value.encode("utf-8", "replace").decode()).replace("\x7f", "\\u007f")
    return "2024-01-01" if value is None else str(value).lower()


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from(["defaults", "class", "route", "door"]),
        st.dictionaries(KEYS, VALUES, max_size=4) | VALUES,
        max_size=4,
    )
)
def test_arbitrary_values_raise_no_error(whole: dict[str, object]) -> None:
    check_load("".join(f"{key} = {toml_text(value)}\n" for key, value in whole.items()), "c.toml")
