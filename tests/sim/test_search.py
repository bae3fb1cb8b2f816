"""The program in the simulator: 200 seeds violate no rule, and a seed gives the same run in any process."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from finchladder.sim import trace
from finchladder.sim.plan import draw
from finchladder.sim.search import results

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("first", [1, 51, 101, 151])
def test_no_seed_breaks_a_rule(first: int) -> None:
    """The four cases cover 200 seeds."""
    for r in results(range(first, first + 50), jobs=1):
        assert r.outcome is not None, r.error
        assert r.outcome.violation is None, f"seed {r.seed}: {r.outcome.violation}"


def test_a_seed_gives_the_same_bytes_in_another_process_and_as_one_of_several(tmp_path: Path) -> None:
    here = {seed: b"\n".join(trace.record(draw(seed))[0]) + b"\n" for seed in (5, 16)}
    for n, hash_seed in enumerate(("0", "12345")):
        env = os.environ | {"PYTHONHASHSEED": hash_seed}
        for seed, expected in here.items():
            out = tmp_path / f"{seed}-{n}.jsonl"
            words = ["run", "--seed", str(seed), "--out", str(out)]
            command = [sys.executable, "-m", "finchladder", "sim", *words]
            subprocess.run(command, cwd=ROOT, env=env, check=True, capture_output=True)
            assert out.read_bytes() == expected
    digests = {r.seed: r.outcome.digest for r in results(range(5, 17), jobs=3) if r.outcome is not None}
    for seed, expected in here.items():
        assert digests[seed] in expected.decode()
