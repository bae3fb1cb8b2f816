"""A run as one page that needs no network: its figures, the rules, and all that happened on one time axis.

The page is worked out from the run's folder alone and holds no time of day, path or random name: the same
folder gives the same bytes with the same release of matplotlib. Bounds: BINS points a line, SHOWN_CLASSES
panels of latency, LINES lines of processes; what is left out is said on the page.
"""

import base64
import io
import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import jinja2
import matplotlib
import matplotlib.style
import numpy as np
from matplotlib.axes import Axes
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure
from matplotlib.ticker import FormatStrFormatter, LogLocator, NullLocator

from finchladder.lab import figures, spread
from finchladder.lab import ledger as ledgers
from finchladder.lab.experiment import Experiment
from finchladder.lab.figures import FAILED, REFUSED, SERVED, Floats, Jobs
from finchladder.lab.judge import RULES, judge
from finchladder.lab.ledger import Ledger

BINS, SHOWN_CLASSES, LINES, MARKS, ROWS = 240, 4, 8, 200, 60
PICTURE_STEPS, PICTURE_ROWS = 480, 240  # cells of the picture of waits at most: its bytes are bounded
STYLE: dict[str, Any] = {
    "svg.hashsalt": "finchladder",
    "svg.fonttype": "path",  # no font of the reader's machine is needed
    "font.family": "DejaVu Sans",
    "font.size": 9,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "axes.grid": True,
    "grid.color": "#e4e4e4",
    "axes.axisbelow": True,
    "axes.titlesize": 10,
    "axes.titlelocation": "left",
    "legend.frameon": False,
    "legend.fontsize": 8,
    "lines.linewidth": 1.3,
}
# Okabe and Ito's colours, that readers who see few colours can tell apart
BLUE, ORANGE, GREEN, RED, PURPLE, SKY = "#0072b2", "#e69f00", "#009e73", "#d55e00", "#cc79a7", "#56b4e9"
COLOURS = (BLUE, ORANGE, GREEN, RED, PURPLE, SKY, "#000000", "#8c8c00")
RULE_WORDS = {
    "answer": "one final answer in time, made by a real server",
    "once": "nothing runs twice that must not, nothing altered, no attempt too many",
    "drain": "nothing new to a real server that drains or is gone",
    "cold": "no more than its budget to a real server that has just started",
}


