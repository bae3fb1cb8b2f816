"""Findings of the configuration checker: each has a stable code, a position, a reason and a remedy.

A code is never reused with another meaning. docs/ROUTES.md has a faulty and a corrected example of each.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple, NoReturn

from finchladder.config.errors import InvalidFileError
from finchladder.config.positions import Path, Position, PositionIndex


class Finding(NamedTuple):
    """One fault of a file, at a position in it."""

    code: str
    file: str
    line: int  # from 1
    column: int  # from 1, in characters
    reason: str
    remedy: str

    def __str__(self) -> str:
        """Formats the finding on one line, with its position first."""
        return f"{self.file}:{self.line}:{self.column}: {self.code} {self.reason}. {self.remedy}."


MAX_FINDINGS = 200  # maximum number of findings that are reported for one file
MAX_REASON_LENGTH = 300  # characters of a reason or a remedy


class FindingsError(InvalidFileError):
    """All findings of one file in the order of their positions.

    At most `MAX_FINDINGS` are in `reported`; `omitted_count` is the number of the others.
    """

    def __init__(self, findings: Iterable[Finding]) -> None:
        """Sorts the findings and truncates them to `MAX_FINDINGS`."""
        found = sorted(findings, key=lambda f: (f.line, f.column, f.code))
        self.reported = tuple(found[:MAX_FINDINGS])
        self.omitted_count = max(0, len(found) - MAX_FINDINGS)
        lines = [
            *map(str, self.reported),
            *([f"and {self.omitted_count} more findings"] if self.omitted_count else []),
        ]
        super().__init__("\n".join(lines))


def quote_value(value: Any) -> str:
    """Formats a value of the file for a message: of bounded length, printable ASCII only."""
    try:
        text = ascii(value)
    except ValueError:  # an integer with more digits than Python converts to text
        text = "a number"
    return text if len(text) <= 60 else text[:57] + "..."


def _single_line(text: str) -> str:
    """Collapses a text to one line, without unprintable characters."""
    return "".join(c if c.isprintable() else "?" for c in " ".join(text.split()))


def join_choices(words: Iterable[str]) -> str:
    """Joins the permitted values for a message, at most a dozen of them."""
    known = list(words)
    return ", ".join(known[:12]) + (f" and {len(known) - 12} more" if len(known) > 12 else "") or "none"


REMEDIES = {
    # findings about the file as a whole
    "FL101": "Name a file that can be read",
    "FL102": "Keep it under 1 MB",
    "FL103": "Save it as UTF-8 without a byte order mark",
    "FL105": "Write it in the syntax of TOML 1.0",
    "FL106": "Keep one of the two",
    "FL107": "Write it as described in docs/ROUTES.md, with less nesting",
    "FL108": "Complete the file, its end is missing",
    "FL109": "Write it as described in docs/FEATURES.md",
    # findings about tables and values
    "FL111": "Use one of {known}",
    "FL112": "Use one of {known}",
    "FL113": "Write {instead}",
    "FL114": "Write {wanted}",
    "FL115": "Write a number, or leave it out",
    "FL116": "Write a finite number, or leave it out for no limit",
    "FL117": "Write a number from {least}",
    "FL118": "Write a value {bounds}",
    "FL119": "Write one of {known}",
    "FL120": "Write it as a table, {table}",
    "FL121": "Use up to 64 letters, digits, dots, dashes and underscores, the first a letter or digit",
    "FL122": "Name it once",
    "FL123": "Change one of its values",
    "FL124": "Define at most {most}, and merge routes with the same settings",
    "FL125": "Keep one of the two",
    "FL126": "Write complete segments, as /class/part, without empty ones, a query or a slash at the end",
    "FL127": "Write it in the syntax of HTTP: {wanted}",
    "FL128": "Set its share too",
    "FL129": "Set base_s above 0",
    # findings about one route by itself
    "FL131": "Make attempt_timeout_s at most {most:g}",
    "FL132": "Lower attempts, attempt_timeout_s or the backoff, or raise timeout_s",
    "FL133": "Make most_s at least base_s",
    "FL134": "Leave it out, or raise attempts",
    "FL135": "Name the endings after which to retry, or set attempts = 1",
    "FL136": "Raise share or least_per_s, or set attempts = 1",
    "FL137": "Raise attempts to 2 or more, or leave the hedge out",
    "FL138": "Set hedge_after or hedge_after_s too",
    "FL139": "Make hedge_after_s less than {most:g}",
    "FL140": "Set concurrency too, or leave the queue out",
    "FL141": "Make longest_wait_s at most {most:g}",
    "FL142": "Set length above 0, or leave the other settings of the queue out",
    "FL143": "Set class or match; match = {{}} matches all jobs",
    "FL144": "Use the same class in all of them",
    "FL145": "Remove one of them, or make one more specific",
    "FL146": "Leave method out, or write POST",
    "FL147": "Add a route of that class, or remove the section",
    "FL148": "Add a route, or remove the section",
    # findings about routes that conflict with the platform's settings
    "FL161": "Use one of {known}",
    "FL162": "Make timeout_s at most {most:g}",
    "FL163": "Lower attempts, attempt_timeout_s or the backoff",
    "FL164": "Make attempts at most {most}",
    "FL165": "Leave hedges out, or set hedge_most = 0 in {where}",
    "FL166": "Leave hedges out, or set hedge_most = 0 in {where}",
    "FL167": "Use only endings after which the job can't have run: overloaded, unreachable, void",
    "FL168": "Send the last attempt at most {most:g} s after the first",
    "FL169": "Name one zone, or set attempts = 1",
    "FL170": "Use one of {known}",
    "FL171": "Use one of {known}",
    "FL172": "Add kind {kind}, or leave kinds out",
    "FL173": "Give {better} at least the priority of {worse}",
    "FL174": "Make timeout_s at least {least:g}",
    "FL175": "Leave hedges out, or set hedge_most = 0 in {where}",
    "FL176": "Lower the features' sizes, or raise the platform's memory_mb",
}


class UnreadableFileError(Exception):
    """The file can't be checked any further; its finding has been recorded."""


class FindingCollector:
    """Collects the findings of one file; each code at most once for each position."""

    def __init__(self, file: str) -> None:
        """Starts without findings and without positions of keys."""
        self.file = _single_line(file)
        self.positions = PositionIndex()
        self.findings: dict[tuple[str, Position], Finding] = {}

    def add(self, code: str, path: Path, reason: str, **words: Any) -> None:
        """Records a finding at the position of a key.

        Args:
            code: The finding's code.
            path: The key's path in the file.
            reason: What is wrong.
            **words: Values of the placeholders in the code's remedy.
        """
        self.add_at(code, self.positions.find(path), reason, **words)

    def add_at(self, code: str, position: Position, reason: str, **words: Any) -> None:
        """Records a finding at a position; otherwise as `add`."""
        remedy = REMEDIES[code].format(**words)
        one = Finding(
            code,
            self.file,
            *position,
            _single_line(reason)[:MAX_REASON_LENGTH],
            _single_line(remedy)[:MAX_REASON_LENGTH],
        )
        self.findings.setdefault((code, position), one)

    def abort(self, code: str, position: Position, reason: str, **words: Any) -> NoReturn:
        """Records a finding and ends the check of the file.

        Raises:
            UnreadableFileError: Always.
        """
        self.add_at(code, position, reason, **words)
        raise UnreadableFileError
