"""The system's build script installs all packages or is repeated; a stub replaces pip."""

import signal
import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parents[1]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
SHELL_KILLED = 128 + signal.SIGKILL
SCRIPT = ROOT / "deploy" / "build_system.sh"

# creates a folder in its target for each line of the list; is killed or fails after a given package
PIP_STUB = """\
#!/bin/sh
if [ "$1" = -c ]; then echo "$INTERPRETER"; exit 0; fi
while [ "$1" != --target ]; do shift; done
target=$2
shift 3
echo run >> pip-runs
for package in $(cat "$1"); do
    mkdir -p "$target/$package"
    if [ "$package" = "$DIES_AFTER" ]; then kill -9 "$PPID" $$; fi
    if [ "$package" = "$FAILS_AFTER" ]; then exit 1; fi
done
"""


class Checkout:
    """A checkout with three required packages, in which the build runs."""

    def __init__(self, root: Path) -> None:
        self.root = root
        (root / "deploy").mkdir()
        (root / "deploy" / SCRIPT.name).write_text(SCRIPT.read_text())
        (root / "bin").mkdir()
        python = root / "bin" / "python3"
        python.write_text(PIP_STUB)
        python.chmod(0o755)
        self.write_requirements("alpha", "beta", "gamma")

    def write_requirements(self, *packages: str) -> None:
        (self.root / "requirements-system.txt").write_text("".join(f"{package}\n" for package in packages))

    def build(self, interpreter: str = "CPython 3.11.2 x86_64", **environment: str) -> int:
        path = f"{self.root / 'bin'}:/usr/bin:/bin"
        environment = {"PATH": path, "INTERPRETER": interpreter, **environment}
        return subprocess.run(
            ["sh", "-c", DEPLOY["build"]], cwd=self.root, env=environment, check=False
        ).returncode

    def installed(self) -> set[str]:
        folder = self.root / "target" / "deps"
        return {path.name for path in folder.iterdir() if path.is_dir()} if folder.exists() else set()

    def pip_runs(self) -> int:
        return len((self.root / "pip-runs").read_text().splitlines())


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    return Checkout(tmp_path)


def test_a_build_installs_all_packages_and_the_next_one_installs_none(checkout: Checkout) -> None:
    assert checkout.build() == 0
    assert checkout.build() == 0
    assert checkout.installed() == {"alpha", "beta", "gamma"}
    assert checkout.pip_runs() == 1


@pytest.mark.parametrize("ending", ["DIES_AFTER", "FAILS_AFTER"])
def test_an_interrupted_build_is_repeated_by_the_next(checkout: Checkout, ending: str) -> None:
    assert checkout.build(**{ending: "beta"}) not in (0, None)
    assert checkout.installed() == set()
    assert checkout.build() == 0
    assert checkout.installed() == {"alpha", "beta", "gamma"}
    assert not (checkout.root / "target" / "deps.partial").exists()


def test_an_interrupted_build_leaves_the_earlier_packages_in_place(checkout: Checkout) -> None:
    checkout.build()
    checkout.write_requirements("alpha", "delta")
    assert checkout.build(DIES_AFTER="alpha") == SHELL_KILLED
    assert checkout.installed() == {"alpha", "beta", "gamma"}
    assert checkout.build() == 0
    assert checkout.installed() == {"alpha", "delta"}


def test_packages_of_an_earlier_build_without_a_marker_are_not_trusted(checkout: Checkout) -> None:
    (checkout.root / "target" / "deps" / "alpha").mkdir(parents=True)
    assert checkout.build() == 0
    assert checkout.installed() == {"alpha", "beta", "gamma"}


def test_another_interpreter_causes_a_new_installation(checkout: Checkout) -> None:
    checkout.build("CPython 3.11.2 x86_64")
    assert checkout.build("CPython 3.13.5 x86_64") == 0
    assert checkout.pip_runs() == 2


def test_the_list_pins_all_dependencies_of_its_packages() -> None:
    """Guards against packages that pip installs in an unpinned version."""
    from importlib.metadata import requires

    from packaging.requirements import Requirement
    from packaging.utils import canonicalize_name

    lines = (ROOT / "requirements-system.txt").read_text().splitlines()
    pinned = {canonicalize_name(line.partition("==")[0]) for line in lines if "==" in line}
    for name in sorted(pinned):
        for text in requires(name) or []:
            requirement = Requirement(text)
            if requirement.marker is None or requirement.marker.evaluate({"extra": ""}):
                assert canonicalize_name(requirement.name) in pinned, f"{name} needs {requirement.name}"


def shared_libraries(path: Path) -> set[str]:
    listed = subprocess.run(["ldd", str(path)], capture_output=True, text=True, check=False).stdout
    return {line.split()[0] for line in listed.splitlines() if "=>" in line}


DEBIAN_PACKAGES = {
    "libc.so.6": "libc6",
    "libm.so.6": "libc6",
    "libpthread.so.0": "libc6",
    "libdl.so.2": "libc6",
    "librt.so.1": "libc6",
    "libgcc_s.so.1": "libgcc-s1",
    "libstdc++.so.6": "libstdc++6",
}


def extension_modules() -> list[Any]:
    from importlib.metadata import files

    lines = (ROOT / "requirements-system.txt").read_text().splitlines()
    names = [line.partition("==")[0] for line in lines if "==" in line]
    return [file.locate() for name in names for file in files(name) or [] if ".so" in file.suffixes]


def test_the_shared_libraries_of_all_wheels_are_in_listed_system_packages() -> None:
    modules = extension_modules()
    needed = set().union(*(shared_libraries(Path(module)) for module in modules))
    assert len(modules) > 5
    assert {DEBIAN_PACKAGES[library] for library in needed} <= set(DEPLOY["packages"])
