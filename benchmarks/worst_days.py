"""Days of our own for the fleet bench: each kind of trouble in each variant, and draws of the worst ones.

    python benchmarks/worst_days.py write SITE.toml --out FOLDER --seed 1 --overlaps 60
    python benchmarks/worst_days.py play BENCH SITE.toml FOLDER --jobs 4 --why "..."
    python benchmarks/worst_days.py variant SITE.toml five --out VARIANT.toml

`write` reads the names of services from the site file. `variant` writes a site file with another core or
other bounds, for the bench's `hunt` and for `play`. `play` runs the bench's `run` for each file and prints
the rules that were broken, from the entries that the bench leaves in `journal/`; status 1 if there are any.
"""

import json
import re
import subprocess
import sys
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

import click

Entry = dict[str, Any]

SPOT = {"how": "spot", "x": 2.0}
FAULT_KINDS: dict[str, list[Entry]] = {
    "srv_crash": [
        {},
        {"how": "dark"},
        {"how": "gone"},
        {"how": "domain"},
        {"how": "joined"},
        {"how": "rack"},
        {"how": "across"},
    ],
    "answer_lost": [{"x": 0.1, "how": how} for how in ("", "reset")],
    "garble": [
        {"share": 0.8, "x": 0.06, "how": how}
        for how in ("", "extra", "unframed", "early", "rot", "extra late", "unframed extra", "early extra")
    ],
    "node_kill": [
        {"on": "core", "count": 1, "how": how}
        for how in (
            "",
            "power",
            "leader",
            "reader",
            "giver",
            "seed",
            "leader race drain hard",
            "power meet drain",
            "turn",
        )
    ]
    + [{"share": 0.3}, {"share": 0.3, "how": "power"}],
    "node_freeze": [
        {"on": "core", "count": 1, "how": how}
        for how in ("", "leader race drain hard", "giver", "reader meet")
    ]
    + [{"share": 0.3}],
    "herd_kill": [
        {"share": 0.6},
        {"share": 0.6, "how": "power"},
        {"on": "core"},
        {"on": "core", "how": "off"},
        {"on": "core", "how": "taken"},
        {"on": "core", "how": "taken all"},
        {"on": "core", "how": "off race drain hard"},
    ],
    "after_ack_wipe": [{"count": 1, "how": how} for how in ("", "oldest", "race drain")],
    "after_ack_kill": [{"count": 1, "how": how} for how in ("", "kill", "timed", "taken", "taken gone")],
    "disk_stall": [{"count": 1}, {"count": 1, "how": "leader race"}, {"count": 3}],
    "disk_slow": [{"count": 1}, {"count": 3}],
    "disk_full": [{"count": 1}, {"count": 3}],
    "clock_step": [{"share": 0.4}, {"share": 0.4, "how": "back"}, {"share": 0.4, "how": "ahead"}],
    "core_cut": [
        {"count": 1, "for_s": 9.0, "how": how}
        for how in (
            "",
            "behind",
            "split",
            "all",
            "near",
            "oldest",
            "one_way",
            "seeds",
            "both",
            "lure",
            "relieve",
            "leader race drain hard",
            "split race drain",
            "all meet",
            "one_way leader",
            "reset",
            "refuse",
        )
    ],
    "node_cut": [{"share": 0.3, "how": how} for how in ("", "all", "servers", "reset", "meet race")],
    "ack_lost": [{"x": 0.7, "for_s": 12.0}],
    "burst": [{"x": 2.0}],
    "retry_abuse": [{"share": 0.4, "x": 3.0}],
    "give_up": [{"share": 0.4}],
    "srv_slow": [{}],
    "srv_grey": [
        {"share": 0.3, "x": 0.4, "how": how}
        for how in ("", "errors", "shed", "busy", "hang", "reset", "mute", "slow")
    ],
    "srv_cut": [
        {"share": 0.3, "how": how} for how in ("", "fronts", "some", "one_way", "reset", "some lossy")
    ],
    "replace_with_reuse": [{"share": 0.2, "how": how} for how in ("", "drain", "dark")],
    "node_slow": [{"share": 0.2}],
    "seed_turnover": [{}],
    "reset_conns": [{"share": 0.3, "x": 0.5}],
}
PLANNED_KINDS: dict[str, list[Entry]] = {
    "release": [{"share": 0.5, "gap_s": 1.0}],
    "scale_in": [{}, SPOT, {"how": "reclaim", "x": 2.5}],
    "scale_out": [{}],
    "roll_term": [
        {"share": 1.0, "gap_s": 1.0},
        {"share": 1.0, "how": "busy", "gap_s": 1.0},
        {"on": "core", "share": 1.0, "gap_s": 4.5, "how": "race drain"},
    ],
    "replace_core": [
        {"x": 1.0, "how": how} for how in ("", "planned", "oldest", "planned oldest", "seed", "leader")
    ],
    "config_change": [{"how": how} for how in ("route", "weights", "timeout", "idle")],
    "config_storm": [{"for_s": 8.0, "gap_s": 0.12, "how": "idle"}, {"count": 60, "gap_s": 0.05}],
    "config_race": [{"count": 5, "gap_s": 0.4}],
    "bad_config": [
        {"count": 5, "gap_s": 0.3, "how": how}
        for how in (
            "cut_short",
            "unknown_service",
            "same_place",
            "no_weight",
            "no_timeout",
            "old_version",
            "same_version",
            "stale_match",
        )
    ],
    "big_config": [{"count": 600}],
    "model_shift": [{"count": 2}],
    "hup": [{"share": 0.5}],
}
SERVICE_KINDS = frozenset(
    {
        "srv_crash",
        "garble",
        "answer_lost",
        "release",
        "scale_in",
        "srv_slow",
        "srv_grey",
        "srv_cut",
        "replace_with_reuse",
        "scale_out",
    }
)
WORST = [
    "node_kill",
    "node_freeze",
    "herd_kill",
    "after_ack_wipe",
    "after_ack_kill",
    "disk_stall",
    "disk_slow",
    "core_cut",
    "node_cut",
    "clock_step",
    "ack_lost",
    "garble",
    "answer_lost",
    "reset_conns",
    "replace_with_reuse",
    "srv_cut",
    "disk_full",
    "seed_turnover",
]
WORST_PLANNED = [
    "replace_core",
    "roll_term",
    "scale_in",
    "release",
    "config_race",
    "config_storm",
    "big_config",
]
CROSSINGS = ["", "", " race", " meet", " hard", " drain", " race drain hard", " meet drain"]
CROSSED = frozenset({"node_kill", "node_freeze", "herd_kill", "core_cut", "node_cut", "disk_stall"})
CLOSINGS: list[Entry | None] = [
    None,
    {"kind": "power_off_all", "down_s": 0.9},
    {"kind": "kill_all", "down_s": 0.8},
    {"kind": "wipe_after_ack", "down_s": 0.6},
    {"kind": "wipe_after_ack", "down_s": 1.0, "how": "timed"},
    {"kind": "wipe_after_ack", "down_s": 0.8, "how": "oldest"},
    {"kind": "wipe_after_ack", "down_s": 0.8, "how": "taken"},
    {"kind": "power_off_all", "down_s": 0.7, "how": "timed"},
    {"kind": "kill_all", "down_s": 0.5, "how": "timed"},
]
FIRST_S, LAST_S = 2.0, 22.0


