"""Reads the fields of configuration objects whose values may be invalid.

A stored configuration may contain values that no version of the program would accept any more, because
earlier versions validated less. Reading a field never fails, so that one such value does not make the whole
configuration unusable.
"""

from collections.abc import Iterator, Mapping
from math import isnan
from typing import Any

from attrs import define, field, frozen


@frozen
class Bounds:
    """Smallest and largest value of a number."""

    low: float
    high: float

    def clamp(self, value: float) -> float:
        """The number within the bounds that is nearest to `value`."""
        return min(max(value, self.low), self.high)


@define
class FieldReader:
    """Reads the fields of one JSON object.

    A field that is missing or null has its default. So has a field of a wrong type, and a number outside its
    bounds is replaced by the nearest bound; in both cases the path of the field is added to `replaced`.

    Attributes:
        item: JSON object; any other value counts as an empty object.
        path: Path of the object in the configuration, such as `services/0/engine`; empty for the top level.
        replaced: Paths of all replaced fields, shared by the readers of one configuration.
    """

    item: Any
    path: str = ""
    replaced: list[str] = field(factory=list)

    def number(self, name: str, default: float, bounds: Bounds) -> float:
        """Reads a number; text that contains a number counts as one, as it did in earlier versions."""
        value = self._get(name)
        if value is None:
            return default
        number = _to_float(value)
        if number is None:
            self._replace(name)
            return default
        clamped = bounds.clamp(number)
        if clamped != number:
            self._replace(name)
        return clamped

    def integer(self, name: str, default: int, bounds: Bounds) -> int:
        """Reads a number without its fractional part."""
        return int(self.number(name, default, bounds))

    def flag(self, name: str) -> bool:
        """Reads a truth value, which is false by default."""
        value = self._get(name)
        if value is not None and not isinstance(value, bool):
            self._replace(name)
            return False
        return bool(value)

    def text(self, name: str) -> str:
        """Reads a text, which is empty by default."""
        value = self._get(name)
        if value is not None and not isinstance(value, str):
            self._replace(name)
            return ""
        return value or ""

    def name(self, name: str) -> str:
        """Reads a text that messages contain; characters that UTF-8 cannot encode are replaced by `?`."""
        text = self.text(name)
        encodable = text.encode(errors="replace").decode()
        if encodable != text:
            self._replace(name)
        return encodable

    def child(self, name: str) -> "FieldReader | None":
        """Reader of an object in a field; None if the field has none."""
        value = self._get(name)
        if value is not None and not isinstance(value, Mapping):
            self._replace(name)
            return None
        return None if value is None else self._reader(value, name)

    def children(self, name: str) -> "Iterator[FieldReader]":
        """Readers of the objects in a list; none if the field contains no list."""
        value = self._get(name)
        if value is not None and not isinstance(value, list):
            self._replace(name)
            return
        for index, item in enumerate(value or []):
            if isinstance(item, Mapping):
                yield self._reader(item, f"{name}/{index}")
            else:
                self._replace(f"{name}/{index}")

    def reject(self) -> None:
        """Records that the whole object cannot be used."""
        self.replaced.append(self.path)

    def _get(self, name: str) -> Any:
        return self.item.get(name) if isinstance(self.item, Mapping) else None

    def _reader(self, item: Any, name: str) -> "FieldReader":
        return FieldReader(item, self._path_of(name), self.replaced)

    def _replace(self, name: str) -> None:
        self.replaced.append(self._path_of(name))

    def _path_of(self, name: str) -> str:
        return f"{self.path}/{name}" if self.path else name


def _to_float(value: object) -> float | None:
    """Converts a number, or a text that contains one; None for all other values and for NaN."""
    if not isinstance(value, int | float | str):
        return None
    try:
        number = float(value)
    except (ValueError, OverflowError):  # not a number, or an integer that exceeds the range of a float
        return None
    return None if isnan(number) else number
