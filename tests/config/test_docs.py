"""docs/ROUTES.md agrees with the code: its table of settings, and the codes of its examples."""

import json
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from finchladder.cli import front
from finchladder.config.findings import REMEDIES, FindingsError
from finchladder.config.operator_file import Loaded, load, read
from finchladder.config.option_files import read_options
from finchladder.config.render import to_toml
from finchladder.config.settings import read_settings
from finchladder.config.toml_schema import DEFAULT_TEXTS, RouteTable, field_types, json_schema, nested_table
from finchladder.config.value_checks import PATTERNS, choices, describe_bounds, outermost_meta
from tests.config.platform import MEMORY_MB, PLATFORMS
from tests.peers import ROOT

PAGE = (ROOT / "docs" / "ROUTES.md").read_text()
KINDS = {
    "FloatType": "number",
    "IntType": "whole number",
    "StrType": "text",
    "ListType": "list",
    "LiteralType": "word",
    "BoolType": "true or false",
}
CODES = re.findall(r"^\| (FL\d+) \| (.+?) \| (.+?) \| (.+?) \|$", PAGE, re.MULTILINE)
NO_TEXT = {"FL101", "FL102", "FL103", "FL124"}  # described without an example; covered by test_files.py
VARIANT = {"FL165": "no_copies", "FL175": "no_cancels"}


def settings_of(kind: type[msgspec.Struct], prefix: str = "") -> Iterator[tuple[str, Any]]:
    for name, one in field_types(kind).items():
        if name != "match" and (deeper := nested_table(one)) is not None:
            yield from settings_of(deeper, f"{prefix}{name}.")
        elif f"{prefix}{name}" in DEFAULT_TEXTS:
            yield f"{prefix}{name}", one


def row(name: str, kind: Any) -> str:
    found = msgspec.inspect.type_info(kind)
    plain = [getattr(t, "type", t) for t in getattr(found, "types", [found])]
    what = next(KINDS[type(t).__name__] for t in plain if type(t).__name__ in KINDS)
    words = (
        ", ".join(f"`{word}`" for word in choices(kind)) or PATTERNS.get(name, ("", describe_bounds(kind)))[1]
    )
    what = f"{what} of {words}" if choices(kind) else f"{what} {words}".rstrip()
    return f"| `{name}` | {what} | {DEFAULT_TEXTS[name]} | {outermost_meta(kind).description} |"


def test_the_table_of_settings_agrees_with_the_types() -> None:
    rows = [row(name, kind) for name, kind in settings_of(RouteTable)]
    assert len(rows) == len(DEFAULT_TEXTS)
    table = PAGE.partition("| setting | value | default | meaning |\n")[2].partition("\n\n")[0]
    assert table.split("\n")[1:] == rows


def test_every_code_is_documented_once() -> None:
    assert [code for code, *_ in CODES] == list(REMEDIES)


def verdict(code: str, cell: str) -> Loaded | FindingsError:
    text = "\n".join(re.findall(r"`([^`]*)`", cell))
    return load(text, "a.ini" if code == "FL109" else "a.toml", PLATFORMS[VARIANT.get(code, "")], MEMORY_MB)


@pytest.mark.parametrize(
    ("code", "faulty", "corrected"), [(c, b, m) for c, _, b, m in CODES if c not in NO_TEXT]
)
def test_the_faulty_example_has_its_code_and_the_corrected_one_none(
    code: str, faulty: str, corrected: str
) -> None:
    found = verdict(code, faulty)
    assert isinstance(found, FindingsError)
    assert [f.code for f in found.reported] == [code]
    assert isinstance(verdict(code, corrected), Loaded)


