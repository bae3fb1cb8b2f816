"""Estimates the prefill time of a prompt token from times to first token at idle workers.

The estimate is a low quantile: a late first token is mostly due to other work of the engine, which this
dispatcher knows only in part. Source: Robbins and Monro, "A Stochastic Approximation Method".
"""

from attrs import define

TARGET_QUANTILE = 0.25
RELATIVE_STEP = 0.1  # of the estimate, for one observation


@define
class PrefillTimeEstimator:
    """Prefill time of one service's engines; `s_per_token` is 0 before the first observation."""

    s_per_token: float = 0.0

    def observe(self, prompt_tokens: int, time_to_first_token_s: float) -> None:
        """Updates the estimate by one request at an idle worker; prompts of unknown size are skipped."""
        if prompt_tokens <= 0:
            return
        observed = time_to_first_token_s / prompt_tokens
        if not self.s_per_token:
            self.s_per_token = observed
            return
        is_below = observed < self.s_per_token
        self.s_per_token *= 1 + RELATIVE_STEP * (TARGET_QUANTILE - is_below)
