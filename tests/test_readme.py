"""The example of README.md runs as it stands."""

import contextlib
import io
import re
from pathlib import Path


def test_the_example_runs_and_sends_the_job() -> None:
    text = (Path(__file__).resolve().parent.parent / "README.md").read_text()
    [code] = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(compile(code, "README.md", "exec"), {})
    assert re.search(r"^send job-1 to w[123]$", out.getvalue(), re.MULTILINE)
