"""All runs of one file side by side: each point of the matrix with its spread over the repeats.

`runs.json` says which folder is which point; with the summaries there it makes `sweep.txt` and `sweep.html`,
a page that needs no network. Runs that are not valid are counted and left out of the figures.
"""

import base64
import io
from pathlib import Path
from statistics import median
from typing import Any

import jinja2
import matplotlib
import matplotlib.style
import msgspec
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

from finchladder.lab.report import COLOURS, STYLE

MOST_LINES = 8  # of a picture; a matrix with more of them is shown as the table alone
FIGURES: dict[str, str] = {
    "served_per_s": "served a second",
    "refused": "refused %",
    "failed": "failed %",
    "p50_ms": "p50 ms",
    "p99_ms": "p99 ms",
    "cpu": "CPU, cores",
    "rss_mb": "MB",
    "rules": "rules broken",
}
DRAWN = ("served_per_s", "p99_ms")


class Played(msgspec.Struct):
    """One run of the file. `folder` is below the one that holds runs.json."""

    folder: str
    settings: dict[str, Any]
    repeat: int


class Spread(msgspec.Struct):
    """Over the valid repeats of a point."""

    middle: float
    least: float
    most: float

    def __str__(self) -> str:
        digits = 0 if self.most >= 100 else 1 if self.most >= 10 else 2
        if self.least == self.most:
            return f"{self.middle:.{digits}f}"
        return f"{self.middle:.{digits}f} [{self.least:.{digits}f}, {self.most:.{digits}f}]"


class Point(msgspec.Struct):
    name: dict[str, str]  # axis: value
    repeats: int
    invalid: int
    figures: dict[str, Spread]


def figures(summary: dict[str, Any]) -> dict[str, float]:
    """Of one run. Latency is that of its slowest class; CPU and memory are of all dispatchers together."""
    offered = summary["offered"] or 1
    classes = summary["latency"].values()
    found = {
        "served_per_s": summary["served_per_s"],
        "refused": 100 * summary["refused"] / offered,
        "failed": 100 * summary["failed"] / offered,
        "cpu": sum(d["cpu"] for d in summary["dispatchers"].values()),
        "rss_mb": sum(d["rss_mb"] for d in summary["dispatchers"].values()),
        "rules": float(sum(summary["rules"].values())),
    }
    for name in ("p50_ms", "p99_ms"):
        if classes:
            found[name] = max(c[name] for c in classes)
    return found


def _shown(value: Any) -> str:
    if isinstance(value, list):
        return " ".join(map(str, value)) or "default"
    return str(value)


def points(runs: list[tuple[Played, dict[str, Any]]]) -> list[Point]:
    """In the order in which they were first played."""
    by_name: dict[tuple[tuple[str, str], ...], list[dict[str, Any]]] = {}
    for played, summary in runs:
        name = tuple((axis, _shown(value)) for axis, value in played.settings.items())
        by_name.setdefault(name, []).append(summary)
    found = []
    for name, summaries in by_name.items():
        valid = [figures(s) for s in summaries if s["valid"]]
        spreads = {}
        for figure in FIGURES:
            if values := [f[figure] for f in valid if figure in f]:
                spreads[figure] = Spread(median(values), min(values), max(values))
        found.append(Point(dict(name), len(summaries), len(summaries) - len(valid), spreads))
    return found


def rows(found: list[Point]) -> list[list[str]]:
    axes = list(found[0].name)
    table = [[*axes, "runs", *FIGURES.values()]]
    for p in found:
        runs = f"{p.repeats}" + (f", {p.invalid} not valid" if p.invalid else "")
        cells = [str(p.figures[f]) if f in p.figures else "-" for f in FIGURES]
        table.append([*(p.name[a] for a in axes), runs, *cells])
    return table


def text(found: list[Point]) -> str:
    table = rows(found)
    widths = [max(len(row[n]) for row in table) for n in range(len(table[0]))]
    return "".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() + "\n"
        for row in table
    )


def axis(found: list[Point]) -> str | None:
    """The first one of numbers; None: there is none."""
    return next((a for a in found[0].name if all(_number(p.name[a]) is not None for p in found)), None)


def picture(found: list[Point]) -> bytes | None:
    """SVG over the axis of numbers, a line for each point of the others. None: nothing to draw."""
    if (x := axis(found)) is None:
        return None
    lines: dict[str, list[Point]] = {}
    for p in found:
        lines.setdefault(", ".join(value for a, value in p.name.items() if a != x), []).append(p)
    if len(lines) > MOST_LINES:
        return None
    with matplotlib.style.context(["default", STYLE]):
        figure = Figure(figsize=(9, 3.2), layout="constrained")
        for panel, name in zip(figure.subplots(1, len(DRAWN)), DRAWN, strict=True):
            for (label, line), colour in zip(lines.items(), COLOURS, strict=False):
                at = [_number(p.name[x]) for p in line if name in p.figures]
                spreads = [p.figures[name] for p in line if name in p.figures]
                reach = [[s.middle - s.least for s in spreads], [s.most - s.middle for s in spreads]]
                panel.errorbar(
                    at,
                    [s.middle for s in spreads],
                    reach,
                    marker="o",
                    ms=3,
                    capsize=3,
                    color=colour,
                    label=label,
                )
            panel.set_title(FIGURES[name])
            panel.set_xlabel(x)
            panel.set_xscale("log")
            ticks = {p.name[x]: _number(p.name[x]) for p in found}
            panel.set_xticks(list(ticks.values()), list(ticks), minor=False)
            panel.minorticks_off()
            panel.set_ylim(bottom=0)
        if any(lines):
            panel.legend()
        out = io.BytesIO()
        FigureCanvasSVG(figure).print_svg(out, metadata={"Date": None})  # type: ignore[no-untyped-call]
    return out.getvalue()


def _number(shown: str) -> float | None:
    try:
        return float(shown)
    except ValueError:
        return None


def page(name: str, found: list[Point]) -> str:
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("finchladder.lab"),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    drawn = picture(found)
    head, *body = rows(found)
    return environment.get_template("sweep.html.j2").render(
        name=name,
        head=head,
        body=body,
        axis=axis(found),
        picture="data:image/svg+xml;base64," + base64.b64encode(drawn).decode() if drawn else "",
    )


def note(out: Path, runs: list[Played]) -> None:
    """Before the first run, so that a sweep that was given up can be shown too."""
    (out / "runs.json").write_bytes(msgspec.json.format(msgspec.json.encode(runs), indent=1) + b"\n")


def noted(out: Path) -> list[Played]:
    """ValueError: runs.json is not what `note` writes. OSError."""
    try:
        return msgspec.json.decode((out / "runs.json").read_bytes(), type=list[Played])
    except msgspec.MsgspecError as e:
        raise ValueError(f"runs.json: {e}") from None


def write(out: Path) -> str:
    """Writes sweep.txt and sweep.html of all runs that have a summary; the text. ValueError: none has."""
    runs: list[tuple[Played, dict[str, Any]]] = []
    for played in noted(out):
        path = out / played.folder / "summary.json"
        if path.exists():
            runs.append((played, msgspec.json.decode(path.read_bytes(), type=dict[str, Any])))
    if not runs:
        raise ValueError("no run has a summary")
    found = points(runs)
    shown = text(found)
    (out / "sweep.txt").write_text(shown, "utf-8")
    (out / "sweep.html").write_text(page(runs[0][1]["name"], found), "utf-8")
    return shown
