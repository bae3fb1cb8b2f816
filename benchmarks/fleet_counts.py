"""Counts across the captures of a whole fleet: what harms only because all dispatchers do it shows here.

    python benchmarks/fleet_counts.py FOLDER [--every 2.5] [--cold 8.5]

FOLDER holds one file for each dispatcher, `*.log` or `*.jsonl`, with capture lines (`folder = -` in
`[capture]`) among others; what stands before the first brace of a line is left out. Per span of time: sends
by how they ended, refusals, lists heard, dispatchers that heard one, and the most sends to one real server
over their mean. With `--cold`, also the sends to real servers that started so few seconds ago, by the starts
that any dispatcher's list told of.
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


def starts(fleet: dict[str, list[Line]]) -> dict[str, float]:
    """When each real server last started, in seconds, as any list had it; those of long ago are left out."""
    born: dict[str, float] = {}
    for lines in fleet.values():
        for line in lines:
            for name, *rest in line["entries"] if line.get("in") == "list" else ():
                if rest[4] > born.get(name, 0.0):  # state, zone, kind, cell, start
                    born[name] = rest[4]
    return born


def count(
    fleet: dict[str, list[Line]], every_s: float, cold_s: float = 0.0
) -> list[tuple[float, Counter[str], float]]:
    """Spans in order: start in seconds, counts by name, most over mean of the sends to a real server."""
    born = starts(fleet) if cold_s else {}
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
                if 0 <= line["t"] - born.get(line["server"], -cold_s) < cold_s:
                    spans[span]["send to a cold one"] += 1
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
    parser.add_argument("--cold", type=float, default=0.0, metavar="S", help="a start stays cold, seconds")
    args = parser.parse_args()
    files = sorted([*args.folder.glob("*.log"), *args.folder.glob("*.jsonl")])
    fleet = {f.stem: list(lines_of(f.read_text(errors="replace").splitlines())) for f in files}
    for start, counts, most in count(fleet, args.every, args.cold):
        told = ", ".join(f"{name} {n}" for name, n in sorted(counts.items()))
        print(f"{start:6.1f} s  most/mean {most:.1f}  {told}")


if __name__ == "__main__":
    main()
