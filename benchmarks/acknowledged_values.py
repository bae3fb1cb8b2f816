"""Counts configurations with one odd value that a checkout accepts, and those that it then cannot apply.

    python benchmarks/acknowledged_values.py [--program DIR] [--tests FILE]

Plays the search of `tests/cluster/test_acknowledged_configurations.py`, PUT and PATCH, and counts instead of
stopping at the first failure. An older checkout needs the form of that file whose imports fit it: for d62891c

    git show f3ef0ac:tests/cluster/test_acknowledged_configurations.py > FILE

Exit status 1 if an accepted configuration could not be applied.
"""

import importlib.util
import json
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType

import click

ROOT = Path(__file__).resolve().parents[1]
SEARCH = ROOT / "tests" / "cluster" / "test_acknowledged_configurations.py"
PUT_BASE, PATCH_BASE = 0, 5  # versions that the changes are based on


def load_search(program: Path, tests: Path) -> ModuleType:
    """Imports the search so that it uses the program of a checkout."""
    sys.path.insert(0, str(program))
    spec = importlib.util.spec_from_file_location("search", tests)
    if spec is None or spec.loader is None:
        raise click.BadParameter(f"{tests} is no Python file")
    search = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(search)
    return search


def changes(search: ModuleType) -> Iterator[tuple[str, int, bytes]]:
    """The path of each replaced value, the base version and the body of the change."""
    items = {name: value for name, value in search.DOCUMENT.items() if name != "version"}
    for path in search.PATHS:
        name = "/".join(part for part in path if isinstance(part, str))
        for text in search.ODD_VALUES:
            yield name, PUT_BASE, search.with_replaced(search.DOCUMENT, {path: text})
            if path[0] != "version":
                upsert = search.with_replaced(items, {path: text})
                yield name, PATCH_BASE, b'{"version": 7, "upsert": %s}' % upsert


@click.command()
@click.option("--program", type=click.Path(path_type=Path), default=ROOT, help="Checkout of the program.")
@click.option("--tests", type=click.Path(path_type=Path), default=SEARCH, help="File with the search.")
def main(program: Path, tests: Path) -> None:
    """Prints the counts, and the fields whose values could not be applied."""
    search = load_search(program, tests)
    current = json.dumps({**search.DOCUMENT, "version": PATCH_BASE}).encode()
    total = accepted = 0
    failures: Counter[str] = Counter()
    for name, base, body in changes(search):
        total += 1
        is_patch = base == PATCH_BASE
        outcome = search.validate_change(current if is_patch else b"", base, is_patch, body)
        if not isinstance(outcome, search.ValidChange):
            continue
        accepted += 1
        try:
            search.check_applied(outcome, base)
        # counts every kind of failure, since an older program may raise any
        except Exception as error:  # noqa: BLE001
            failures[f"{name} {type(error).__name__}"] += 1
    print(f"{total} bodies, {accepted} accepted, {failures.total()} of these not applied")
    for failure, count in failures.most_common():
        print(count, failure)
    sys.exit(bool(failures))


if __name__ == "__main__":
    main()
