"""Estimates the prefill time of a prompt token from times to first token at idle workers.

The estimate is a low quantile of the observations, because a late first token is mostly due to other requests
at the engine, which this dispatcher may not know. Source: Robbins and Monro, "A Stochastic Approximation
Method".
"""

from attrs import define

TARGET_QUANTILE = 0.25
# Each observation multiplies the estimate by 1 + RELATIVE_STEP * TARGET_QUANTILE, or by
# 1 - RELATIVE_STEP * (1 - TARGET_QUANTILE) if the observation is lower.
RELATIVE_STEP = 0.1


@define
class PrefillTimeEstimator:
    """Prefill time estimate for one service's engines; `s_per_token` is 0 before the first observation."""

    s_per_token: float = 0.0

    def observe(self, prompt_tokens: int, time_to_first_token_s: float) -> None:
        """Updates the estimate from one request at an idle worker; prompts of unknown size are ignored."""
        if prompt_tokens <= 0:
            return
        observed = time_to_first_token_s / prompt_tokens
        if not self.s_per_token:
            self.s_per_token = observed
            return
        is_below = observed < self.s_per_token
        self.s_per_token *= 1 + RELATIVE_STEP * (TARGET_QUANTILE - is_below)
