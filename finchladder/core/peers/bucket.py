"""Tokens of one dispatcher's part of a shared budget: no more than its right, in any window, over a restart.

A token comes each 1 / right seconds, up to `depth` of them; a start begins with none. Of one among many the
right is far less than a token a second, so a token that is whole and not used for HOLD_S is given up: else
all that were idle would use theirs in one second. In any window of W seconds all together take at most

    limit x W + sum of depths,    depth = 1 + right x (HOLD_S if right < 1 / HOLD_S else BURST_S)

so e = (dispatchers + limit x HOLD_S) / (limit x W) in the worst case, that all have a whole token at once;
of those that are idle HOLD_S / (HOLD_S + 1 / right) have one.
"""

BURST_S = 0.25  # of its right that one may save up beyond a whole token: jobs come unevenly
HOLD_S = 1.0
SMOOTH_S = 1.0  # over which the need is averaged


class Bucket:
    """`right` and when it ends are told by whoever keeps the escrow; nothing here asks anyone."""

    __slots__ = (
        "fixed",
        "right",
        "until",
        "level",
        "at",
        "whole_since",
        "asked",
        "asked_at",
        "need",
        "spent",
        "refused",
        "burst_s",
        "holds",
    )

    def __init__(
        self, fixed: float, now: float, level: float = 0.0, burst_s: float = BURST_S, holds: bool = False
    ) -> None:
        """`fixed`: tokens a second that are this one's whatever is heard. `holds`: whole ones stay, unused.

        `level` to begin with, below 0 if it is drawn: all that start at one moment must not come to their
        first token at one moment.
        """
        self.burst_s, self.holds = burst_s, holds
        self.fixed = self.right = fixed
        self.until = float("inf")  # after that the right is what is fixed
        self.level = level
        self.at = self.asked_at = now
        self.whole_since: float | None = None
        self.asked = 0  # since `asked_at`
        self.need = 0.0  # a second, averaged
        self.spent = self.refused = 0

    def allow(self, now: float, right: float, until: float) -> None:
        """Another right holds from now, to `until`; after that what is `fixed`."""
        self._fill(now)
        self.right, self.until = right, until

    def allowed(self, now: float) -> float:
        """What may be used at that time, a second, if nothing else is told until then."""
        return self.right if now <= self.until else min(self.right, self.fixed)

    def left(self, now: float) -> bool:
        self._fill(now)
        return self.level >= 1

    def take(self, now: float) -> bool:
        """Counts as needed, whether or not there is one."""
        self.asked += 1
        if not self.left(now):
            self.refused += 1
            return False
        self.level -= 1
        self.whole_since = now if self.level >= 1 else None
        self.spent += 1
        return True

    def wait_s(self, now: float) -> float:
        """Until there is a token, if nothing changes."""
        if self.left(now):
            return 0.0
        return (1 - self.level) / self.right if self.right > 0 else float("inf")

    def needs(self, now: float) -> float:
        """What is asked of it, a second; to be looked at some times a second."""
        span = now - self.asked_at
        if span > 0:
            part = min(1.0, span / SMOOTH_S)
            self.need += part * (self.asked / span - self.need)
            self.asked, self.asked_at = 0, now
        return self.need

    def _fill(self, now: float) -> None:
        if now <= self.at:
            return
        if self.at < self.until < now:  # the right became smaller in between
            self._flow(self.until)
        if now > self.until:
            self.right, self.until = min(self.right, self.fixed), float("inf")
        self._flow(now)

    @property
    def slow(self) -> bool:
        """Of many that are idle few must have a whole token."""
        return not self.holds and self.right * HOLD_S < 1

    def _flow(self, now: float) -> None:
        rate, left = self.right, now - self.at
        depth = 1.0 + rate * (HOLD_S if self.slow else self.burst_s)
        self.at = now
        if rate <= 0:
            return
        # where more is asked for than there is, the next one will come for it soon
        hold_s = max(HOLD_S, 3 / self.need) if self.need > rate else HOLD_S
        while left > 0:
            if self.level < 1:
                step = min(left, (1 - self.level) / rate)
                self.level += rate * step
                left -= step
                if self.level >= 1 - 1e-9:
                    self.level, self.whole_since = max(1.0, self.level), now - left
                continue
            since = now - left if self.whole_since is None else self.whole_since
            held = since + hold_s - (now - left)
            if held > left or not self.slow:
                self.level = min(depth, self.level + rate * left)
                return
            left -= max(0.0, held)
            self.level, self.whole_since = 0.0, None
