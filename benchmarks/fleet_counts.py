"""Counts across the captures of a whole fleet: what harms only because all dispatchers do it shows here.

    python benchmarks/fleet_counts.py FOLDER [--every 2.5]

FOLDER holds one file for each dispatcher, `*.log` or `*.jsonl`, with capture lines (`folder = -` in
`[capture]`) among others; what stands before the first brace of a line is left out. Per span of time: sends
by how they ended, refusals, lists heard, dispatchers that heard one, and the most sends to one real server
over their mean.
"""

import argparse
import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

Line = dict[str, Any]


def lines_of(texts: Iterable[str]) -> Iterator[Line]:
    for text in texts:
        try:
            line = json.loads(text[text.index("{") :])
        except ValueError:  # not a capture's, or cut off
            continue
        if "t" in line and ("in" in line or "out" in line):
            yield line


def count(fleet: dict[str, Iterable[Line]], every_s: float) -> list[tuple[float, Counter[str], float]]:
    """Spans in order: start in seconds, counts by name, most over mean of the sends to a real server."""
    spans: defaultdict[int, Counter[str]] = defaultdict(Counter)
    servers: defaultdict[int, Counter[str]] = defaultdict(Counter)
    heard: defaultdict[int, set[str]] = defaultdict(set)
    for name, lines in fleet.items():
        sent: defaultdict[str, list[int]] = defaultdict(list)  # by request: the span of each attempt
        for line in lines:
            span = int(line["t"] // every_s)
            if line.get("out") == "send":
                sent[line["id"]].append(span)
                servers[span][line["server"]] += 1
                spans[span]["send"] += 1
            elif line.get("out") in ("refuse", "fail"):
                spans[span][line["out"]] += 1
            elif line.get("in") == "list":
                spans[span]["list"] += 1
                heard[span].add(name)
            elif line.get("in") == "event" and line["state"] not in ("started", "running"):
                attempts = sent[line["id"]]
                if line["attempt"] < len(attempts):  # counted where it was sent
                    spans[attempts[line["attempt"]]][line["state"]] += 1
    for span, names in heard.items():
        spans[span]["dispatchers told"] = len(names)
    first = min(spans, default=0)
    found = []
    for span in sorted(spans):
        by = servers[span]
        most = max(by.values()) * len(by) / by.total() if by else 0.0
        found.append(((span - first) * every_s, spans[span], most))
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--every", type=float, default=2.5, metavar="S", help="length of a span, seconds")
    args = parser.parse_args()
    files = sorted([*args.folder.glob("*.log"), *args.folder.glob("*.jsonl")])
    fleet = {f.stem: list(lines_of(f.read_text(errors="replace").splitlines())) for f in files}
    for start, counts, most in count(fleet, args.every):
        told = ", ".join(f"{name} {n}" for name, n in sorted(counts.items()))
        print(f"{start:6.1f} s  most/mean {most:.1f}  {told}")


if __name__ == "__main__":
    main()
