"""What a run says while it runs: one moving line on a terminal, plain lines elsewhere."""

import sys
from collections.abc import Mapping
from typing import Any

EVERY_S = 5.0  # between two plain lines of progress
SHOWN = {"offered": "offered", "answered": "answered", "in_flight": "in flight", "up": "real servers up"}


class Show:
    """`quiet`: says nothing. Standard output is left to results; this goes to standard error."""

    def __init__(self, quiet: bool = False) -> None:
        self.quiet, self.last = quiet, float("-inf")
        self.console: Any = None
        self.moving: Any = None
        if not quiet and sys.stderr.isatty():
            from rich.console import Console

            self.console = Console(stderr=True, highlight=False)

    def line(self, text: str) -> None:
        if self.quiet:
            return
        if self.console is not None:
            self.console.print(text, markup=False)
        else:
            print(text, file=sys.stderr, flush=True)

    def progress(self, now: float, whole: float, phase: str, figures: Mapping[str, float]) -> None:
        """`now`, `whole`: seconds from the begin of the arrivals; `figures` as the processes say them."""
        if self.quiet:
            return
        text = f"{max(now, 0):6.1f} of {whole:.0f} s  {phase}  "
        text += "  ".join(f"{shown} {figures[name]:,.0f}" for name, shown in SHOWN.items() if name in figures)
        if self.console is not None:
            if self.moving is None:
                self.moving = self.console.status(text)
                self.moving.start()
            self.moving.update(text)
        elif now - self.last >= EVERY_S or now < self.last:
            self.last = now
            print(text, file=sys.stderr, flush=True)

    def close(self) -> None:
        if self.moving is not None:
            self.moving.stop()
            self.moving = None
