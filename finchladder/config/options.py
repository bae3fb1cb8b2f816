"""The operator's own file: which features are on, and their settings. A section there turns one on.

It is INI, or by the ending .toml TOML with the same sections, which routes.py reads. The platform's settings
are another matter: settings.py alone reads those.
"""

from collections.abc import Iterable, Mapping
from configparser import ConfigParser
from configparser import Error as IniError
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from finchladder.core import api
from finchladder.core.overload import OverloadSettings

ADDRESS_BYTES = 256  # what an address tracked by the door takes: 193 measured, longer ones take more
ENTRY_BYTES = 768  # what a job's status takes at its most, with an id of 128 characters
RING_TAKES = 3  # bytes for each of the ring: 1.4 measured with its objects, and as much while it is dumped
PART = 4  # all features together may take 1/4 of the memory; the room for bodies gives way to them

T = TypeVar("T")
Rate = Annotated[float, Meta(gt=0, le=10_000)]
Count = Annotated[int, Meta(ge=1)]


class DoorOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    rate: Rate = 20.0
    burst: Annotated[float, Meta(ge=1, le=1_000_000)] = 40.0
    max_keys: Count = 4096

    def __post_init__(self) -> None:
        if self.burst < self.rate:
            raise ValueError(f"burst {self.burst:g} is below rate {self.rate:g}")


class StatusOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    retain_ms: Annotated[float, Meta(gt=0, le=86_400_000)] = 60_000.0
    max_entries: Count = 2000


class DrillOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    # a header field's value: visible, and not empty. Without one all drills are refused
    key: Annotated[str, Meta(pattern=r"\A[!-~]([ -~]{0,254}[!-~])?\Z")] | None = None


class CaptureOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    ring_bytes: Annotated[int, Meta(ge=1024)] = 786_432
    folder: Annotated[str, Meta(min_length=1)] | None = None
    file_bytes: Annotated[int, Meta(ge=4096)] = 262_144
    files: Count = 8

    def memory(self) -> int:
        waiting = 2 * self.file_bytes if self.folder is not None else 0  # for the disk
        return RING_TAKES * self.ring_bytes + waiting


class OverloadOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    target_share: Annotated[float, Meta(ge=0.02, le=0.5)] = 0.2
    busy_from: Annotated[float, Meta(ge=0.5, le=1)] = 0.85
    wait_share: Annotated[float, Meta(ge=0, le=0.9)] = 0.7
    calm_s: Annotated[float, Meta(ge=0.1, le=1.5)] = 0.5

    def limits(self, retry_after_s: float) -> OverloadSettings:
        """`retry_after_s`: the longest that clients follow, by the platform's settings."""
        return OverloadSettings(**msgspec.structs.asdict(self), retry_after_s=min(retry_after_s, 60.0))


class Options(msgspec.Struct, frozen=True):
    """None, or no entry: the feature is off."""

    door: DoorOptions | None = None
    door_of: dict[str, DoorOptions] = {}  # by class, in place of the general one
    status: StatusOptions | None = None
    drill: DrillOptions | None = None
    capture: CaptureOptions | None = None
    overload: OverloadOptions | None = None

    def memory(self) -> int:
        """Bytes that the features may come to hold."""
        doors = [*self.door_of.values(), *([self.door] if self.door else [])]
        tracked = sum(d.max_keys for d in doors) * ADDRESS_BYTES
        entries = self.status.max_entries * ENTRY_BYTES if self.status is not None else 0
        return tracked + entries + (self.capture.memory() if self.capture is not None else 0)

    def check(self, classes: Iterable[str], memory_mb: int) -> None:
        """What only the platform's configuration can tell; ValueError says in one line what can't be used."""
        known = set(classes)
        for name in self.door_of:
            if name not in known:
                raise ValueError(f"[door.{name}]: no such class; there are {', '.join(sorted(known))}")
        if (most := memory_mb * 1024 * 1024 // PART) < self.memory():
            raise ValueError(f"the features may take {self.memory()} bytes, and here {most} is the most")


OFF = Options()


class Refused(ValueError):
    """A file in TOML can't be used; the message has a line for each finding."""


def read_options(
    path: str | None, settings: api.Settings | None = None, memory_mb: int | None = None
) -> Options:
    """ValueError says in one line what can't be used, Refused all of it.

    A file in TOML is checked whole, its routes by the platform's settings, where those are given.
    """
    if path is None:
        return OFF
    if is_toml(path):
        from finchladder.config.routes import read  # what a dispatcher with an INI file need not load

        return read(path, settings, memory_mb).options
    try:
        text = Path(path).read_text("utf-8")
    except OSError as e:
        raise ValueError(f"{path}: {e.strerror}") from None
    except ValueError as e:
        raise ValueError(f"{path}: {e}") from None
    return read_ini(text, path)


def is_toml(path: str) -> bool:
    return path.lower().endswith(".toml")


def ini_sections(text: str, path: str) -> dict[str, dict[str, str]]:
    """configparser.Error says what can't be read."""
    # no interpolation, as a key may hold a %, and no section whose values leak into all others
    parser = ConfigParser(interpolation=None, default_section="\0")
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    parser.read_string(text, path)
    return {name: dict(parser[name]) for name in parser.sections()}


def read_ini(text: str, path: str) -> Options:
    """ValueError says in one line what can't be used; `path` is named there."""
    try:
        return options_of(ini_sections(text, path))
    except (IniError, ValueError) as e:
        raise ValueError(f"{path}: {e}") from None


def options_of(sections: Mapping[str, Mapping[str, object]], strict: bool = False) -> Options:
    """By section, `door.NAME` for a class. `strict`: a value must have its type, else it may be text."""
    found: dict[str, object] = {}
    classes: dict[str, DoorOptions] = {}
    for name, values in sections.items():
        part, dot, job_class = name.partition(".")
        if part == "door" and dot and job_class:
            # what a class does not say holds as for all: its burst must not fall back below a raised rate
            classes[job_class] = _section(name, {**sections.get("door", {}), **values}, DoorOptions, strict)
        elif name in SECTIONS:
            found[name] = _section(name, values, SECTIONS[name], strict)
        else:
            raise ValueError(f"[{name}]: unknown section")
    return msgspec.convert(found | {"door_of": classes}, Options)


def _section(name: str, values: Mapping[str, object], kind: type[T], strict: bool) -> T:
    try:
        return msgspec.convert(dict(values), kind, strict=strict)
    except msgspec.ValidationError as e:
        raise ValueError(f"[{name}]: {e}") from None


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "door": DoorOptions, "status": StatusOptions, "drill": DrillOptions,
    "capture": CaptureOptions, "overload": OverloadOptions,
}  # fmt: skip
