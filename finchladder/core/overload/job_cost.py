"""Estimates of the event loop time per job of each class."""

from collections.abc import Mapping, Sequence

PRIOR_JOB_COST_S = 1e-3  # event loop time per job before any observation
LEARNING_RATE = 0.1  # weight of an interval; low, as the work for a job is spread over its whole running time
# Fraction of the loop's time spent on jobs below which nothing is learned, as the base load of the loop would
# be attributed to the jobs.
MIN_UTILIZATION = 0.1
MAX_COST_RATIO = 20.0  # limit of estimate / prior, and of prior / estimate
MIN_POWER = 1e-9  # sum of the squared rates (jobs per second) below which nothing is learned


class JobCostEstimator:
    """Estimates seconds of event loop time per job of each class by normalized least mean squares (NLMS).

    Only the total for all jobs is measured. The cost of a class is found from intervals in which the rates of
    the classes change differently. Classes whose rates always change together share the total in proportion
    to their rates.
    """

    def __init__(self, class_names: Sequence[str]) -> None:
        self.cost_s = dict.fromkeys(class_names, PRIOR_JOB_COST_S)
        self.rates = dict.fromkeys(class_names, 0.0)  # jobs per second, smoothed
        self.utilization = 0.0  # fraction of the loop's time spent on jobs, smoothed

    def update(self, rates: Mapping[str, float], utilization: float) -> None:
        """Updates the estimates with the measurements of one interval.

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
