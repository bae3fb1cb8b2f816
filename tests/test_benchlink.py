"""The bench adapter: parsed input, formatted output, and its exit on malformed input."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from finchladder.cli.benchlink import WRITERS
from finchladder.core import api

ROOT = Path(__file__).resolve().parent.parent
FACTS = {
    "accounts": [{"name": "t1", "quotaRps": 10.0, "portion": 1.0}],
    "az": "a",
    "balancers": 2,
    "caps": {
        "cancel": True,
        "peers": True,
        "probes": True,
        "secondCopies": True,
        "tryLimit": 3,
        "retryAfter": True,
        "maxRetryAfterS": 1.5,
    },
    "familyInfo": {"classKind": [-1, 0], "classStretch": [2.0, 2.5], "progressS": 1.0, "tellsStart": True},
    "flavors": ["std"],
    "invariants": {
        "askWithinS": 10.0,
        "coldFrom": 0.2,
        "coldS": 10.0,
        "drainGraceS": 1.0,
        "fallMultiple": 3.0,
        "fallS": 1.0,
    },
    "prices": {"peer": 0.01},
    "registryMode": "ask",
    "selfIndex": 0,
    "services": [
        {"giveUpS": 5.0, "idempotency": "retryable", "importance": 1.0, "name": "s", "onTimeS": 0.5},
        {"giveUpS": 5.0, "idempotency": "fragile", "importance": 1.0, "name": "u", "onTimeS": 0.5},
    ],
    "tickS": 0.002,
    "zones": ["a", "b"],
    "a key from a later version": {"of": "the wire"},
}
LIST = "LIST\t0\t1\nENTRY\tlive\t1\t-\tstd\ta\t0\t10.0.0.1:80\nBACKENDS_CHANGED\t3\tstale_copy\t1\t0\n"
REQ = "98fe642d5d3a91c4"
DEMAND = f"DEMAND\t3\t{REQ}\t1\ts\t1\t-\t-\t42\t5\t-\n"


def born(facts: object = FACTS) -> str:
    return f"BORN\t3\t7\t{json.dumps(facts)}\n"


def batch(body: str, now: float = 8.5) -> str:
    return f"BEGIN_BATCH\t{now}\n{body}EOB\n"


def run(text: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "finchladder.cli.benchlink"]
    return subprocess.run(command, input=text, capture_output=True, text=True, cwd=ROOT, check=False)


def test_a_request_is_dispatched_and_its_end_accepted() -> None:
    ended = f"REPORT_BACK\t3\t{REQ}\t10.0.0.1:80\t1\t-\tsuccess\t0.02\t0\tx0:3,made_up:9\n"
    done = run(batch(born() + LIST + DEMAND) + batch(ended, 8.6) + batch("KILLED\t3\n", 8.7))
    assert (done.returncode, done.stderr) == (0, "")
    assert f"DISPATCH\t3\t{REQ}\t0.000000\t10.0.0.1:80\n" in done.stdout
    assert "WATCH\t3\t1\n" in done.stdout
    assert done.stdout.count("EOR\n") == 3


def test_the_end_of_input_ends_the_adapter_without_output() -> None:
    done = run("")
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")


def test_an_unknown_ending_is_treated_as_possibly_executed() -> None:
    demand = DEMAND.replace("\ts\t", "\tu\t")
    ended = f"REPORT_BACK\t3\t{REQ}\t10.0.0.1:80\t0\t-\tmelted\t0.02\t0\t-\n"
    done = run(batch(born() + LIST + demand) + batch(ended, 8.6))
    assert f"FINISH_ERROR\t3\t{REQ}\n" in done.stdout


def without(name: str) -> dict[str, object]:
    return {k: v for k, v in FACTS.items() if k != name}


@pytest.mark.parametrize(
    "text",
    [
        "hello\n",
        "BEGIN_BATCH\tsoon\nEOB\n",
        "BEGIN_BATCH\t1.0\n",
        batch(born() + "MYSTERY\t3\n"),
        batch(born() + LIST + "DEMAND\t3\tabc\n"),
        batch(born() + "LIST\t0\t2\nENTRY\tlive\t1\t-\tstd\ta\t0\t10.0.0.1:80\n"),
        batch(born() + "LIST\t0\t1\nENTRY\tasleep\t1\t-\tstd\ta\t0\t10.0.0.1:80\n"),
        batch(born() + "BACKENDS_CHANGED\t3\twhole\t1\t9\n"),
        batch(DEMAND),
        batch("BORN\t3\t7\t{not json\n"),
        batch(born(without("services"))),
        batch(born(without("invariants"))),
        batch(born()).replace("EOB\n", "EO"),
        batch(born(FACTS | {"tickS": 0})),
    ],
)
def test_malformed_input_ends_the_adapter_with_one_message(text: str) -> None:
    done = run(text)
    assert done.returncode != 0
    assert done.stderr.startswith("benchlink: ")
    assert done.stderr.count("\n") == 1


def test_an_exception_in_a_decision_is_reported_in_the_protocol() -> None:
    code = (
        "from finchladder.cli import benchlink\n"
        "def broken(self, now, event): raise RuntimeError('two\\nlines')\n"
        "benchlink.Dispatcher.handle = broken\n"
        "benchlink.main()\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], input=batch(born() + LIST), capture_output=True, text=True, cwd=ROOT
    )
    assert "FATAL\t3\tRuntimeError: two lines\n" in done.stdout
    assert done.stdout.endswith("EOR\n")


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (api.Send("r1", "w1", timeout_s=0.5), "DISPATCH\t7\tr1\t0.500000\tw1\n"),
        (api.SetTimer(0.25, 1), "SLEEP\t7\t0.250000\t1\n"),
        (api.Cancel("r1", 2), "UNDO_SEND\t7\tr1\t2\n"),
        (api.Reject("r1", 1.5), "REJECT\t7\tr1\t1.500000\n"),
        (api.Fail("r1"), "FINISH_ERROR\t7\tr1\n"),
        (api.Subscribe(False), "WATCH\t7\t0\n"),
        (api.Broadcast(b"ab"), "BROADCAST_TO\t7\tall\tYWI=\n"),
        (api.Log("text"), "LOG\t7\ttext\n"),
    ],
)
def test_each_action_is_formatted_as_its_line(action: api.Action, line: str) -> None:
    assert WRITERS[type(action)]("7", action) == line
