"""docs/ONCALL.md names every event that either program logs, and none that it doesn't."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PAGE = (ROOT / "docs" / "ONCALL.md").read_text()
LEVELS = {"info", "warning", "error", "exception"}
SECTIONS = re.split(r"^## ", PAGE, flags=re.MULTILINE)


def section(title: str) -> str:
    return next(text for text in SECTIONS if text.startswith(title))


def first_column(text: str) -> set[str]:
    """The names in backticks in the first column of a section's tables."""
    rows = [line for line in text.splitlines() if line.startswith("| `")]
    return {name for row in rows for name in re.findall(r"`([^`]+)`", row.split(" | ")[0])}


def modules(package: str) -> Iterator[ast.Module]:
    for path in sorted((ROOT / "finchladder" / package).rglob("*.py")):
        yield ast.parse(path.read_text())


def calls(module: ast.Module) -> Iterator[ast.Call]:
    return (node for node in ast.walk(module) if isinstance(node, ast.Call) and node.args)


def texts_of(node: ast.expr, module: ast.Module) -> set[str]:
    """The text that an argument holds: itself, or what is assigned to the variable that it names."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return {node.value}
    assigned = [part for part in ast.walk(module) if isinstance(part, ast.Assign)]
    return {
        assignment.value.value
        for assignment in assigned
        if isinstance(node, ast.Name)
        and ast.unparse(assignment.targets[0]) == node.id
        and isinstance(assignment.value, ast.Constant)
        and isinstance(assignment.value.value, str)
    }


def system_events() -> set[str]:
    found: set[str] = set()
    for module in modules("cluster"):
        for call in calls(module):
            if isinstance(call.func, ast.Name) and call.func.id == "event":
                names = texts_of(call.args[0], module)
                assert names, f"an event without a name that can be read: {ast.unparse(call)}"
                found |= names
    return found


def is_log_call(call: ast.Call) -> bool:
    if not isinstance(call.func, ast.Attribute) or call.func.attr not in LEVELS:
        return False
    return ast.unparse(call.func.value).split(".")[-1] in ("log", "logger")


def dispatcher_messages() -> set[str]:
    found: set[str] = set()
    for package in ("core", "config", "features", "store", "net"):
        for module in modules(package):
            for call in calls(module):
                if is_log_call(call):
                    found |= texts_of(call.args[0], module)
    return found


def test_each_event_of_the_system_has_a_row_and_each_row_an_event() -> None:
    assert first_column(section("The system: events")) == system_events()


def test_each_message_of_the_dispatcher_has_a_row_and_each_row_a_message() -> None:
    assert first_column(section("The dispatcher: messages")) == dispatcher_messages()


def test_the_page_has_the_exit_statuses_of_both_programs() -> None:
    text = section("Exit statuses")
    assert {"0", "1", "2"} <= first_column(text)