class Timeline:
    """The picture: panels over one axis of seconds since the run began."""

    def __init__(self, ledger: Ledger, jobs: Jobs) -> None:
        self.ledger, self.jobs = ledger, jobs
        length = max(1.0, ledger.last - ledger.first)
        self.width = max(1, int(np.ceil(length / BINS)))  # whole seconds a bin
        self.edges = np.arange(0, np.ceil(length / self.width) + 1) * self.width
        self.middle = self.edges[:-1] + self.width / 2
        self.due = jobs.due - ledger.first
        self.silent = figures.silences(ledger)
        self.spans = list(self._spans())
        wanted = [(int((jobs.job_class == n).sum()), n) for n in range(len(ledger.experiment.job_class))]
        self.classes = [n for count, n in sorted(wanted, key=lambda w: -w[0])[:SHOWN_CLASSES] if count]

    def _spans(self) -> Iterator[tuple[str, float, float, str]]:
        """(kind, from, to, who) of each fault, one for all it struck; to = from where it has no length."""
        ledger = self.ledger
        struck: dict[tuple[str, float, float], list[str]] = {}
        for kind, target in dict.fromkeys((f.kind, f.target) for f in ledger.faults if f.kind != "started"):
            ends = any(f.kind == kind and f.detail == "end" for f in ledger.faults)
            for a, b in ledger.intervals(frozenset({kind}), target):
                until = min(b, ledger.last) if ends or b < ledger.last else a
                span = (kind, round(a - ledger.first, 1), round(until - ledger.first, 1))
                struck.setdefault(span, []).append(target)
        merged: dict[tuple[str, float], tuple[float, list[str]]] = {}
        for (kind, a, until), who in struck.items():  # what was struck together may have come back apart
            last, names = merged.get((kind, a), (until, []))
            merged[kind, a] = max(last, until), [*names, *who]
        for (kind, a), (until, who) in merged.items():
            yield kind, a, until, who[0] if len(who) == 1 else f"{who[0]} and {len(who) - 1} more"

    def svg(self) -> bytes:
        panels: list[tuple[float, Callable[[Axes], None]]] = [(1.6, self.load), (1.6, self.outcomes)]
        panels += [(1.5, lambda axes, n=n: self.latency(axes, n)) for n in self.classes]  # type: ignore[misc]
        if self.ledger.born:
            panels.append((2.4, self.waits))
        panels += [(1.4, self.cpu), (1.2, self.memory)]
        kinds = sorted({kind for kind, *_ in self.spans})
        if kinds:
            panels.insert(0, (0.35 + 0.2 * len(kinds), lambda axes: self.faults(axes, kinds)))
        with matplotlib.style.context(["default", STYLE]):
            heights = [height for height, _ in panels]
            figure = Figure(figsize=(10.5, sum(heights) + 0.55 * len(panels)), layout="constrained")
            FigureCanvasSVG(figure)
            all_axes = figure.subplots(len(panels), 1, sharex=True, squeeze=False, height_ratios=heights)
            for axes, (_, draw) in zip(all_axes[:, 0], panels, strict=True):
                draw(axes)
                self.shade(axes)
            axes.set_xlim(0, self.edges[-1])
            axes.set_xlabel(f"seconds since the run began (points are {self.width} s wide)")
            out = io.BytesIO()
            figure.savefig(out, format="svg", metadata={"Date": None})
        return out.getvalue()

    def shade(self, axes: Axes) -> None:
        """Faults as marks, what does not count in grey, gaps hatched."""
        for begin, end, _, counted in self.ledger.phases():
            if not counted:
                axes.axvspan(begin - self.ledger.first, end - self.ledger.first, color="#f2f2f2", zorder=0)
        for _, a, b, _ in self.spans[:MARKS]:
            axes.axvline(a, color=RED, lw=0.7, ls=(0, (2, 2)), alpha=0.7, zorder=1)
            if b > a:
                axes.axvspan(a, b, color=RED, alpha=0.05, lw=0, zorder=0)
        for _, a, b in self.silent[:MARKS]:
            span = (a - self.ledger.first, b - self.ledger.first)
            axes.axvspan(*span, facecolor="none", edgecolor="#999999", hatch="///", lw=0, zorder=0)

    def faults(self, axes: Axes, kinds: list[str]) -> None:
        axes.set_title("faults")
        for kind, a, b, target in self.spans[:MARKS]:
            row = len(kinds) - 1 - kinds.index(kind)
            axes.plot([a, b], [row, row], color=RED, lw=4, marker="|", markersize=9, solid_capstyle="butt")
            if len(self.spans) <= 24:
                axes.annotate(target, (max(a, b), row), (5, -3), textcoords="offset points", fontsize=7)
        axes.set_yticks(range(len(kinds)), labels=kinds[::-1])
        axes.set_ylim(-0.7, len(kinds) - 0.3)
        axes.grid(False)

    def rate(self, mask: Any) -> Floats:
        """Jobs a second in each bin, by scheduled time."""
        counts, _ = np.histogram(self.due[mask], self.edges)
        return counts / self.width

    def load(self, axes: Axes) -> None:
        due = np.array([t.asked.due for t in self.ledger.tries.values()]) - self.ledger.first
        tries = np.histogram(due, self.edges)[0] / self.width
        axes.set_title("load (a second)")
        axes.plot(self.middle, tries, color="#999999", label="tries")
        axes.plot(self.middle, self.rate(self.jobs.state >= 0), color="#000000", label="jobs offered")
        axes.plot(self.middle, self.rate(self.jobs.state == SERVED), color=BLUE, label="served")
        self.finish(axes)

    def outcomes(self, axes: Axes) -> None:
        jobs = self.jobs
        axes.set_title("goodput, refusals, failures (a second)")
        axes.plot(self.middle, self.rate(jobs.latency <= jobs.aim), color=GREEN, label="in time (goodput)")
        axes.plot(self.middle, self.rate(jobs.state == REFUSED), color=ORANGE, label="refused")
        axes.plot(self.middle, self.rate(jobs.state == FAILED), color=RED, label="failed")
        self.finish(axes)

    def finish(self, axes: Axes) -> None:
        axes.set_ylim(bottom=0)
        axes.legend(loc="upper left", bbox_to_anchor=(1, 1))

    def latency(self, axes: Axes, n: int) -> None:
        jobs, c = self.jobs, self.ledger.experiment.job_class[n]
        mine = (jobs.job_class == n) & (jobs.state == SERVED)
        in_bin = np.digitize(self.due[mine], self.edges) - 1
        values = jobs.latency[mine]
        bands = np.full((3, len(self.middle)), np.nan)  # a bin in which nothing was served stays empty
        for at in np.unique(in_bin[(in_bin >= 0) & (in_bin < len(self.middle))]):
            bands[:, at] = np.percentile(values[in_bin == at], (50, 90, 99)) * 1000
        axes.set_title(f"latency of {c.name}, served (ms)")
        axes.fill_between(self.middle, bands[1], bands[2], color=BLUE, alpha=0.15, lw=0)
        axes.fill_between(self.middle, bands[0], bands[1], color=BLUE, alpha=0.35, lw=0)
        for row, label, colour in ((2, "p99", SKY), (1, "p90", BLUE), (0, "p50", "#000000")):
            axes.plot(self.middle, bands[row], color=colour, label=label, marker=".", markersize=2)
        axes.axhline(c.aim_s * 1000, color=GREEN, lw=0.9, ls="--", label="aim, before stretch")
        axes.set_yscale("log")
        axes.yaxis.set_major_locator(LogLocator(subs=(1, 2, 5)))
        axes.yaxis.set_major_formatter(FormatStrFormatter("%g"))
        axes.yaxis.set_minor_locator(NullLocator())
        axes.legend(loc="upper left", bbox_to_anchor=(1, 1))

    def waits(self, axes: Axes) -> None:
        """Real servers by time, shaded by wait: a herd is a dark streak, a server left idle a white row."""
        world = spread.of_ledger(self.ledger)
        wait = spread.grid(world).wait
        rows, steps = wait.shape
        each = max(1, -(-steps // PICTURE_STEPS))
        tall = max(1, -(-rows // PICTURE_ROWS))
        wide = np.full((-(-rows // tall) * tall, -(-steps // each) * each), np.nan)
        wide[:rows, :steps] = wait
        cells = wide.reshape(wide.shape[0] // tall, tall, wide.shape[1] // each, each)
        cells = np.where(np.isnan(cells), -1.0, cells).max(axis=(1, 3))  # the worst of a cell is shown
        shown = np.ma.masked_less(cells, 0.0)
        most = float(np.percentile(shown.compressed(), 99.5)) if shown.count() else 1.0
        axes.set_title(f"wait of each real server (white: none, dark: {most:.2g} s and more, tinted: down)")
        axes.set_facecolor("#f4dccf")
        axes.imshow(
            shown,
            aspect="auto",
            cmap="Blues",
            vmin=0.0,
            vmax=max(most, 1e-9),
            interpolation="nearest",
            extent=(0.0, wide.shape[1] * spread.STEP_S, wide.shape[0], 0),
        )
        axes.set_ylabel(f"{rows} real servers")
        axes.grid(False)

    def cpu(self, axes: Axes) -> None:
        axes.set_title("CPU of the dispatchers (cores)")
        self.each(
            axes, lambda name: [(at, cores) for at, cores in figures.cpu_used(self.ledger.samples[name])]
        )

    def memory(self, axes: Axes) -> None:
        axes.set_title("memory of the dispatchers (MB)")
        self.each(axes, lambda name: [(s.at, s.rss / 2**20) for s in self.ledger.samples[name]])

    def each(self, axes: Axes, points: Callable[[str], list[tuple[float, float]]]) -> None:
        names = [name for name in self.ledger.dispatchers if name in self.ledger.samples]
        for n, name in enumerate(names[:LINES]):
            line = points(name)
            at, values = np.array([p[0] for p in line]) - self.ledger.first, np.array([p[1] for p in line])
            holes = np.flatnonzero(np.diff(at) > figures.SILENCE_S) + 1  # no line over what was not seen
            at, values = np.insert(at, holes, np.nan), np.insert(values, holes, np.nan)
            axes.plot(at, values, color=COLOURS[n % len(COLOURS)], label=name)
        if len(names) > LINES:
            axes.set_title(f"{axes.get_title(loc='left')}: the first {LINES} of {len(names)}")
        if names:
            self.finish(axes)


def render(ledger: Ledger, floors: dict[str, Any] | None = None) -> bytes:
    """The page, as UTF-8 HTML. `floors`: of floor.py, for the same experiment."""
    verdict = judge(ledger)
    picture = Timeline(ledger, figures.jobs(ledger)).svg()
    faults = [
        f for f in ledger.faults if not f.detail.startswith("connection ")
    ]  # one each: too many to list
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("finchladder.lab"),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    page = environment.get_template("report.html.j2").render(
        s=figures.summarize(ledger, verdict),
        about=ledger.experiment.about,
        rules=[(rule, RULE_WORDS[rule], verdict.rules[rule]) for rule in RULES],
        findings=verdict.findings[:ROWS],
        broken=sum(verdict.rules.values()),
        found=sum(verdict.kinds.values()),
        faults=[(f.at - ledger.first, f.kind, f.target, f.detail) for f in faults[:ROWS]],
        more_faults=max(0, len(faults) - ROWS),
        floors=floors or {},
        picture="data:image/svg+xml;base64," + base64.b64encode(picture).decode(),
        setup=_setup(ledger.experiment),
    )
    return page.encode()


def _setup(e: Experiment) -> str:
    servers = sum(p.count for p in e.pool)
    zones = f" in {len(e.zones)} zones" if len(e.zones) > 1 else ""
    return f"{e.dispatchers} dispatchers, {servers} real servers{zones}, seed {e.seed}"


def write(folder: Path) -> Path:
    """Writes FOLDER/report.html anew. OSError, ValueError: there is no run in that folder."""
    path = folder / "report.html"
    given = folder / "floors.json"
    floors = json.loads(given.read_bytes()) if given.is_file() else None
    path.write_bytes(render(ledgers.load(folder), floors))
    return path
