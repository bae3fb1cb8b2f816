"""The log: text, or one JSON object a line with its bound fields."""

import io
import json
import logging
import re
from collections.abc import Iterator
from pathlib import Path

import pytest
from loguru import logger

from finchladder.cli import front
from finchladder.cli.serve import ToLoguru, log_to
from tests.peers import RealServer, exchange, node, request, run

TEXT = re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d\.\d{3} \| [A-Z ]{8} \| [\w.]+:\w+:\d+ - .+")
DRILL = b'{"class":"u","share":1,"for_s":60}'


@pytest.fixture(autouse=True)
def _restore_logger() -> Iterator[None]:
    yield
    logger.remove()
    logger.configure(extra={})


async def _logged(tmp_path: Path, *args: str) -> list[str]:
    """Returns the log of a run with a fault injection that aborts one job."""
    server = RealServer("w1")
    async with node(tmp_path, server, ini="[drill]\nkey = k\n", args=args) as n:
        more = "X-Drill-Key: k\r\n"
        assert (await exchange(n.port, request(path="/_drill", body=DRILL, more=more))).status == 200
        assert (await n.ask("a1", "/u/k")).status == 503
        n.process.terminate()
        assert await n.process.wait() == 0
    return (tmp_path / "log").read_text().splitlines()


def test_json_is_one_object_a_line_with_its_fields(tmp_path: Path) -> None:
    async def scenario() -> None:
        records = [json.loads(line)["record"] for line in await _logged(tmp_path, "--log-format", "json")]
        assert {r["extra"]["node"] for r in records} == {"n1"}
        [drill] = [r for r in records if "drill" in r["extra"]]
        assert drill["extra"] == {"node": "n1", "drill": "abort", "id": "a1", "class": "u"}
        assert (drill["message"], drill["level"]["name"]) == ("drill=abort class=u id=a1 hold=0", "INFO")
        assert records[-1]["message"] == "n1: left"

    run(scenario())


def test_text_is_the_default_and_has_no_bound_fields(tmp_path: Path) -> None:
    async def scenario() -> None:
        lines = await _logged(tmp_path)
        assert all(TEXT.fullmatch(line) for line in lines)
        assert sum(line.endswith(" - drill=abort class=u id=a1 hold=0") for line in lines) == 1

    run(scenario())


def test_a_traceback_stays_on_its_line_and_other_libraries_use_the_same_format() -> None:
    out = io.StringIO()
    log_to(out, "n1", "json")
    try:
        raise RuntimeError("two\nlines")
    except RuntimeError:
        logger.bind(server="w1").exception("died")
    ToLoguru().emit(logging.LogRecord("tornado", logging.WARNING, "", 0, "at %s", ("it",), None))
    first, second = map(json.loads, out.getvalue().splitlines())
    assert first["record"]["exception"]["value"] == "two\nlines"
    assert first["record"]["extra"] == {"node": "n1", "server": "w1"}
    assert (second["record"]["message"], second["record"]["level"]["name"]) == ("at it", "WARNING")


@pytest.mark.parametrize(
    ("args", "log_format"),
    [
        ([], "text"),
        (["serve"], "text"),
        (["--log-format", "json"], "json"),
        (["--log-format", "json", "--config", "a", "serve"], "json"),
        (["serve", "--log-format", "json"], "json"),
        (["--log-format", "json", "serve", "--log-format", "text"], "text"),
    ],
)
def test_the_log_format_option_may_precede_or_follow_the_command(args: list[str], log_format: str) -> None:
    assert front.parse(args)[1].log_format == log_format


@pytest.mark.parametrize("args", [["--log-format", "xml"], ["--log-format", "json", "replay", "f"]])
def test_an_invalid_log_format_is_rejected(args: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as e:
        front.parse(args)
    assert e.value.code == 2
    assert "--log-format" in capsys.readouterr().err
