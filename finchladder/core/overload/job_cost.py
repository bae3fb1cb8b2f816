"""Estimates of the event loop's time that a job of each class takes."""

from collections.abc import Mapping, Sequence

PRIOR_JOB_COST_S = 1e-3  # of the loop's time for a job, before anything is learned
LEARNING_RATE = 0.1  # per interval; slow, as the work for a job is spread over its whole running time
MIN_UTILIZATION = 0.1  # of the loop by jobs; below it, the loop's idle work would be attributed to the jobs
MAX_COST_RATIO = 20.0  # between an estimate and the prior, up and down
MIN_POWER = 1e-9  # sum of squared rates from which there is something to learn from


class JobCostEstimator:
    """Learns seconds of the loop's time per job of each class by normalized least mean squares (NLMS).

    Only the total for all jobs is known; the part of a class shows where the rates of the classes change
    differently. Classes whose rates always change alike share the total in proportion to their rates.
    """

    def __init__(self, class_names: Sequence[str]) -> None:
        self.cost_s = dict.fromkeys(class_names, PRIOR_JOB_COST_S)
        self.rates = dict.fromkeys(class_names, 0.0)  # jobs per second, smoothed
        self.utilization = 0.0  # of the loop by jobs, smoothed like their rates

    def update(self, rates: Mapping[str, float], utilization: float) -> None:
        """Learns from one interval.

        Args:
            rates: Admitted jobs per second, by class name.
            utilization: Fraction of the interval that the loop spent on jobs.
        """
        self.utilization += LEARNING_RATE * (utilization - self.utilization)
        for name in self.rates:
            self.rates[name] += LEARNING_RATE * (rates[name] - self.rates[name])
        power = sum(rate * rate for rate in self.rates.values())
        if self.utilization < MIN_UTILIZATION or power < MIN_POWER:
            return
        error = self.utilization - sum(rate * self.cost_s[name] for name, rate in self.rates.items())
        for name, rate in self.rates.items():
            cost_s = self.cost_s[name] + LEARNING_RATE * error * rate / power
            self.cost_s[name] = min(
                max(cost_s, PRIOR_JOB_COST_S / MAX_COST_RATIO), PRIOR_JOB_COST_S * MAX_COST_RATIO
            )
