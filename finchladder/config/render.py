"""Output for operators: the origin of a route's values, and an INI file converted to TOML."""

from pathlib import Path as FilePath
from typing import Any, NamedTuple

import msgspec

from finchladder.config.findings import FindingsError
from finchladder.config.ini_file import ini_sections, read_ini, split_lists
from finchladder.config.operator_file import load
from finchladder.config.options import SECTIONS, is_toml
from finchladder.config.positions import PositionIndex
from finchladder.config.precedence import ALTERNATIVES, ResolvedRoute
from finchladder.config.toml_schema import DEFAULT_TEXTS, field_types


class ExplainedSetting(NamedTuple):
    """A setting with its value and origin; without a value, `default` describes the default."""

    setting: str
    value: Any  # None: not set, and `default` describes the default
    default: str | None
    line: int | None
    section: str | None


class ExplainedRoute(NamedTuple):
    """All settings of a route for one job class."""

    file: str
    route: str
    job_class: str | None
    settings: list[ExplainedSetting]

    def __str__(self) -> str:
        """Formats the settings as a table, one a line."""
        rows = [
            (s.setting, s.default if s.line is None else _toml_value(s.value), self._from(s))
            for s in self.settings
        ]
        widths = [max(len(row[n] or "") for row in rows) for n in (0, 1)]
        head = f"route {self.route}" + (f", class {self.job_class}" if self.job_class else "")
        return "\n".join([head, *(f"  {a:{widths[0]}}  {b:{widths[1]}}  {c}".rstrip() for a, b, c in rows)])

    def _from(self, line: ExplainedSetting) -> str:
        return "default" if line.line is None else f"{self.file}:{line.line} {line.section}"


def explain(r: ResolvedRoute, positions: PositionIndex, file: str) -> ExplainedRoute:
    """Returns each setting of a route with the line that it came from."""
    match_names = ("class", *(f"match.{part}" for part in ("class", "path", "method", "headers")))
    lines = [_line(r, positions, name) for name in match_names if name in r.values]
    for name in DEFAULT_TEXTS:
        if name in r.values:
            lines.append(_line(r, positions, name))
        elif ALTERNATIVES.get(name) not in r.values:
            lines.append(ExplainedSetting(name, None, DEFAULT_TEXTS[name], None, None))
    return ExplainedRoute(file, r.name, r.job_class, lines)


def _line(r: ResolvedRoute, positions: PositionIndex, name: str) -> ExplainedSetting:
    given = r.values[name]
    section = ("[defaults]", f"[class.{r.job_class}]", f"[route.{r.name}]")[given.level]
    return ExplainedSetting(name, given.value, None, positions.find(given.path).line, section)


def to_toml(path: str) -> str:
    """Converts a valid INI file to TOML, with its comments.

    Raises:
        ValueError: The file isn't INI, or can't be converted.
    """
    if is_toml(path):
        raise ValueError(f"{path}: the file is already TOML")
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
            given = split_lists(table, {key: sections[section][key]})[key]
            value = msgspec.convert(given, field_types(table)[key], strict=False)
            lines.append(f"{key} = {_toml_value(value)}")
    found = "\n".join(lines).strip("\n") + "\n"
    made = load(found, "converted.toml")
    if isinstance(made, FindingsError) or made.options != read_ini(text, path):
        raise ValueError(f"{path}: a part of the file can't be converted to TOML")
    return found


def _is_key(line: str, key: str) -> bool:
    return line.startswith(key) and line[len(key) :].lstrip().startswith(("=", ":"))


def _key(name: str) -> str:
    bare = name.isascii() and name.replace("-", "").replace("_", "").isalnum()
    return name if bare else _toml_value(name)


def _toml_value(value: Any) -> str:
    """Encodes a value as TOML; strings are as in JSON, except for DEL, which JSON doesn't escape."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{_key(k)} = {_toml_value(v)}" for k, v in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml_value, value)) + "]"
    if isinstance(value, str):
        return msgspec.json.encode(value).decode().replace("\x7f", "\\u007f")
    if isinstance(value, bool):
        return str(value).lower()
    return repr(value)
