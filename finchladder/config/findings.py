"""The findings of the checker: each has a code that stays what it is, a place, a reason and a remedy.

A number is never used again for something else. docs/ROUTES.md has a bad and a mended example of each.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple, NoReturn

from finchladder.config.errors import InvalidFileError
from finchladder.config.positions import Path, Position, PositionIndex


class Finding(NamedTuple):
    code: str
    file: str
    line: int  # from 1
    column: int  # from 1, in characters
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.code} {self.reason}. {self.remedy}."


MAX_FINDINGS = 200  # findings that are told of one file
MAX_REASON_LENGTH = 300  # characters of a reason


class Findings(InvalidFileError):
    """What was found in it in the order of its lines, and how many `more` there are."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        found = sorted(findings, key=lambda f: (f.line, f.column, f.code))
        self.all, self.more = tuple(found[:MAX_FINDINGS]), max(0, len(found) - MAX_FINDINGS)
        lines = [*map(str, self.all), *([f"and {self.more} more findings"] if self.more else [])]
        super().__init__("\n".join(lines))


def shown(value: Any) -> str:
    """A value of the file within a line: bounded, and without what could break the line or a terminal."""
    try:
        text = ascii(value)
    except ValueError:  # a whole number of more digits than Python writes
        text = "a number"
    return text if len(text) <= 60 else text[:57] + "..."


def _line(text: str) -> str:
    """A line stays one line, whatever a name in it holds."""
    return "".join(c if c.isprintable() else "?" for c in " ".join(text.split()))


def listed(words: Iterable[str]) -> str:
    """At most a dozen of the words that can stand somewhere."""
    known = list(words)
    return ", ".join(known[:12]) + (f" and {len(known) - 12} more" if len(known) > 12 else "") or "none"


REMEDIES = {
    # the file
    "FL101": "Name a file that can be read",
    "FL102": "Keep it under 1 MB",
    "FL103": "Save it as UTF-8 without a byte order mark",
    "FL105": "Write it as TOML 1.0 has it",
    "FL106": "Keep one of the two",
    "FL107": "Write it as docs/ROUTES.md has it, where nothing is so deep",
    "FL108": "Write the file whole again, its end is missing",
    "FL109": "Write it as docs/FEATURES.md has it",
    # its tables and values
    "FL111": "Use one of {known}",
    "FL112": "Use one of {known}",
    "FL113": "Write {instead}",
    "FL114": "Write {wanted}",
    "FL115": "Write a number, or leave it out",
    "FL116": "Write a finite number, or leave it out: then there is no limit",
    "FL117": "Write a number from {least}",
    "FL118": "Write a value {bounds}",
    "FL119": "Write one of {known}",
    "FL120": "Write it as a table, {table}",
    "FL121": "Use up to 64 letters, digits, dots, dashes and underscores, the first a letter or digit",
    "FL122": "Name it once",
    "FL123": "Change one of its values",
    "FL124": "Keep to {most}, and let one route match what several do",
    "FL125": "Keep one of the two",
    "FL126": "Write whole parts, as /class/part, without an empty one, a query or a slash at the end",
    "FL127": "Write it as HTTP has it: {wanted}",
    "FL128": "Say its share too",
    "FL129": "Say base_s, above 0",
    # what a route says, by itself
    "FL131": "Make attempt_timeout_s at most {most:g}",
    "FL132": "Lower attempts, attempt_timeout_s or the backoff, or raise timeout_s",
    "FL133": "Make most_s at least base_s",
    "FL134": "Leave it out, or raise attempts",
    "FL135": "Name the endings after which to send again, or say attempts = 1",
    "FL136": "Raise the share or least_per_s, or say attempts = 1",
    "FL137": "Raise attempts to 2 or more, or leave the hedge out",
    "FL138": "Say hedge_after or hedge_after_s too",
    "FL139": "Make hedge_after_s less than {most:g}",
    "FL140": "Say concurrency too, or leave the queue out",
    "FL141": "Make longest_wait_s at most {most:g}",
    "FL142": "Say length, above 0, or leave the rest of the queue out",
    "FL143": "Say class or match; match = {{}} takes all jobs",
    "FL144": "Name one and the same class",
    "FL145": "Take one of them out, or let one match more than the other does",
    "FL146": "Leave method out, or write POST",
    "FL147": "Add a route of that class, or take the section out",
    "FL148": "Add a route, or take the section out",
    # what a route says, against the platform's settings
    "FL161": "Use one of {known}",
    "FL162": "Make timeout_s at most {most:g}",
    "FL163": "Lower attempts, attempt_timeout_s or the backoff",
    "FL164": "Make attempts at most {most}",
    "FL165": "Leave hedges out, or say hedge_most = 0 in {where}",
    "FL166": "Leave hedges out, or say hedge_most = 0 in {where}",
    "FL167": "Keep to endings that prove that the job never ran: overloaded, unreachable, void",
    "FL168": "Let the last send come within {most:g} s of the first",
    "FL169": "Name one zone, or say attempts = 1",
    "FL170": "Use one of {known}",
    "FL171": "Use one of {known}",
    "FL172": "Add kind {kind}, or leave kinds out",
    "FL173": "Give {better} at least the priority of {worse}",
    "FL174": "Make timeout_s at least {least:g}",
    "FL175": "Leave hedges out, or say hedge_most = 0 in {where}",
    "FL176": "Lower the features' sizes, or raise the platform's memory_mb",
}


class UnreadableFileError(Exception):
    """There is nothing to go on with; why has been noted."""


class FindingCollector:
    """What was found in one file so far. One place has each code once, however many routes it concerns."""

    def __init__(self, file: str) -> None:
        self.file = _line(file)
        self.places = PositionIndex()
        self.found: dict[tuple[str, Position], Finding] = {}

    def add(self, code: str, path: Path, reason: str, **words: Any) -> None:
        """`words` fill the gaps of the code's remedy."""
        self.at(code, self.places.find(path), reason, **words)

    def at(self, code: str, place: Position, reason: str, **words: Any) -> None:
        remedy = REMEDIES[code].format(**words)
        one = Finding(
            code, self.file, *place, _line(reason)[:MAX_REASON_LENGTH], _line(remedy)[:MAX_REASON_LENGTH]
        )
        self.found.setdefault((code, place), one)

    def stop(self, code: str, place: Position, reason: str, **words: Any) -> NoReturn:
        self.at(code, place, reason, **words)
        raise UnreadableFileError
