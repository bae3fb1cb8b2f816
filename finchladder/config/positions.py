"""Positions of the keys of a file: line and column, both from 1, the column in characters.

`tomllib` doesn't report positions. This walker reads the same text as far as it can be parsed and records the
position of each key, item and table. It runs before `tomllib`, whose time is quadratic in the parts of a
key and whose nesting is unbounded, and stops at `MAX_DEPTH`. It raises no error.
"""

import re
import tomllib
from contextlib import suppress
from typing import NamedTuple, NoReturn

Path = tuple[str | int, ...]  # keys from the top level; an integer is the index of an array item

MAX_DEPTH = 16  # elements of a path, array indexes included

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
    """A line and a column, both from 1."""

    line: int
    column: int


class DuplicateKey(NamedTuple):
    """A key or table that is defined for the second time."""

    path: Path
    position: Position
    first_position: Position


class PositionIndex:
    """Positions by path.

    `table_headers` contains the tables that have a `[header]` line. If parsing stopped at a duplicate key or
    table, or at too deep a nesting, `duplicate` or `too_deep` is the place where it stopped.
    """

    def __init__(self) -> None:
        """Starts without positions."""
        self.by_path: dict[Path, Position] = {}
        self.table_headers: set[Path] = set()
        self.duplicate: DuplicateKey | None = None
        self.too_deep: Position | None = None

    def find(self, path: Path) -> Position:
        """Returns the position of a path, or of its nearest ancestor that has one."""
        while path and path not in self.by_path:
            path = path[:-1]
        return self.by_path.get(path, Position(1, 1))

    def find_mentioned(self, text: str) -> Position:
        """Returns the position that a message about an INI file mentions: a line, a section or a key."""
        if (m := _INI_LINE.search(text)) is not None:
            return Position(int(m[1] or m[2]), 1)
        section = next((p[0] for p in self.by_path if len(p) == 1 and f"[{p[0]}]" in text), "")
        words = text.replace("$.", "").split("`")
        keys = [p for p in self.by_path if len(p) == 2 and p[0] == section and p[1] in words]
        return self.find(keys[0] if keys else (section,))


class _PositionLostError(Exception):
    """The text can't be parsed any further."""


def toml_positions(text: str) -> PositionIndex:
    """Returns the positions in a TOML text, up to the place at which parsing stops."""
    walk = _TomlWalker(text.replace("\r\n", "\n"))
    with suppress(_PositionLostError):
        walk.read_file()
    return walk.positions


def ini_positions(text: str) -> PositionIndex:
    """Returns the positions of sections and keys in an INI text; paths have one or two parts."""
    index, section = PositionIndex(), ""
    for number, line in enumerate(text.split("\n"), 1):
        if (m := _INI_SECTION.match(line)) is not None:
            section = m[1]
            index.by_path.setdefault((section,), Position(number, 1))
        elif (m := _INI_KEY.match(line)) is not None:
            index.by_path.setdefault((section, m[0].rstrip()), Position(number, 1))
    return index


