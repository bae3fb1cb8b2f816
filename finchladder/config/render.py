"""What is shown of an operator's file: where a route's values came from, and an INI file as TOML."""

from pathlib import Path as FilePath
from typing import Any, NamedTuple

import msgspec

from finchladder.config.findings import Findings
from finchladder.config.ini_file import from_text, ini_sections, read_ini
from finchladder.config.operator_file import load
from finchladder.config.options import SECTIONS, is_toml
from finchladder.config.positions import PositionIndex
from finchladder.config.precedence import EITHER, ResolvedRoute
from finchladder.config.toml_schema import DEFAULTS, fields_of


class Line(NamedTuple):
    setting: str
    value: Any  # None: it is not said, and `default` says in words what holds
    default: str | None
    line: int | None
    section: str | None


class Explained(NamedTuple):
    file: str
    route: str
    job_class: str | None
    settings: list[Line]

    def __str__(self) -> str:
        rows = [
            (s.setting, s.default if s.line is None else _toml_value(s.value), self._from(s))
            for s in self.settings
        ]
        widths = [max(len(row[n] or "") for row in rows) for n in (0, 1)]
        head = f"route {self.route}" + (f", class {self.job_class}" if self.job_class else "")
        return "\n".join([head, *(f"  {a:{widths[0]}}  {b:{widths[1]}}  {c}".rstrip() for a, b, c in rows)])

    def _from(self, line: Line) -> str:
        return "default" if line.line is None else f"{self.file}:{line.line} {line.section}"


def explain(r: ResolvedRoute, places: PositionIndex, file: str) -> Explained:
    """Each setting of a route with the line that it came from."""
    lines = []
    for name in ("class", *(f"match.{part}" for part in ("class", "path", "method", "headers"))):
        if name in r.values:
            lines.append(_line(r, places, name))
    for name in DEFAULTS:
        if name in r.values:
            lines.append(_line(r, places, name))
        elif EITHER.get(name) not in r.values:
            lines.append(Line(name, None, DEFAULTS[name], None, None))
    return Explained(file, r.name, r.job_class, lines)


def _line(r: ResolvedRoute, places: PositionIndex, name: str) -> Line:
    said = r.values[name]
    section = ("[defaults]", f"[class.{r.job_class}]", f"[route.{r.name}]")[said.level]
    return Line(name, said.value, None, places.find(said.path).line, section)


def to_toml(path: str) -> str:
    """A usable INI file as TOML, its comments kept; ValueError where it is no INI file."""
    if is_toml(path):
        raise ValueError(f"{path}: this is TOML already")
    text = FilePath(path).read_text("utf-8")
    sections = ini_sections(text, path)
    lines: list[str] = []
    section, written = "", set[tuple[str, str]]()
    for line in text.split("\n"):
        plain = line.strip()
        key = next((k for k in sections.get(section, {}) if _is_key(plain, k)), None)
        if plain.startswith((";", "#")) or not plain:
            lines.append(f"# {plain[1:].strip()}".rstrip() if plain else "")
        elif plain.startswith("[") and plain.partition("]")[0][1:] in sections:
            section = plain.partition("]")[0][1:]
            part, dot, job_class = section.partition(".")
            lines.append(f"[{part}.{_key(job_class)}]" if dot else f"[{part}]")
        elif key is not None and (section, key) not in written:
            written.add((section, key))
            table = SECTIONS[section.partition(".")[0]]
            given = from_text(table, {key: sections[section][key]})[key]
            value = msgspec.convert(given, fields_of(table)[key], strict=False)
            lines.append(f"{key} = {_toml_value(value)}")
    found = "\n".join(lines).strip("\n") + "\n"
    made = load(found, "converted.toml")
    if isinstance(made, Findings) or made.options != read_ini(text, path):
        raise ValueError(f"{path}: there is something in it that can't be converted")
    return found


def _is_key(line: str, key: str) -> bool:
    return line.startswith(key) and line[len(key) :].lstrip().startswith(("=", ":"))


def _key(name: str) -> str:
    bare = name.isascii() and name.replace("-", "").replace("_", "").isalnum()
    return name if bare else _toml_value(name)


def _toml_value(value: Any) -> str:
    """As TOML writes it; JSON's texts are TOML's, but for the one control character that JSON leaves bare."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{_key(k)} = {_toml_value(v)}" for k, v in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml_value, value)) + "]"
    if isinstance(value, str):
        return msgspec.json.encode(value).decode().replace("\x7f", "\\u007f")
    if isinstance(value, bool):
        return str(value).lower()
    return repr(value)
