"""The operator's file: the options that it sets, and the error for an invalid one."""

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
        (  # a class inherits from [door], also if its section comes first
            "[door.a]\nrate = 50\n[door]\nrate = 60\nburst = 90",
            Options(door=DoorOptions(60, 90, 4096), door_of={"a": DoorOptions(50, 90, 4096)}),
        ),
    ],
)
def test_a_section_turns_its_feature_on(tmp_path: Path, text: str, options: Options) -> None:
    assert read(tmp_path, text) == options


def test_the_deployed_configuration_enables_only_capture() -> None:
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


def test_serve_loads_only_deployed_modules_and_no_other_command() -> None:
    """A dispatcher may have 32 MB only, so it loads no module of disabled features or other commands."""
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
def test_the_config_option_may_precede_or_follow_the_command(args: list[str]) -> None:
    command, parsed = front.parse(args)
    assert (parsed.config, command) == ("a", serve)
    assert front.parse([])[1].config is None


@pytest.mark.parametrize("file", sorted((ROOT / "deploy").glob("*.ini")), ids=lambda p: p.name)
def test_the_deployed_files_are_valid(file: Path) -> None:
    read_options(str(file)).check(["roster-view", "roster-confirm"], 32)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("rate = 1", "section"),
        ("[nope]", "[nope]: unknown section"),
        (
            "[DEFAULT]\nrate = 1",
            "[DEFAULT]: unknown section",
        ),  # configparser's default section would apply to all others
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
        ("[capture]\nring_bytes = 100000000", "bytes of memory, at most"),
        ("[status]\nretain_ms = 0", "> 0"),
        ("[status]\nmax_entries = 0", ">= 1"),
        ("[drill]\nkey =", "`str` matching"),  # an empty key would admit every client
        ("[door]\nmax_keys = 100000000", "bytes of memory, at most"),  # options can't exceed the memory
        ("[peers]\nmembers = n1=127.0.0.1:1", "[peers]: dispatcher is not among the 1 listed"),
        ("\xff", "utf-8"),
        (None, "No such file"),
    ],
)
def test_an_invalid_file_ends_the_program_with_one_line(
    tmp_path: Path, text: str | None, message: str
) -> None:
    file = tmp_path / "o.ini"
    if text is not None:
        file.write_bytes(text.encode("latin-1"))
    command = [sys.executable, "-m", "finchladder", "--config", str(file)]
    done = subprocess.run(
        command, env=os.environ | ENV, capture_output=True, text=True, cwd=ROOT, timeout=20, check=False
    )
    assert (done.returncode, done.stderr.count("\n"), done.stderr[:13]) == (2, 1, "finchladder: ")
    assert message in done.stderr
