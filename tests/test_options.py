"""The operator's file: what it gives, and how one that can't be used ends the program."""

import os
import shlex
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from finchladder import __main__
from finchladder.cli import front, serve
from finchladder.config.option_files import read_options
from finchladder.config.options import OFF, CaptureOptions, DoorOptions, DrillOptions, Options
from tests.peers import ROOT

ENV = {
    "NODE_LISTEN": "127.0.0.1:1",
    "NODE_DISCOVERY": "127.0.0.1:1",
    "NODE_CONFIG": str(ROOT / "examples" / "config.json"),
}


def read(tmp_path: Path, text: str) -> Options:
    (tmp_path / "o.ini").write_text(text)
    return read_options(str(tmp_path / "o.ini"))


@pytest.mark.parametrize(
    ("text", "options"),
    [
        ("", OFF),
        ("[door]", Options(door=DoorOptions(20, 40, 4096))),
        ('[drill]\nkey = 50%% of "it"', Options(drill=DrillOptions('50%% of "it"'))),
        ("[door]\nrate = 5\nmax_keys = 9", Options(door=DoorOptions(5, 40, 9))),
        ("[door.a]\nrate = 5", Options(door_of={"a": DoorOptions(5, 40, 4096)})),
        (  # what a class leaves unsaid holds as for all, also where its section stands first
            "[door.a]\nrate = 50\n[door]\nrate = 60\nburst = 90",
            Options(door=DoorOptions(60, 90, 4096), door_of={"a": DoorOptions(50, 90, 4096)}),
        ),
    ],
)
def test_a_section_turns_its_feature_on(tmp_path: Path, text: str, options: Options) -> None:
    assert read(tmp_path, text) == options


def test_in_service_capture_alone_is_on() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    command = shlex.split(deploy["run"])
    assert command[:4] == ["exec", ".venv/bin/python", "-m", "finchladder"]
    options = read_options(front.parse(command[4:])[1].config)
    assert options == Options(capture=CaptureOptions())
    assert options.memory_bytes() > 3 * 786_432 - 1
    script = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]["finchladder"]
    assert script == f"{__main__.__name__}:main"
    assert __main__.main is front.main
    assert "-e ." in deploy["build"]


def test_what_serves_is_named_in_deploy_and_loads_no_other_command() -> None:
    """Nor the standard library's HTTP client or difflib, and nothing of the lab: it lives in 32 MB."""
    code = """if True:
        import sys
        from finchladder.cli.front import parse
        parse([])
        for name, module in sys.modules.items():
            print(name, module.__file__ if name.startswith("finchladder") else "")
    """
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    loaded = dict(line.split(" ", 1) for line in done.stdout.splitlines())
    commands = {m for m in loaded if m.startswith("finchladder.cli.")}
    assert commands == {"finchladder.cli.front", "finchladder.cli.serve"}
    assert not loaded.keys() & {"http.client", "difflib", "finchladder.lab", "finchladder.features.replay"}
    assert not loaded.keys() & {
        "finchladder.core.membership.decisions",
        "finchladder.store",
        "finchladder.net.etcd",
    }
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = [ROOT / name for name in deploy["node"] + deploy["policy"]]
    units = {f for name in named for f in ([name] if name.suffix else name.rglob("*.py"))}
    assert {Path(file) for file in loaded.values() if file} <= units
    assert all(f.is_file() for f in units)


@pytest.mark.parametrize("args", [["--config", "a"], ["serve", "--config", "a"], ["--config", "a", "serve"]])
def test_the_file_may_be_named_before_the_command_or_after_it(args: list[str]) -> None:
    command, parsed = front.parse(args)
    assert (parsed.config, command) == ("a", serve)
    assert front.parse([])[1].config is None


@pytest.mark.parametrize("file", sorted((ROOT / "deploy").glob("*.ini")), ids=lambda p: p.name)
def test_the_files_of_the_operators_can_be_used(file: Path) -> None:
    read_options(str(file)).check(["roster-view", "roster-confirm"], 32)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("rate = 1", "section"),
        ("[nope]", "[nope]: unknown section"),
        ("[DEFAULT]\nrate = 1", "[DEFAULT]: unknown section"),  # configparser would give it to all others
        ("[door.]", "[door.]: unknown section"),
        ("[door]\nrates = 1", "`rates`"),
        ("[door]\nRate = 1", "`Rate`"),
        ("[door]\nrate = 1\nrate = 2", "already exists"),
        ("[door]\nrate =", "`float`"),
        ("[door]\nrate = 0", "> 0"),
        ("[door]\nrate = nan", "> 0"),
        ("[door]\nburst = inf", "<= "),
        ("[door]\nburst = 19", "burst 19 is below rate 20"),
        ("[door.roster-view]\nrate = 41", "burst 40 is below rate 41"),
        ("[door.nosuch]", "no such class"),
        ("[door]\nmax_keys = 1.5", "`int`"),
        ("[capture]\nring_bytes = 1000", ">= 1024"),
        ("[capture]\nfolder =", "length >= 1"),
        ("[capture]\nring_bytes = 100000000", "is the most"),
        ("[status]\nretain_ms = 0", "> 0"),
        ("[status]\nmax_entries = 0", ">= 1"),
        ("[drill]\nkey =", "`str` matching"),  # an empty key would let everybody in
        ("[door]\nmax_keys = 100000000", "is the most"),  # memory stays bounded, whatever is asked for
        ("[peers]\nmembers = n1=127.0.0.1:1", "[peers]: dispatcher is none of the 1 that"),
        ("\xff", "utf-8"),
        (None, "No such file"),
    ],
)
def test_an_unusable_file_ends_with_one_line(tmp_path: Path, text: str | None, said: str) -> None:
    file = tmp_path / "o.ini"
    if text is not None:
        file.write_bytes(text.encode("latin-1"))
    command = [sys.executable, "-m", "finchladder", "--config", str(file)]
    done = subprocess.run(
        command, env=os.environ | ENV, capture_output=True, text=True, cwd=ROOT, timeout=20, check=False
    )
    assert (done.returncode, done.stderr.count("\n"), done.stderr[:13]) == (2, 1, "finchladder: ")
    assert said in done.stderr
