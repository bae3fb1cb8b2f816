"""Where each key of a file stands: line and column, both from 1, the column in characters.

`tomllib` says what a file holds, not where. This walks over the same text, or as much of it as it can follow,
and notes the place of each key, item and table. It comes before `tomllib`, whose time grows with the square
of a key's parts and which nests without a bound, and stops at what is too deep. It raises no error.
"""

import re
import tomllib
from contextlib import suppress
from typing import NamedTuple, NoReturn

Path = tuple[str | int, ...]  # keys from the top; a whole number is an item of an array

DEEPEST = 16  # parts of a path, items of arrays counted too

_SPACE = re.compile(r"[ \t]*+")
_GAP = re.compile(r"(?:[ \t\n]++|#[^\n]*+)*+")
_KEY = re.compile(r"""([A-Za-z0-9_-]++)|"(?:[^"\\\n]|\\[^\n])*+"|'[^'\n]*+'""")
_TEXT = re.compile(
    r'"""(?:[^"\\]|\\[\s\S]|"(?!""))*+"""(?:""?)?+'
    "|"
    r"'''(?:[^']|'(?!''))*+'''(?:''?)?+"
    "|"
    r'"(?:[^"\\\n]|\\[^\n])*+"'
    "|"
    r"'[^'\n]*+'"
)
_BARE = re.compile(r"[^,\]}#\n]++")
_INI_SECTION = re.compile(r"\[(.+)\]")
_INI_LINE = re.compile(r"\[line *(\d+)\]|line: (\d+)")
_INI_KEY = re.compile(r"[^\s:=;#\[][^:=]*")


class Position(NamedTuple):
    line: int
    column: int


class DuplicateKey(NamedTuple):
    """A key or table that was there already."""

    path: Path
    place: Position
    first: Position


class PositionIndex:
    """`tables` are those that a header names; `twice` and `deep` are what ended the walk, where that did."""

    def __init__(self) -> None:
        self.of: dict[Path, Position] = {}
        self.tables: set[Path] = set()
        self.twice: DuplicateKey | None = None
        self.deep: Position | None = None

    def find(self, path: Path) -> Position:
        """Of the path, or of the nearest thing that holds it."""
        while path and path not in self.of:
            path = path[:-1]
        return self.of.get(path, Position(1, 1))

    def told_of(self, text: str) -> Position:
        """Of what a message about an INI file names: a line, or a section and perhaps a key of it."""
        if (m := _INI_LINE.search(text)) is not None:
            return Position(int(m[1] or m[2]), 1)
        section = next((p[0] for p in self.of if len(p) == 1 and f"[{p[0]}]" in text), "")
        words = text.replace("$.", "").split("`")
        keys = [p for p in self.of if len(p) == 2 and p[0] == section and p[1] in words]
        return self.find(keys[0] if keys else (section,))


class _PositionLostError(Exception):
    """The text can't be followed any further."""


def toml_positions(text: str) -> PositionIndex:
    walk = _TomlWalker(text.replace("\r\n", "\n"))
    with suppress(_PositionLostError):
        walk.file()
    return walk.places


def ini_positions(text: str) -> PositionIndex:
    """Of an INI file: its sections and their keys, as paths of two."""
    places, section = PositionIndex(), ""
    for number, line in enumerate(text.split("\n"), 1):
        if (m := _INI_SECTION.match(line)) is not None:
            section = m[1]
            places.of.setdefault((section,), Position(number, 1))
        elif (m := _INI_KEY.match(line)) is not None:
            places.of.setdefault((section, m[0].rstrip()), Position(number, 1))
    return places


