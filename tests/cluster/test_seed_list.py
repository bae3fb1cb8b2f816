"""Seeds that are read again from a settings file that changes while the process runs."""

import asyncio
import json
from itertools import pairwise
from pathlib import Path

import pytest

from finchladder.cluster.process import seed_list
from finchladder.cluster.process.seed_list import REFRESH_INTERVAL_S, SeedList
from finchladder.cluster.process.settings import SettingsFile
from finchladder.cluster.types.errors import InvalidSettingsError
from finchladder.lab.cluster.virtual import run

FORMER, LATER = ("127.0.0.1:1",), ("127.0.0.2:1", "127.0.0.3:1")
SETTINGS = """
node_name = "edge-1"
ip = "127.0.0.9"
zone = "z"
port_range = [1, 1]
seeds = {seeds}
[listen]
"""

WRONG_BOUND = SETTINGS.format(seeds="[]").replace("[listen]", "[listen]\n[bounds]\ndrain_ms = []").encode()


def settings_text(*hosts: str) -> str:
    return SETTINGS.format(seeds=json.dumps([f"{host}:7000" for host in hosts]))


def test_a_settings_file_is_parsed_again_only_if_it_has_changed(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(settings_text("127.0.0.1"))
    file = SettingsFile(str(path))
    assert file.load().seed_peer_addresses == FORMER
    assert file.load_if_changed() is None
    path.write_text(settings_text("127.0.0.2", "127.0.0.3"))
    changed = file.load_if_changed()
    assert changed is not None and changed.seed_peer_addresses == LATER
    assert file.load_if_changed() is None


@pytest.mark.parametrize("unusable", [None, b"", b"node_name", b"\xff", b"node_name = 1\n", WRONG_BOUND])
def test_an_unusable_settings_file_keeps_the_seeds_until_it_is_usable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, unusable: bytes | None
) -> None:
    events: list[str] = []
    monkeypatch.setattr(seed_list, "event", lambda kind, **fields: events.append(kind))
    path = tmp_path / "boot.toml"
    path.write_text(settings_text("127.0.0.1"))
    file = SettingsFile(str(path))
    file.load()

    def read() -> tuple[str, ...] | None:
        changed = file.load_if_changed()
        return None if changed is None else changed.seed_peer_addresses

    seeds = SeedList(FORMER, read)
    if unusable is None:
        path.unlink()
    else:
        path.write_bytes(unusable)
    seeds.refresh()
    assert seeds.addresses == FORMER and events == ["seeds.unreadable"]
    path.write_text(settings_text("127.0.0.2", "127.0.0.3"))
    seeds.refresh()
    assert seeds.addresses == LATER and events == ["seeds.unreadable", "seeds.changed"]


def test_a_lasting_problem_is_logged_once_and_an_empty_list_is_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[str] = []
    monkeypatch.setattr(seed_list, "event", lambda kind, **fields: events.append(kind))

    def fail() -> tuple[str, ...]:
        raise InvalidSettingsError("open settings", "boot.toml", "no such file")

    seeds = SeedList(FORMER, fail)
    seeds.refresh()
    seeds.refresh()
    assert events == ["seeds.unreadable"]
    seeds.read = lambda: ()
    seeds.refresh()
    assert seeds.addresses == FORMER and events == ["seeds.unreadable"]


def test_the_settings_are_read_at_most_once_in_each_interval() -> None:
    reads: list[float] = []

    def read() -> None:
        reads.append(asyncio.get_running_loop().time())

    async def work() -> None:
        seeds = SeedList(FORMER, read)
        for _ in range(100):
            seeds.refresh_if_due()
            await asyncio.sleep(REFRESH_INTERVAL_S / 10)

    run(work())
    assert 9 <= len(reads) <= 11
    assert all(later - earlier >= REFRESH_INTERVAL_S for earlier, later in pairwise(reads))
