"""Experiments from files: what can't be used is one line with its place, before anything is started."""

from pathlib import Path

import msgspec
import pytest

from finchladder.config.settings import read_settings
from finchladder.core import api
from finchladder.lab import faults
from finchladder.lab.check import Unusable, load, override, place_servers
from finchladder.lab.ledger import Ledger
from finchladder.lab.settings import platform_settings

BENCHMARKS = Path(__file__).resolve().parents[2] / "benchmarks"
GOOD = """
name = "good"
zones = ["a", "b"]
dispatchers = 2

[[pool]]
kind = "big"
count = 2

[[pool]]
count = 3
zones = ["b"]

[[class]]
name = "view"
share = 0.75

[[class]]
name = "confirm"
share = 0.25
kind = "big"

[[load.phase]]
name = "day"
for_s = 10.0
rate = 50.0
"""


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "good.toml"
    path.write_text(GOOD)
    return path


@pytest.mark.parametrize(
    ("sets", "place", "text"),
    [
        (["nix=1"], "top", "unknown key nix"),
        (["pool.0.nix=1"], "pool.0", "unknown key nix"),
        (["load.phase.0.rate=-1"], "load.phase.0.rate", ">= 0"),
        (["load.phase.0.for_s='x'"], "load.phase.0.for_s", "Expected `float`"),
        (["load.phase.1.rate=1"], "load.phase.1.rate", "there is no load.phase.1"),
        (["name.x=1"], "name.x", "name is no table"),
        (["class.0.share=0.5"], "class", "add up to 0.75"),
        (["class.1.name=view"], "class", "view stands there twice"),
        (["class.1.kind=huge"], "class.1.kind", "no kind huge; there are , big"),
        (["class.0.aim_s=9.0"], "class.0.aim_s", "beyond the deadline"),
        (["class.0.patience_s=9.0"], "class.0.patience_s", "beyond the deadline"),
        (["class.0.slots=[0.5, 0.1]"], "class.0.slots", "add up to 1"),
        (["class.1.slots=[0.5, 0.0, 0.0, 0.5]"], "class.1.slots", "take 8 slots"),
        (
            ["class.0.memory=2.0", "pool.0.memory=1.0", "pool.1.memory=1.0"],
            "class.0.memory",
            "fit no real server",
        ),
        (["dispatcher_zones=['a', 'c']"], "dispatcher_zones", "no zone c"),
        (["load.zone_shares=[1.0]"], "load.zone_shares", "one for each of the 2 zones"),
        (["load.zone_shares=[0.5, 0.4]"], "load.zone_shares", "add up to 1"),
        (["pool.1.zones=['c']"], "pool.1.zones", "no zone c"),
        (["pool.0.speed=[2.0, 1.0]"], "pool.0.speed", "no range"),
        (["pool.0.speed=0.0"], "pool.0.speed", "above 0"),
        (["discovery.delay_s=nan"], "discovery.delay_s", "not a number"),
        (["zones=['a', 'a']"], "zones", "twice"),
        (["pool.0.cold_from=0.0"], "pool.0.cold_from", "above 0"),
        (["class=[]"], "class", "there is none"),
        (["load.phase.0.law=trace", "load.phase.0.trace=t"], "load.phase.0.law", "its own times"),
        (
            ["load.phase.0.rate=0.0", "load.phase.0.in_flight=2", "load.phase.0.to_rate=3.0"],
            "load.phase.0.to_rate",
            "closed loop",
        ),
        (["fault=[{kind='crash', within_s=[1.0, 11.0]}]"], "fault.0.within_s", "past the load"),
        (["fault=[{kind='crash', at_s=1.0, share=[0.5, 1.5]}]"], "fault.0.share", "between 0 and 1"),
        (["fault=[{kind='slow', at_s=1.0, size=0.0}]"], "fault.0.size", "above 0"),
        (
            ["network.on=true", "fault=[{kind='cut', at_s=1.0, between=['a', 'c']}]"],
            "fault.0.between",
            "no zone c",
        ),
        (["pool=[]"], "pool", "there is none"),
        (["load.phase=[]"], "load.phase", "there is none"),
        (["load.phase.0.counted=false"], "load.phase", "none of them is counted"),
        (["load.phase.0.skip_s=10.0"], "load.phase.0.skip_s", "nothing of it would count"),
        (["load.phase.0.rate=0.0"], "load.phase.0.rate", "no load"),
        (["load.phase.0.in_flight=3"], "load.phase.0.in_flight", "not both"),
        (["load.phase.0.classes={nix=1.0}"], "load.phase.0.classes.nix", "no such class"),
        (["load.phase.0.classes={view=0.5}"], "load.phase.0.classes", "add up to 0.5"),
        (["load.phase.0.law=trace", "load.phase.0.rate=0.0"], "load.phase.0.trace", "needs a file"),
        (["load.phase.0.trace=t"], "load.phase.0.trace", 'only with law = "trace"'),
        (
            ["load.phase.0.law=trace", "load.phase.0.rate=0.0", "load.phase.0.trace=nix"],
            "load.phase",
            "nix: No such file",
        ),
        (["fault=[{kind='crash', at_s=20.0}]"], "fault.0.at_s", "past the load"),
        (["fault=[{kind='crash', at_s=2.0, within_s=[1.0, 2.0]}]"], "fault.0.within_s", "either"),
        (["fault=[{kind='crash', within_s=[2.0, 1.0]}]"], "fault.0.within_s", "no range"),
        (["fault=[{kind='crash', at_s=2.0, count=2}]"], "fault.0.count", "drawn times"),
        (
            ["fault=[{kind='crash', at_s=2.0, target='w0006'}]"],
            "fault.0.target",
            "no w0006; there are n1 to n2",
        ),
        (["fault=[{kind='drain', at_s=2.0, target='n1'}]"], "fault.0.target", "drain strikes no dispatcher"),
        (
            ["fault=[{kind='roll', at_s=2.0, target='w0001'}]"],
            "fault.0.target",
            "roll strikes no real server",
        ),
        (["fault=[{kind='burst', at_s=2.0, target='n1'}]"], "fault.0.target", "burst has none"),
        (["fault=[{kind='crash', at_s=2.0, target='zone:c'}]"], "fault.0.target", "no zone c"),
        (["fault=[{kind='crash', at_s=2.0, target='kind:c'}]"], "fault.0.target", "no kind c"),
        (["fault=[{kind='errors', at_s=2.0, size=2.0}]"], "fault.0.size", "between 0 and 1"),
        (["fault=[{kind='vanish', at_s=2.0}]"], "fault.0.share", "above 0"),
        (["fault=[{kind='refuse', at_s=2.0}]"], "fault.0.kind", "network.on"),
        (["network.on=true", "fault=[{kind='cut', at_s=2.0}]"], "fault.0.between", "two zones"),
        (["program.null=true", "program.revision=HEAD"], "program", "only one of"),
        (["program.command=['/nix']"], "program.command", "/nix is not there"),
        (["program.revision=nix"], "program.revision", "has no nix"),
        (["program.config=nix.ini"], "program.config", "is no file"),
        (["program.cpus=[9999]"], "program.cpus", "processor 9999"),
        (["program.null=true", "fault=[{kind='crash', at_s=2.0}]"], "fault", "null target"),
        (["settings.caps.tryLimit=0"], "settings", "max_attempts"),
        (["settings.nix.limit=0"], "settings.nix.limit", "there is no nix"),
        (["program.sockets=1000000"], "program.sockets", "1000000 descriptors"),
        (["load.connections=1000000"], "load.processes", "descriptors"),
        (
            ["pool.0.count=100000", "program.sockets=128", "dispatchers=1000", "fleet_processes=64"],
            "dispatchers",
            "MB of memory",
        ),
        (["matrix={name=[]}"], "matrix", "not empty"),
        (["repeats=1001"], "matrix", "1000 are the most"),
        (["rate"], "--set rate", "KEY=VALUE"),
    ],
)
def test_unusable_is_one_line_with_its_place(file: Path, sets: list[str], place: str, text: str) -> None:
    # matrix is read before overrides, as it names them; so it is set by the file
    if sets[0].startswith("matrix"):
        file.write_text(f"{sets[0]}\n{GOOD}")
        sets = []
    with pytest.raises(Unusable) as caught:
        load(file, sets)
    line = str(caught.value)
    assert "\n" not in line
    assert f"{place}: " in line
    assert text in line
    if place not in ("--set rate",):
        assert line.startswith(f"{file}: {place}: ")


