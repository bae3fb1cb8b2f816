"""The command `etcd`: the commands of the operators' page, leases and errors."""

import asyncio
import contextlib
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from finchladder.lab.etcd.server import Etcd
from finchladder.lab.etcd.store import Keys, Range
from tests.etcd.test_follow import run_limited, until

ROOT = Path(__file__).resolve().parents[2]
RUN = f"{sys.executable} -m finchladder"


@contextlib.asynccontextmanager
async def etcd(members: int = 1) -> AsyncIterator[Etcd]:
    found = Etcd(members)
    await found.open()
    yield found
    found.close()


def there(e: Etcd, kind: str = "members") -> dict[str, bytes]:
    at = f"/finchladder/{kind}/".encode()
    kvs = e.cluster.store.range(Range(Keys(at, at[:-1] + b"0"))).kvs
    return {kv.key[len(at) :].decode(): kv.value for kv in kvs}


async def shell(command: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_shell(
        command, cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
    )
    out, error = await process.communicate()
    return process.returncode or 0, out.decode(), error.decode()


def test_the_commands_of_the_page_work_on_an_empty_etcd() -> None:
    page = (ROOT / "docs/ETCD.md").read_text()
    blocks: list[tuple[str, list[str]]] = []
    for line in page.splitlines():
        if line.startswith("    $ finchladder etcd") or line.startswith(("    $ curl", "    $ URL")):
            blocks.append((line.removeprefix("    $ "), []))
        elif line.startswith("    ") and blocks and "etcd" in blocks[-1][0]:
            blocks[-1][1].append(line[4:])
        elif blocks and not line.startswith("    "):
            blocks.append(("", []))

    async def work() -> None:
        async with etcd() as e:
            url = e.servers[0].url
            setting = ""
            for command, says in blocks:
                if command.startswith("URL="):
                    setting = command.replace("http://127.0.0.1:2379", url) + "; "
                elif command.startswith("curl"):
                    assert (await shell(setting + command.replace("-s ", "-sf ")))[0] == 0, command
                elif command:
                    told = command.replace("finchladder etcd", f"{RUN} etcd --endpoint {url}")
                    status, out, error = await shell(told)
                    assert (status, out.splitlines(), error) == (0, says, ""), command
            assert list(there(e)) == ["s-bruno"]
            assert there(e, "drain") == {}
            auth = e.cluster.auth
            auth.add_user("root", "r", ["root"])
            auth.enable()
            token = auth.authenticate(0.0, "dispatcher", "change-me-4711")
            auth.check(0.0, token, Keys(b"/finchladder/", b"/finchladder0"))

    run_limited(work())


def test_a_lease_is_renewed_replaced_and_revoked() -> None:
    async def work() -> None:
        async with etcd(2) as e:
            urls = " ".join(f"--endpoint {s.url}" for s in e.servers)
            process = await asyncio.create_subprocess_shell(
                f"exec {RUN} etcd {urls} register --name a --address 127.0.0.1:1 --ttl 1 --drain 60",
                cwd=ROOT,
                stderr=asyncio.subprocess.PIPE,
            )
            await until(lambda: b'"ready"' in there(e).get("a", b""))
            store = e.cluster.store
            store.revoke(next(iter(store.leases)))  # as after a long network failure
            assert there(e) == {}
            await until(lambda: b'"ready"' in there(e).get("a", b""))
            e.cluster.cut(0)
            renewed = next(iter(store.leases.values())).ends
            # renewed through the other endpoint
            await until(lambda: next(iter(store.leases.values())).ends > renewed + 1.0)
            process.send_signal(signal.SIGTERM)
            await until(lambda: b'"draining"' in there(e).get("a", b""))
            process.send_signal(signal.SIGTERM)
            await process.wait()
            assert process.returncode == 0
            assert there(e) == {}
            assert not store.leases

    run_limited(work())


@pytest.mark.parametrize(
    ("command", "status", "says"),
    [
        ("drain a/b", 2, "can't be the name"),
        ("put --name a --address host:1", 2, "unusable address"),
        ("--endpoint ftp://x list", 2, "unusable URL"),
        ("--user u list", 2, "password_file"),
        ("--endpoint http://127.0.0.1:1 list", 1, "Connection refused"),
        ("import /nowhere", 2, "No such file"),
        ("import pyproject.toml", 2, "pyproject.toml"),
    ],
)
def test_errors_are_reported_in_one_line(command: str, status: int, says: str) -> None:
    done = asyncio.run(shell(f"{RUN} etcd {command}"))
    assert done[0] == status and says in done[2] and done[2].count("\n") == 1, done


def test_import_accepts_the_list_of_a_platform_file() -> None:
    async def work() -> None:
        async with etcd() as e:
            command = f"{RUN} etcd --endpoint {e.servers[0].url} import examples/config.json"
            status, out, _ = await shell(command)
            assert status == 0
            assert out == f"{len(there(e))} real servers listed\n"

    run_limited(work())