class _TomlWalker:
    def __init__(self, text: str) -> None:
        self.text, self.offset = text, 0
        self.positions = PositionIndex()
        self.implied: set[Path] = set()  # tables that exist only because a path below them is defined
        self.table_counts: dict[Path, int] = {}  # number of tables in each array of tables
        # the line at offset `counted_to`, and the offset at which it starts
        self.line, self.line_start, self.counted_to = 1, 0, 0

    def position(self) -> Position:
        """Returns the current position; offsets only grow, so each line is counted once."""
        if (more := self.text.count("\n", self.counted_to, self.offset)) > 0:
            self.line += more
            self.line_start = self.text.rindex("\n", self.counted_to, self.offset) + 1
        self.counted_to = self.offset
        return Position(self.line, self.offset - self.line_start + 1)

    def skip(self, pattern: re.Pattern[str]) -> None:
        if (m := pattern.match(self.text, self.offset)) is not None:
            self.offset = m.end()

    def accept(self, what: str) -> bool:
        found = self.text.startswith(what, self.offset)
        self.offset += len(what) * found
        return found

    def expect(self, what: str) -> None:
        if not self.accept(what):
            raise _PositionLostError

    def read_file(self) -> None:
        table: Path = ()
        self.skip(_GAP)
        while self.offset < len(self.text):
            if self.text[self.offset] == "[":
                table = self.read_header()
            else:
                self.read_pair(table)
            self.skip(_GAP)

    def read_header(self) -> Path:
        position = self.position()
        several = self.accept("[[")
        if not several:
            self.expect("[")
        self.skip(_SPACE)
        path = self.header_path(self.read_key(MAX_DEPTH))
        self.expect("]]" if several else "]")
        if several:
            if path in self.positions.by_path and path not in self.table_counts:
                self.stop_at_duplicate(path, position)
            self.record(path, position, again=True)
            number = self.table_counts.get(path, 0)
            self.table_counts[path] = number + 1
            path = (*path, number)
        self.record(path, position)
        self.positions.table_headers.add(path)
        return path

    def header_path(self, key: list[str]) -> Path:
        """Returns the path of a header's key; within an array of tables it refers to the last table."""
        path: Path = ()
        for part in key:
            if path in self.table_counts:
                path = (*path, self.table_counts[path] - 1)
            path = (*path, part)
        return path

    def read_key(self, most: int) -> list[str]:
        parts: list[str] = []
        while True:
            if len(parts) >= most:
                self.stop_at_depth()
            m = _KEY.match(self.text, self.offset)
            if m is None:
                raise _PositionLostError
            self.offset = m.end()
            parts.append(m[1] or _unquoted(m[0]))
            self.skip(_SPACE)
            if not self.accept("."):
                return parts
            self.skip(_SPACE)

    def stop_at_depth(self) -> NoReturn:
        self.positions.too_deep = self.position()
        raise _PositionLostError

    def read_pair(self, table: Path) -> None:
        position = self.position()
        path = (*table, *self.read_key(MAX_DEPTH - len(table)))
        self.expect("=")
        self.skip(_SPACE)
        self.record(path, position)
        self.read_value(path)

    def record(self, path: Path, position: Position, again: bool = False) -> None:
        above = path[:-1]
        while above and above not in self.positions.by_path:  # parents of a recorded path are recorded too
            self.positions.by_path[above] = position
            self.implied.add(above)
            above = above[:-1]
        if path in self.implied:
            self.implied.discard(path)
        elif path in self.positions.by_path:
            if again:
                return
            self.stop_at_duplicate(path, position)
        self.positions.by_path[path] = position

    def stop_at_duplicate(self, path: Path, position: Position) -> NoReturn:
        self.positions.duplicate = DuplicateKey(path, position, self.positions.by_path[path])
        raise _PositionLostError

    def read_value(self, path: Path) -> None:
        if (m := _TEXT.match(self.text, self.offset)) is not None:
            self.offset = m.end()
        elif self.accept("["):
            self.read_array(path)
        elif self.accept("{"):
            self.skip(_SPACE)
            while not self.accept("}"):
                self.read_pair(path)
                self.skip(_SPACE)
                if self.accept(","):
                    self.skip(_SPACE)
        else:
            self.skip(_BARE)

    def read_array(self, path: Path) -> None:
        if len(path) >= MAX_DEPTH:
            self.stop_at_depth()
        number = 0
        self.skip(_GAP)
        while not self.accept("]"):
            before = self.offset
            self.record((*path, number), self.position())
            self.read_value((*path, number))
            number += 1
            self.skip(_GAP)
            if self.accept(","):
                self.skip(_GAP)
            elif self.offset == before:  # there is no array item at this offset
                raise _PositionLostError


def _unquoted(token: str) -> str:
    try:
        return str(tomllib.loads(f"k = {token}")["k"])
    except (tomllib.TOMLDecodeError, ValueError):
        raise _PositionLostError from None
