"""Reads operators' files in INI form, and converts the sections of INI or TOML files to options."""

from collections.abc import Mapping
from configparser import ConfigParser
from configparser import Error as IniError
from typing import Any, TypeVar

import msgspec

from finchladder.config.options import SECTIONS, DoorOptions, Options

Part = TypeVar("Part", bound=msgspec.Struct)


def ini_sections(text: str, path: str) -> dict[str, dict[str, str]]:
    """Parses INI text to its sections.

    Raises:
        configparser.Error: The text can't be parsed.
    """
    # no interpolation, as a key may contain a %; no default section, as its values would apply to all others
    parser = ConfigParser(interpolation=None, default_section="\0")
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    parser.read_string(text, path)
    return {name: dict(parser[name]) for name in parser.sections()}


def read_ini(text: str, path: str) -> Options:
    """Converts INI text to options.

    Raises:
        ValueError: The text can't be used; the message is one line and names `path`.
    """
    try:
        sections = ini_sections(text, path)
        options = options_from_sections(sections)
        if (reason := section_conflict(sections)) is not None:
            raise ValueError(f"[membership]: {reason}")
        return options
    except (IniError, ValueError) as e:
        raise ValueError(f"{path}: {e}") from None


def options_from_sections(sections: Mapping[str, Mapping[str, object]], strict: bool = False) -> Options:
    """Converts sections to options; `door.NAME` is the section of one job class.

    Args:
        sections: Values by section and key.
        strict: Whether values must have their type; otherwise they may be text.

    Raises:
        ValueError: A section is unknown, or a value can't be used.
    """
    found: dict[str, object] = {}
    classes: dict[str, DoorOptions] = {}
    for name, values in sections.items():
        part, dot, job_class = name.partition(".")
        if part == "door" and dot and job_class:
            # a class inherits unset values from [door]: the default burst could be below a raised rate
            classes[job_class] = _section(name, {**sections.get("door", {}), **values}, DoorOptions, strict)
        elif name in SECTIONS:
            found[name] = _section(name, values, SECTIONS[name], strict)
        else:
            raise ValueError(f"[{name}]: unknown section")
    return msgspec.convert(found | {"door_of": classes}, Options)


def section_conflict(sections: Mapping[str, Mapping[str, object]]) -> str | None:
    """Returns the conflict between valid sections, or None."""
    if sections.get("membership", {}).get("lead") == "etcd" and "etcd" not in sections:
        return "lead is etcd, and there is no section [etcd]"
    return None


def _section(name: str, values: Mapping[str, object], kind: type[Part], strict: bool) -> Part:
    try:
        return msgspec.convert(dict(values) if strict else split_lists(kind, values), kind, strict=strict)
    except msgspec.ValidationError as e:
        raise ValueError(f"[{name}]: {e}") from None


def split_lists(kind: type[msgspec.Struct], values: Mapping[str, object]) -> dict[str, Any]:
    """Splits comma-separated text of an INI file where the setting is a list."""
    lists = {f.name for f in msgspec.structs.fields(kind) if "list[" in str(f.type)}
    return {
        name: [one.strip() for one in value.split(",")] if name in lists and isinstance(value, str) else value
        for name, value in values.items()
    }