def test_a_trace_is_read_before_the_run(file: Path) -> None:
    sets = ["load.phase.0.law=trace", "load.phase.0.rate=0.0", "load.phase.0.trace=t"]
    for lines, text in (("1.0 view 1\n0.5 view 1\n", "t, line 2: earlier"), ("1.0 nix\n", "t, line 1: not")):
        (file.parent / "t").write_text(lines)
        with pytest.raises(Unusable, match=text):
            load(file, sets)
    (file.parent / "t").write_text("0.5 view 1\n0.5 confirm\n")
    [variant] = load(file, sets)
    assert Path(variant.experiment.load.phase[0].trace).is_absolute()  # processes have folders of their own


@pytest.mark.parametrize(
    ("text", "part"), [("a = \n", "line 1"), ("a = 1\na = 2\n", "line 2"), ("\xff", "utf-8")]
)
def test_a_file_that_is_no_toml_says_where(tmp_path: Path, text: str, part: str) -> None:
    path = tmp_path / "x.toml"
    path.write_text(text, "latin-1")
    with pytest.raises(Unusable, match=part):
        load(path)
    with pytest.raises(Unusable, match="No such file"):
        load(tmp_path / "nix.toml")


def test_matrix_repeats_and_overrides(file: Path) -> None:
    file.write_text(GOOD + '[matrix]\n"pool.0.count" = [1, 2]\n"load.phase.0.rate" = [5.0, 6.0]\n')
    found = load(file, ["pool.0.count=4", "settings.caps.tryLimit=2"], seed=7, repeats=2)
    assert [(v.label, v.experiment.seed) for v in found] == [
        ("rate-5.0_repeat-1", 7),
        ("rate-6.0_repeat-1", 7),
        ("rate-5.0_repeat-2", 8),
        ("rate-6.0_repeat-2", 8),
    ]
    assert [v.experiment.load.phase[0].rate for v in found] == [5.0, 6.0, 5.0, 6.0]
    assert all(v.experiment.pool[0].count == 4 for v in found)  # --set goes before the matrix
    assert found[0].settings == {"load.phase.0.rate": 5.0}
    assert platform_settings(found[0].experiment, 0)["caps"]["tryLimit"] == 2


