"""Ends the processes of a run when the orchestrator is gone, however it died.

`python -m finchladder.lab.guard` reads `+PID` and `-PID`, a line each, on standard input: a process group
that has been started, or has ended. Once the input ends, which the orchestrator's death brings about, what is
left gets SIGKILL. That is in place of a signal that each child asks of the kernel between fork and exec: a
child that runs nothing there is started by vfork, in 3 ms where a fork of the orchestrator takes 13 and more.
"""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Iterable


def follow(lines: Iterable[str]) -> set[int]:
    """The groups that are left when the lines end. A line that is cut off by the end is none."""
    left: set[int] = set()
    for line in lines:
        if line.endswith("\n") and line[0] in "+-" and line[1:-1].isdecimal():
            (left.add if line[0] == "+" else left.discard)(int(line[1:]))
    return left


class Guard:
    """The orchestrator's end of it."""

    def __init__(self) -> None:
        # starts one after another: each is to be limited and pinned before the next one begins to run
        self.turn = asyncio.Lock()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "finchladder.lab.guard"], stdin=subprocess.PIPE, start_new_session=True
        )

    def started(self, pid: int) -> None:
        self._say(f"+{pid}\n")

    def ended(self, pid: int) -> None:
        self._say(f"-{pid}\n")

    def _say(self, line: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(line.encode())
        self.process.stdin.flush()

    def close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait()


def main() -> int:
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    for pid in follow(sys.stdin):
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(pid, signal.SIGKILL)
    return 0


if __name__ == "__main__":
    sys.exit(main())