class _TomlWalker:
    def __init__(self, text: str) -> None:
        self.text, self.at = text, 0
        self.places = PositionIndex()
        self.implied: set[Path] = set()  # tables that are there because something in them is
        self.counts: dict[Path, int] = {}  # tables in each array of tables
        self.line, self.begins, self.counted = 1, 0, 0  # the line counted up to here, and where it begins

    def place(self) -> Position:
        """Of what stands here. Asked for in the order of the text, so each line is counted once."""
        if (more := self.text.count("\n", self.counted, self.at)) > 0:
            self.line += more
            self.begins = self.text.rindex("\n", self.counted, self.at) + 1
        self.counted = self.at
        return Position(self.line, self.at - self.begins + 1)

    def skip(self, pattern: re.Pattern[str]) -> None:
        if (m := pattern.match(self.text, self.at)) is not None:
            self.at = m.end()

    def take(self, what: str) -> bool:
        found = self.text.startswith(what, self.at)
        self.at += len(what) * found
        return found

    def need(self, what: str) -> None:
        if not self.take(what):
            raise _PositionLostError

    def file(self) -> None:
        table: Path = ()
        self.skip(_GAP)
        while self.at < len(self.text):
            if self.text[self.at] == "[":
                table = self.header()
            else:
                self.pair(table)
            self.skip(_GAP)

    def header(self) -> Path:
        place = self.place()
        several = self.take("[[")
        if not several:
            self.need("[")
        self.skip(_SPACE)
        path = self.within(self.key(DEEPEST))
        self.need("]]" if several else "]")
        if several:
            if path in self.places.of and path not in self.counts:
                self.twice(path, place)
            self.note(path, place, again=True)
            number = self.counts.get(path, 0)
            self.counts[path] = number + 1
            path = (*path, number)
        self.note(path, place)
        self.places.tables.add(path)
        return path

    def within(self, key: list[str]) -> Path:
        """The path of a header's key: what stands in an array of tables is in its last table."""
        path: Path = ()
        for part in key:
            if path in self.counts:
                path = (*path, self.counts[path] - 1)
            path = (*path, part)
        return path

    def key(self, most: int) -> list[str]:
        parts: list[str] = []
        while True:
            if len(parts) >= most:
                self.too_deep()
            m = _KEY.match(self.text, self.at)
            if m is None:
                raise _PositionLostError
            self.at = m.end()
            parts.append(m[1] or _unquoted(m[0]))
            self.skip(_SPACE)
            if not self.take("."):
                return parts
            self.skip(_SPACE)

    def too_deep(self) -> NoReturn:
        self.places.deep = self.place()
        raise _PositionLostError

    def pair(self, table: Path) -> None:
        place = self.place()
        path = (*table, *self.key(DEEPEST - len(table)))
        self.need("=")
        self.skip(_SPACE)
        self.note(path, place)
        self.value(path)

    def note(self, path: Path, place: Position, again: bool = False) -> None:
        above = path[:-1]
        while above and above not in self.places.of:  # what holds a noted path is noted too
            self.places.of[above] = place
            self.implied.add(above)
            above = above[:-1]
        if path in self.implied:
            self.implied.discard(path)
        elif path in self.places.of:
            if again:
                return
            self.twice(path, place)
        self.places.of[path] = place

    def twice(self, path: Path, place: Position) -> NoReturn:
        self.places.twice = DuplicateKey(path, place, self.places.of[path])
        raise _PositionLostError

    def value(self, path: Path) -> None:
        if (m := _TEXT.match(self.text, self.at)) is not None:
            self.at = m.end()
        elif self.take("["):
            self.array(path)
        elif self.take("{"):
            self.skip(_SPACE)
            while not self.take("}"):
                self.pair(path)
                self.skip(_SPACE)
                if self.take(","):
                    self.skip(_SPACE)
        else:
            self.skip(_BARE)

    def array(self, path: Path) -> None:
        if len(path) >= DEEPEST:
            self.too_deep()
        number = 0
        self.skip(_GAP)
        while not self.take("]"):
            before = self.at
            self.note((*path, number), self.place())
            self.value((*path, number))
            number += 1
            self.skip(_GAP)
            if self.take(","):
                self.skip(_GAP)
            elif self.at == before:  # nothing that could be an item stands here
                raise _PositionLostError


def _unquoted(token: str) -> str:
    try:
        return str(tomllib.loads(f"k = {token}")["k"])
    except (tomllib.TOMLDecodeError, ValueError):
        raise _PositionLostError from None
