"""Reads the fields of configuration objects whose values may be invalid.

A stored configuration may contain values that no version of the program would accept any more, because
earlier versions validated less. Reading a field never fails, so that one such value does not make the whole
configuration unusable.
"""

from collections.abc import Iterator
from math import nan
from typing import Any, NamedTuple

NUMBER_TYPES = (int, float)


class Bounds(NamedTuple):
    """Smallest and largest value of a number."""

    low: float
    high: float


class FieldReader:
    """Reads the fields of one JSON object.

    A field that is missing or null has its default. So has a field of a wrong type, and a number outside its
    bounds is replaced by the nearest bound; in both cases the path of the field is added to `replaced`.

    Attributes:
        item: JSON object.
        replaced: Paths of all replaced fields, such as `services/0/engine/slots`; the readers of one
            configuration share this list.
    """

    __slots__ = ("_index", "_name", "_parent", "item", "replaced")

    def __init__(
        self,
        item: dict[str, Any],
        parent: "FieldReader | None" = None,
        name: str = "",
        index: int | None = None,
    ) -> None:
        """Creates a reader.

        Args:
            item: JSON object.
            parent: Reader of the object that contains `item`; None for the top level.
            name: Field of the parent that contains `item`.
            index: Position of `item` if that field is a list.
        """
        self.item = item
        self.replaced: list[str] = [] if parent is None else parent.replaced
        self._parent = parent
        self._name = name
        self._index = index

    def number(self, name: str, default: float, bounds: Bounds) -> float:
        """Reads a number; text that contains a number counts as one, as it did in earlier versions."""
        value = self.item.get(name)
        if value is None:
            return default
        number = _to_number(value)
        if bounds.low <= number <= bounds.high:
            return float(number)
        self._replace(name)
        if number != number:  # only NaN differs from itself; `isnan` does not accept integers of any size
            return default
        return bounds.low if number < bounds.low else bounds.high

    def integer(self, name: str, default: int, bounds: Bounds) -> int:
        """Reads a number without its fractional part."""
        return int(self.number(name, default, bounds))

    def flag(self, name: str) -> bool:
        """Reads a truth value, which is false by default."""
        value = self.item.get(name)
        if value is not None and not isinstance(value, bool):
            self._replace(name)
            return False
        return bool(value)

    def text(self, name: str) -> str:
        """Reads a text, which is empty by default."""
        value = self.item.get(name)
        if value is not None and not isinstance(value, str):
            self._replace(name)
            return ""
        return value or ""

    def encodable_text(self, name: str) -> str:
        """Reads a text that messages contain; characters that UTF-8 cannot encode are replaced by `?`."""
        text = self.text(name)
        if text.isascii():
            return text
        encodable = text.encode(errors="replace").decode()
        if encodable != text:
            self._replace(name)
        return encodable

    def child(self, name: str) -> "FieldReader | None":
        """Reader of an object in a field; None if the field has none."""
        value = self.item.get(name)
        if value is not None and not isinstance(value, dict):
            self._replace(name)
            return None
        return None if value is None else FieldReader(value, self, name)

    def children(self, name: str) -> "Iterator[FieldReader]":
        """Readers of the objects in a list; none if the field contains no list."""
        value = self.item.get(name)
        if value is not None and not isinstance(value, list):
            self._replace(name)
            return
        for index, item in enumerate(value or []):
            if isinstance(item, dict):
                yield FieldReader(item, self, name, index)
            else:
                self._replace(f"{name}/{index}")

    def reject(self) -> None:
        """Records that the whole object cannot be used."""
        self.replaced.append(self._path())

    def _replace(self, name: str) -> None:
        path = self._path()
        self.replaced.append(f"{path}/{name}" if path else name)

    def _path(self) -> str:
        if self._parent is None:
            return ""
        segments = [self._parent._path(), self._name, "" if self._index is None else str(self._index)]
        return "/".join(segment for segment in segments if segment)


def _to_number(value: object) -> float:
    """Converts a number, or a text that contains one; NaN for all other values."""
    if isinstance(value, NUMBER_TYPES):
        return value
    if not isinstance(value, str):
        return nan
    try:
        return float(value)
    except ValueError:
        return nan
