"""How long engines take to read a prompt token, learned from first events of requests that met no others.

What is learned is a low quantile: most of what makes a first event late is other work at the engine, which
this dispatcher knows of only in part. Source: Robbins and Monro, "A Stochastic Approximation Method".
"""

from attrs import define

QUANTILE = 0.25
STEP = 0.1  # relative; of one observation


@define
class ReadingPace:
    """Of one service. `s_per_token`: seconds; 0: nothing is known."""

    s_per_token: float = 0.0

    def learn(self, tokens: int, first_event_s: float) -> None:
        """A prompt of so many tokens had its first event after so long at a worker without other requests."""
        if tokens <= 0:
            return
        seen = first_event_s / tokens
        if not self.s_per_token:
            self.s_per_token = seen
            return
        is_below = seen < self.s_per_token
        self.s_per_token *= 1 + STEP * (QUANTILE - is_below)