def toml_value(value: object) -> str:
    """A value in TOML, tables inline."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{k} = {toml_value(v)}" for k, v in value.items()) + " }"
    if isinstance(value, list):
        return "[\n" + "".join(f"  {toml_value(item)},\n" for item in value) + "]"
    return json.dumps(value)


def day_text(name: str, seed: int, plan: list[Entry], faults: list[Entry], closing: Entry | None) -> str:
    """A day file."""
    day: dict[str, object] = {"name": name, "slot": "trouble", "seed": seed}
    if closing is not None:
        day["closing"] = closing
    day |= {"plan": plan, "faults": faults}
    return "".join(f"{key} = {toml_value(value)}\n" for key, value in day.items())


def entry(kind: str, fields: Entry, at: float, service: str) -> Entry:
    """One entry of a day; empty variants are left out."""
    made: Entry = {"at": round(at, 2), "kind": kind, **{k: v for k, v in fields.items() if v != ""}}
    if kind in SERVICE_KINDS:
        made.setdefault("service", service)
    return made


def single_days(services: list[str], random: Random) -> dict[str, str]:
    """One day for each variant of each kind: it comes twice, with changes of the configuration meanwhile."""
    days = {}
    for kinds, planned in ((FAULT_KINDS, False), (PLANNED_KINDS, True)):
        for kind, variants in kinds.items():
            for number, fields in enumerate(variants):
                name = f"{kind}-{number}-{str(fields.get('how', '')).replace(' ', '-') or 'plain'}"
                times = random.uniform(2.0, 5.0), random.uniform(12.0, 16.0)
                entries = [entry(kind, fields, at, random.choice(services)) for at in times]
                plan = [entry("config_change", {"how": "route"}, at, "") for at in (1.0, times[0] + 1, 18.0)]
                plan += entries if planned else []
                faults = [] if planned else entries
                days[name] = day_text(name, random.getrandbits(27), plan, faults, random.choice(CLOSINGS))
    return days


def overlapping_day(name: str, services: list[str], random: Random) -> str:
    """Four to eight of the worst kinds at times that lie close together."""
    began = random.uniform(FIRST_S, LAST_S - 8.0)
    faults, plan = [], []
    for _ in range(random.randint(3, 6)):
        kind = random.choice(WORST)
        fields = dict(random.choice(FAULT_KINDS[kind]))
        if kind in CROSSED:
            fields["how"] = (str(fields.get("how", "")) + random.choice(CROSSINGS)).strip()
        fields["for_s"] = round(random.uniform(1.0, 9.0), 1)
        faults.append(entry(kind, fields, began + random.uniform(0.0, 8.0), random.choice(services)))
    for _ in range(random.randint(1, 3)):
        kind = random.choice(WORST_PLANNED)
        fields = dict(random.choice(PLANNED_KINDS[kind]))
        plan.append(entry(kind, fields, began + random.uniform(0.0, 8.0), random.choice(services)))
    return day_text(name, random.getrandbits(27), plan, faults, random.choice(CLOSINGS))


def forgotten_drain_day(name: str, services: list[str], random: Random) -> str:
    """Workers drain while dispatchers are cut off from the core; then all of the core loses power at once."""
    cut_at = random.uniform(FIRST_S, LAST_S - 10.0)
    cut_s = random.uniform(4.0, 7.0)
    drains_at = cut_at + random.uniform(0.3, 1.5)
    power_at = cut_at + cut_s - random.uniform(0.2, 2.0)
    faults = [
        entry("node_cut", {"share": 0.6, "for_s": round(cut_s, 1)}, cut_at, ""),
        entry("herd_kill", {"on": "core", "how": "off", "for_s": 0.6}, power_at, ""),
    ]
    plan = [
        entry("scale_in", {"share": 0.5}, drains_at, service)
        for service in random.sample(services, k=len(services))
    ]
    return day_text(name, random.getrandbits(27), plan, faults, None)


CORE_MACHINES = 3
REPLACEMENT_INTERVAL_S = 9.0


def turnover_day(name: str, random: Random) -> str:
    """Every core machine is replaced in turn while dispatchers are cut off from the core or stand still."""
    first_at = round(random.uniform(1.0, 2.0), 1)
    kind = random.choice(["node_cut", "node_cut", "node_freeze"])
    how = random.choice(["", "all"]) if kind == "node_cut" else ""
    away = {"on": "front", "count": random.choice([1, 1, 2]), "for_s": 22.0, "how": how}
    plan = [entry("config_storm", {"gap_s": 0.9, "for_s": 32.0, "how": "route"}, 0.5, "")]
    faults = [entry(kind, away, first_at - 0.5, "")]
    for number in range(CORE_MACHINES):
        replacement = {"x": round(random.uniform(0.5, 3.0), 1), "how": "oldest"}
        faults.append(entry("replace_core", replacement, first_at + number * REPLACEMENT_INTERVAL_S, ""))
    return day_text(name, random.getrandbits(27), plan, faults, random.choice(CLOSINGS))


OTHER_BOUNDS = {
    "touch_ms": "4000",
    "ack_ms": "5000",
    "drain_ms": "2500",
    "config_ms": "2500",
    "grace_s": "6.0",
    "recover_s": "15.0",
}


def with_five_voters(site: str) -> str:
    """Five core machines, of which two may lose their disks: one more in each of the first two zones."""
    more = re.sub(r'(class = "core", zone = "[^"]*", count = )1\b', r"\g<1>2", site, count=2)
    return re.sub(r"(\[tolerate\]\nmachines = )1\b", r"\g<1>2", more)


def with_other_bounds(site: str) -> str:
    """The bounds of OTHER_BOUNDS in place of the site's."""
    for name, value in OTHER_BOUNDS.items():
        site = re.sub(rf"^{name} = .*$", f"{name} = {value}", site, flags=re.MULTILINE)
    return site


