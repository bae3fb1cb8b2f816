"""What a run's dispatchers knew of each other, and whether they kept the budget that they share.

    .venv-lab/bin/python -m finchladder lab run benchmarks/budgets.toml --out /tmp/budgets
    .venv-lab/bin/python benchmarks/peers_seen.py /tmp/budgets --budget retry.views --limit 100

From `peers.jsonl` (each dispatcher's own words, `program.peers_every_s`) and the ledger (what real servers
saw). Times are as fine as the looks. Resends are runs of one request beyond its first.
"""

import argparse
import json
import sys
from pathlib import Path
from typing import Any

import numpy as np

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from finchladder.lab import ledger  # noqa: E402


def looks(folder: Path) -> dict[str, list[tuple[float, dict[str, Any] | None]]]:
    found: dict[str, list[tuple[float, dict[str, Any] | None]]] = {}
    for line in (folder / "peers.jsonl").read_text().splitlines():
        look = json.loads(line)
        found.setdefault(look["node"], []).append((look["at"], look["told"]))
    return found


def spans(found: ledger.Ledger, begin: float) -> list[tuple[float, float, str]]:
    """Stretches of the run between any two changes of what is wrong."""
    times: dict[float, str] = {}
    for f in found.faults:
        if f.kind.startswith("peer_") or f.kind in ("kill", "errors", "pause"):
            what = f.kind + (" ends" if "end" in f.detail else "")
            times.setdefault(round(f.at - begin, 1), what)
    marks = sorted(times)
    ends = [*marks[1:], found.last - begin]
    return [(a, b, times[a]) for a, b in zip(marks, ends, strict=True) if b - a >= 2.0]


def knowing(
    seen: dict[str, list[tuple[float, dict[str, Any] | None]]], dead: set[str], at: float
) -> list[float]:
    """For each that lives, how long after `at` it held all of those for suspected or gone, and for gone."""
    took = []
    for node, told in seen.items():
        if node in dead:
            continue
        for when, look in told:
            if when < at or look is None:
                continue
            if all(m["standing"] == "gone" for m in look["members"] if m["name"] in dead):
                took.append(when - at)
                break
    return took


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("folder", type=Path)
    parser.add_argument("--budget")
    parser.add_argument("--limit", type=float, default=0.0, help="of the budget, a second, of all")
    args = parser.parse_args()
    found, seen = ledger.load(args.folder), looks(args.folder)
    begin = next(m.at for m in found.marks if m.name == "run:start")
    last = {n: [t for _, t in told if t is not None] for n, told in seen.items()}
    rates = []
    for told in seen.values():
        at = [(when, t["datagrams"]) for when, t in told if t is not None]
        for (a, x), (b, y) in zip(at, at[1:], strict=False):
            if y["sent"] >= x["sent"] and b > a:
                rates.append(
                    [(y[k] - x[k]) / (b - a) for k in ("sent", "received", "sent_bytes", "received_bytes")]
                )
    if rates:
        mid = np.median(rates, axis=0)
        print(
            f"a dispatcher, a second: {mid[0]:.1f} sent, {mid[1]:.1f} received,"
            f" {mid[2]:.0f} and {mid[3]:.0f} bytes"
        )
    for a, b, what in spans(found, begin):
        parts = [
            sum(m["standing"] == "alive" for m in t["members"])
            for told in seen.values()
            for when, t in told
            if t is not None and b - 2.5 <= when <= b
        ]
        ages = [
            t["counts"]["age_s"]
            for told in seen.values()
            for when, t in told
            if t is not None and t["counts"] is not None and a <= when <= b
        ]
        text = f"{a:6.1f} to {b:6.1f} s, from {what}:"
        if parts:
            text += f" at its end {min(parts)} to {max(parts)} held alive"
        if ages:
            text += f", counts {np.median(ages):.2f} s old ({np.percentile(ages, 99):.2f})"
        print(text)
    # a process that dies for good, or until long after, is to be known by all
    dead = {f.target for f in found.faults if f.kind == "kill" and "end" not in f.detail}
    killed = [f.at - begin for f in found.faults if f.kind == "kill" and "end" not in f.detail]
    if killed and (took := knowing(seen, dead, min(killed))):
        p50, p99 = np.percentile(took, [50, 99])
        print(
            f"{len(dead)} killed at {min(killed):.1f} s: all held for gone after"
            f" p50 {p50:.1f} s, p99 {p99:.1f} s"
        )
    false = sum(
        m["standing"] != "alive"
        for told in last.values()
        for t in told[-1:]
        for m in t["members"]
        if m["name"] not in dead
    )
    print(
        f"at the end {false} of {sum(len(t[-1]['members']) for t in last.values() if t)} are not held alive"
    )
    if not args.budget:
        return
    again = np.sort([run.last - begin for t in found.tries.values() for run in t.runs[1:]])
    print(f"{len(again)} resends; the limit is {args.limit:g} a second")
    for a, b, what in spans(found, begin):
        here = again[(again >= a) & (again < b)]
        each = [np.searchsorted(here, t + 1) - np.searchsorted(here, t) for t in np.arange(a, b - 1, 0.05)]
        if len(here) and each:
            p99 = np.percentile(each, 99)
            use = len(here) / (b - a) / args.limit if args.limit else 0.0
            print(
                f"{a:6.1f} to {b:6.1f} s, from {what}: {len(here) / (b - a):.1f} a second ({use:.2f}),"
                f" in any second p99 {p99:.0f}, most {max(each)}"
            )


if __name__ == "__main__":
    main()
