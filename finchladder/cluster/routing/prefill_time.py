"""How long engines take to read a prompt token, learned from first events of requests that met no others.

What is learned is a low quantile: most of what makes a first event late is other work at the engine, which
this dispatcher knows of only in part. Source: Robbins and Monro, "A Stochastic Approximation Method".
"""

from attrs import define

TARGET_QUANTILE = 0.25
RELATIVE_STEP = 0.1  # relative; of one observation


@define
class PrefillTimeEstimator:
    """Of one service. `s_per_token`: seconds; 0: nothing is known."""

    s_per_token: float = 0.0

    def observe(self, prompt_tokens: int, time_to_first_token_s: float) -> None:
        """A prompt of so many tokens had its first event after so long at a worker without other requests."""
        if prompt_tokens <= 0:
            return
        seen = time_to_first_token_s / prompt_tokens
        if not self.s_per_token:
            self.s_per_token = seen
            return
        is_below = seen < self.s_per_token
        self.s_per_token *= 1 + RELATIVE_STEP * (TARGET_QUANTILE - is_below)