VARIANTS = {"five": with_five_voters, "bounds": with_other_bounds}


def play_one(bench: Path, site: Path, day: Path, why: str) -> str:
    """Plays one day; what is wrong with it, or an empty text."""
    command = [str(bench), "run", str(site), str(day), "--why", why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    found = re.search(r"^snapshot (\w+)", done.stdout, re.MULTILINE)
    if done.returncode not in (0, 1) or found is None:
        lines = (done.stdout + done.stderr).strip().splitlines()
        return f"not played: {lines[-1] if lines else done.returncode}"
    (path,) = Path("journal").glob(f"*-{found[1]}.json")
    (played,) = json.loads(path.read_text())["days"]
    problems = [f"{rule} {count}" for rule, count in played["rules"].items()]
    if played["fault"]:
        problems.append(f"fault: {played['fault']}")
    return ", ".join(problems) + (f" ({path.name})" if problems else "")


@click.group()
def main() -> None:
    """Days of our own for the fleet bench."""


@main.command()
@click.argument("site", type=click.Path(exists=True, path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder for the files.")
@click.option("--seed", default=1, show_default=True)
@click.option("--singles/--no-singles", default=True, show_default=True, help="Each variant of each kind.")
@click.option("--overlaps", default=30, show_default=True, help="Days that overlap the worst kinds.")
@click.option("--drains", default=0, show_default=True, help="Days with drains that a cut-off side misses.")
@click.option("--turnovers", default=0, show_default=True, help="Days on which the whole core is replaced.")
def write(
    site: Path, out: Path, seed: int, singles: bool, overlaps: int, drains: int, turnovers: int
) -> None:
    """Write the days as TOML files."""
    random = Random(seed)
    services = [service["name"] for service in tomllib.loads(site.read_text())["services"]]
    days = single_days(services, random) if singles else {}
    for number in range(overlaps):
        name = f"overlap-{seed}-{number}"
        days[name] = overlapping_day(name, services, random)
    for number in range(drains):
        name = f"drains-{seed}-{number}"
        days[name] = forgotten_drain_day(name, services, random)
    for number in range(turnovers):
        name = f"turnover-{seed}-{number}"
        days[name] = turnover_day(name, random)
    out.mkdir(parents=True, exist_ok=True)
    for name, text in days.items():
        (out / f"{name}.toml").write_text(text)
    click.echo(f"{len(days)} days in {out}")


@main.command()
@click.argument("bench", type=click.Path(exists=True, path_type=Path))
@click.argument("site", type=click.Path(exists=True, path_type=Path))
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
@click.option("--jobs", default=4, show_default=True)
@click.option("--why", default="days of our own", show_default=True)
def play(bench: Path, site: Path, folder: Path, jobs: int, why: str) -> None:
    """Play all days of a folder."""
    days = sorted(folder.glob("*.toml"))
    broken = 0
    with ThreadPoolExecutor(jobs) as pool:
        for day, problem in zip(days, pool.map(lambda d: play_one(bench, site, d, why), days), strict=True):
            broken += bool(problem)
            click.echo(f"{day.stem}: {problem or 'nothing broken'}")
    click.echo(f"{len(days)} days, {broken} with something broken")
    sys.exit(1 if broken else 0)


@main.command()
@click.argument("site", type=click.Path(exists=True, path_type=Path))
@click.argument("kind", type=click.Choice(list(VARIANTS)))
@click.option("--out", type=click.Path(path_type=Path), required=True, help="The file to write.")
def variant(site: Path, kind: str, out: Path) -> None:
    """Write a variant of a site: `five` voters with tolerance 2, or other `bounds`."""
    text = VARIANTS[kind](site.read_text())
    out.write_text(re.sub(r'^name = "[^"]*"', f'name = "{out.stem}"', text, count=1))


if __name__ == "__main__":
    main()
