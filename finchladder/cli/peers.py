"""`finchladder peers show`: prints a dispatcher's state of its peers and of shared budgets."""

import argparse
import sys
from typing import Any

import msgspec

from finchladder.cli import calls
from finchladder.cli.front import fail
from finchladder.config.addresses import parse_address


def arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to the parser."""
    commands = parser.add_subparsers(dest="call", required=True, metavar="COMMAND")
    show = commands.add_parser("show", help="print members, budgets and counts of one dispatcher")
    show.add_argument("--at", metavar="HOST:PORT", help="the dispatcher's address (default: NODE_LISTEN)")
    show.add_argument("--format", choices=("text", "json"), default="text")


def run(args: argparse.Namespace) -> None:
    """Runs the command; errors end the program with a message."""
    try:
        shown = calls.get("/_peers", parse_address(args.at) if args.at else None)
    except (ValueError, calls.CallError) as e:
        fail(str(e))
    if args.format == "json":
        sys.stdout.write(shown)
        return
    try:
        sys.stdout.write("".join(f"{line}\n" for line in format_answer(msgspec.json.decode(shown))))
    except (msgspec.MsgspecError, KeyError, TypeError) as e:
        fail(f"the answer can't be read: {e}", 1)


def format_answer(shown: dict[str, Any]) -> list[str]:
    """Formats the dispatcher's answer."""
    members = shown["members"]
    count = {s: sum(m["standing"] == s for m in members) for s in ("alive", "suspected", "gone")}
    standings = ", ".join(f"{n} {standing}" for standing, n in count.items())
    found = [f"{shown['name']}: {len(members)} listed, {standings}"]
    for m in members:
        if m["standing"] != "alive":
            heard = "never heard" if m["heard_s"] is None else f"heard {m['heard_s']:g} s ago"
            found.append(f"  {m['name']}: {m['standing']} for {m['since_s']:g} s, {heard}")
    for b in shown["budgets"]:
        found.append(
            f"{b['name']}: {b['right_per_s']:.3g} of {b['limit_per_s']:g} a second are its own now"
            f" (share {b['own_per_s']:.3g}, lent {b['lent_per_s']:.3g}, borrowed {b['borrowed_per_s']:.3g},"
            f" needed {b['needed_per_s']:.3g}); spent {b['spent']}, refused {b['refused']},"
            f" by all {b['spent_by_all']:g} as told by {b['known_of']}"
        )
    if (counts := shown["counts"]) is not None:
        found.append(
            f"counts: {counts['in_flight']:g} slots in flight at {counts['members']} dispatchers,"
            f" {counts['age_s']:.2f} s old"
        )
    for w in shown.get("judged", ()):
        of = f" for {w['class']}" if "class" in w else ""
        found.append(f"{w['server']}{of}: {w['state']}, {w['left_s']:g} s left, by {w['by'] or 'evidence'}")
    traffic = shown["datagrams"]
    found.append(
        f"datagrams: {traffic['sent']} sent, {traffic['received']} received, {traffic['unsent']} not sent"
    )
    for why, n in sorted(shown["dropped"].items()):
        found.append(f"  dropped: {why}: {n}")
    if not shown["socket"]:
        found.append("  the dispatcher's UDP socket for peers is not open")
    return found
