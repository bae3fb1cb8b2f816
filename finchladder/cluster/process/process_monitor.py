"""Logs when the event loop stood still, and when the process uses much of its memory."""

import asyncio
import os
from collections.abc import Callable

from attrs import define, field

from finchladder.cluster.process.log import event
from finchladder.cluster.transport.peers import steady

CHECK_INTERVAL_S = 1.0
MIN_STALL_S = 0.25  # delay of the check from which a stall is logged
HIGH_MEMORY_FRACTION = 0.6  # of the memory limit
MEMORY_FILE = "/proc/self/statm"  # sizes in pages; the second field is the resident memory


def resident_bytes() -> int:
    """Returns the resident memory of this process; 0 if it is unknown."""
    try:
        with open(MEMORY_FILE, encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


@define
class ProcessMonitor:
    """Checks the event loop and the memory once a second.

    Attributes:
        memory_limit_bytes: Memory at which the platform kills the process; 0 if it is unknown.
        resident_bytes: Returns the resident memory of the process.
    """

    memory_limit_bytes: int
    resident_bytes: Callable[[], int] = resident_bytes
    _is_memory_high: bool = field(default=False, init=False)

    async def run(self) -> None:
        """Checks periodically."""
        while True:
            expected_at = steady() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check_stall(steady() - expected_at)
            self._check_memory()

    def _check_stall(self, delay_s: float) -> None:
        if delay_s >= MIN_STALL_S:
            event("process.stalled", stalled_s=round(delay_s, 2))

    def _check_memory(self) -> None:
        """Logs once when the resident memory becomes high."""
        resident = self.resident_bytes()
        is_high = 0 < self.memory_limit_bytes * HIGH_MEMORY_FRACTION < resident
        if is_high and not self._is_memory_high:
            event(
                "process.memory_high",
                resident_mb=resident // 10**6,
                limit_mb=self.memory_limit_bytes // 10**6,
            )
        self._is_memory_high = is_high
