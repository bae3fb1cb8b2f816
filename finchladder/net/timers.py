"""Timers on a timing wheel: most are canceled, and an event loop timer for each would cost far more."""

from collections.abc import Callable, Hashable

from loguru import logger
from tornado.ioloop import IOLoop

from finchladder.core.timing_wheel import TimingWheel

RESOLUTION_S = 0.01  # seconds by which a timer's function may be called late


class Timers:
    """One timer per key. All operations are O(1), except the wheel's tick every RESOLUTION_S."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.wheel: TimingWheel[tuple[float, Hashable, Callable[[], object]]] = TimingWheel(RESOLUTION_S)
        self.is_ticking = False

    def schedule(self, key: Hashable, at: float, call: Callable[[], object]) -> None:
        """Schedules `call` at `at`, in seconds of the clock; replaces the key's earlier timer."""
        self.wheel.put(key, (at, key, call), at)
        if not self.is_ticking:
            self.is_ticking = True
            IOLoop.current().call_later(RESOLUTION_S, self._tick)

    def cancel(self, key: Hashable) -> None:
        """Cancels a key's timer, if there is one."""
        self.wheel.drop(key)

    def _tick(self) -> None:
        now = self.clock()
        for at, key, call in self.wheel.pop_due(now):
            if at > now:  # due later within this slot, or beyond the range of the wheel
                self.wheel.put(key, (at, key, call), max(at, now + RESOLUTION_S))
                continue
            try:
                call()
            except Exception:  # the other timers must still run
                logger.exception("a timer died")
        self.is_ticking = len(self.wheel) > 0
        if self.is_ticking:
            IOLoop.current().call_later(RESOLUTION_S, self._tick)
