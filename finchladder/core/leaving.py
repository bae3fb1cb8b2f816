"""Leaving: what may still be taken and kept after SIGTERM. Times are in seconds of the caller's clock."""

IDLE_STAYS = 1.8  # clients use kept connections until then; other dispatchers may be leaving as well
AT_EASE, GONE_BY = 0.6, 3.5  # what comes later than the one after SIGTERM must be answered before the other


class Leaving:
    def __init__(self) -> None:
        self.at: float | None = None  # when SIGTERM came

    @property
    def begun(self) -> bool:
        return self.at is not None

    def begin(self, now: float) -> None:
        self.at = now

    def closing(self, now: float) -> bool:
        """Whether no connection of a client may be kept any more."""
        return self.at is not None and now > self.at + IDLE_STAYS

    def latest(self, now: float, deadline: float) -> float:
        """When SIGTERM came a while ago, SIGKILL may come before the client's time is up."""
        if self.at is not None and now > self.at + AT_EASE:
            return min(deadline, self.at + GONE_BY)
        return deadline