def test_the_shipped_example_is_valid_and_explained(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.chdir(ROOT)
    monkeypatch.setenv("NODE_CONFIG", "examples/config.json")
    front.main(["config", "explain", "examples/routes.toml", "confirms"])
    output = capsys.readouterr().out.splitlines()
    shown = PAGE.partition("explain examples/routes.toml confirms\n")[2].partition("    ...")[0]
    assert [line.strip() for line in shown.splitlines()] == [line.strip() for line in output[:5]]
    front.main(["config", "explain", "examples/routes.toml", "exports", "--format", "json"])
    [explained] = json.loads(capsys.readouterr().out)
    lines = {s["setting"]: (s["value"], s["section"], s["default"]) for s in explained["settings"]}
    assert lines["attempts"] == (3, "[defaults]", None)
    assert lines["backoff.jitter"] == (None, None, "0.5")
    assert lines["priority"] == (-1, "[route.exports]", None)
    for wrong in (["examples/routes.toml", "nosuch"], ["nosuch.toml", "a"]):
        with pytest.raises(SystemExit) as e:
            front.main(["config", "explain", *wrong])
        assert e.value.code == 2


def test_the_file_on_the_page_is_valid() -> None:
    facts = json.loads((ROOT / "examples" / "config.json").read_text())["settings"]
    block = "    [defaults]\n" + PAGE.partition("    [defaults]\n")[2].partition("\n\n[examples")[0]
    text = re.sub("^    ", "", block, flags=re.MULTILINE)
    assert isinstance(load(text, "a.toml", read_settings(json.dumps(facts))), Loaded)


def test_the_schema_has_every_table_and_no_python_regex_anchors() -> None:
    found = json_schema()
    text = json.dumps(found)
    assert r"\\A" not in text
    assert r"\\Z" not in text
    limits = found["$defs"]["Limits"]["properties"]
    assert set(limits) == {name.partition(".")[0] for name in DEFAULT_TEXTS}
    assert limits["timeout_s"]["exclusiveMinimum"] == 0
    assert limits["timeout_s"]["maximum"] == 3600
    assert found["$defs"]["File"]["additionalProperties"] is False
    assert found["$defs"]["DoorOptions"]["additionalProperties"] == {"$ref": "#/$defs/DoorOptions"}


@pytest.mark.parametrize(
    ("ini", "toml"),
    [
        (
            "[door]\n; calm\nrate = 5\n\n[door.a b]\nburst: 50",
            '[door]\n# calm\nrate = 5.0\n\n[door."a b"]\nburst = 50.0\n',
        ),
        ('[drill]\nkey = 50%% of "it"', '[drill]\nkey = "50%% of \\"it\\""\n'),
        ("[capture]\nfiles = 3\nfolder = /x\\y", '[capture]\nfiles = 3\nfolder = "/x\\\\y"\n'),
        ("# nothing\n", "# nothing\n"),
        ("[door]\n[status]", "[door]\n[status]\n"),
        ("[drill]\nkey = null", '[drill]\nkey = "null"\n'),
    ],
)
def test_a_converted_ini_file_has_the_same_options(ini: str, toml: str, tmp_path: Path) -> None:
    (tmp_path / "a.ini").write_text(ini)
    assert to_toml(str(tmp_path / "a.ini")) == toml
    (tmp_path / "a.toml").write_text(toml)
    assert read_options(str(tmp_path / "a.toml")) == read_options(str(tmp_path / "a.ini"))


def test_convert_prints_toml_and_rejects_toml_and_invalid_files(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("NODE_CONFIG", str(ROOT / "examples" / "config.json"))
    deployed = str(ROOT / "deploy" / "operator.ini")
    front.main(["config", "convert", deployed])
    text = capsys.readouterr().out
    assert tomllib.loads(text) == {"capture": {"ring_bytes": 786432}}
    assert "# The settings of" in text
    (tmp_path / "a.toml").write_text(text)
    (tmp_path / "b.ini").write_text("[nope]")
    assert read(str(tmp_path / "a.toml")).options == read_options(deployed)
    for file in ("a.toml", "b.ini"):
        with pytest.raises(SystemExit) as e:
            front.main(["config", "convert", str(tmp_path / file)])
        assert e.value.code == 2