def test_overrides_reach_lists_and_make_tables() -> None:
    tree: dict[str, object] = {"a": [{"b": 1}]}
    override(tree, "a.0.b", 2)
    override(tree, "c.d", 3)
    assert tree == {"a": [{"b": 2}], "c": {"d": 3}}


def test_the_program_reads_what_it_is_told(file: Path) -> None:
    [variant] = load(file)
    settings = read_settings(msgspec.json.encode(platform_settings(variant.experiment, 1)))
    assert (settings.zone, settings.zones, settings.index, settings.dispatchers) == ("b", ("a", "b"), 1, 2)
    assert [(c.name, c.kind, c.effect) for c in settings.classes] == [
        ("view", None, api.Effect.SAFE),
        ("confirm", "big", api.Effect.SAFE),
    ]
    assert (settings.slow_start_initial_share, settings.slow_start_s, settings.reports_start) == (
        0.3,
        8.5,
        True,
    )


def test_dispatchers_go_through_their_zones_in_turn(file: Path) -> None:
    for sets, zones in (
        (["dispatchers=3"], "aba"),
        (["dispatchers=3", "dispatcher_zones=['b', 'b', 'a']"], "bba"),
    ):
        [variant] = load(file, sets)
        e, ledger = variant.experiment, Ledger(variant.experiment)
        assert "".join(ledger.zone(name) for name in ledger.dispatchers) == zones
        assert "".join(platform_settings(e, i)["az"] for i in range(3)) == zones
        assert (
            "".join(link.from_zone for link in faults.links(e) if link.name.startswith("clients>")) == zones
        )


def test_real_servers_go_through_their_zones_in_turn(file: Path) -> None:
    placed = place_servers(load(file)[0].experiment)
    assert [(s.name, s.pool, s.zone) for s in placed] == [
        ("w0001", 0, "a"),
        ("w0002", 0, "b"),
        ("w0003", 1, "b"),
        ("w0004", 1, "b"),
        ("w0005", 1, "b"),
    ]


@pytest.mark.parametrize(
    ("fault", "of", "targets"),
    [
        ("kind='kill', target='n2'", "dispatchers", {"n2"}),
        ("kind='roll', target='all'", "dispatchers", {"n1", "n2"}),
        ("kind='pause', target='zone:b'", "dispatchers", {"n2"}),
        ("kind='kill', target='kind:big', share=1.0", "servers", {"w0001", "w0002"}),
        ("kind='pause', target='w0004'", "servers", {"w0004"}),
        ("kind='crash', share=1.0", "servers", {f"w000{i}" for i in range(1, 6)}),
        ("kind='crash', target='zone:a', share=1.0", "servers", {"w0001"}),
        (
            "kind='cut', between=['a', 'b']",
            "links",
            {"n2>w0001", "a>n2", "b>n1", "n1>w0002", "n1>w0003", "n1>w0004", "n1>w0005"},
        ),
        ("kind='refuse', target='w0001'", "links", {"n1>w0001", "n2>w0001"}),
        ("kind='vanish', share=0.5", "discovery", set()),
        ("kind='burst', size=2.0", "load", set()),
    ],
)
def test_faults_strike_whom_the_file_names(file: Path, fault: str, of: str, targets: set[str]) -> None:
    [variant] = load(file, ["network.on=true", f"fault=[{{at_s=1.0, {fault}}}]"])
    [strike] = faults.strikes(faults.draw(variant.experiment))
    assert (strike.at, strike.of, set(strike.targets)) == (1.0, of, targets)


def test_drawn_faults_follow_the_seed_alone(file: Path) -> None:
    sets = ["fault=[{kind='crash', count=9, within_s=[1.0, 9.0], for_s=[0.1, 3.0], share=[0.2, 0.9]}]"]
    one, again, other = (
        faults.strikes(faults.draw(load(file, sets, seed=s)[0].experiment)) for s in (1, 1, 2)
    )
    assert one == again
    assert one != other
    assert len(one) == 9
    assert [s.at for s in one] == sorted(s.at for s in one)


def test_all_shipped_experiments_can_be_used() -> None:
    names = [load(path, repeats=1)[0].experiment.name for path in sorted(BENCHMARKS.glob("*.toml"))]
    assert "demo" in names
    assert len(set(names)) == len(names)
