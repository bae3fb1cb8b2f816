"""Overload controller: which new requests are admitted while the event loop of the dispatcher is overloaded.

Only requests that were not admitted yet are rejected; no method can reject one that was admitted or sent.
While shedding load, a budget of event loop time is allocated to the job classes by priority. Complete
messages wait unparsed until the budget admits them: those of the highest priority first, and within a
priority those whose clients' time ends first.

A message may wait as long as its job can still be done in the time that its client has left, and at most for
a configured fraction of that time. A message that is expected to wait longer, or to make others wait longer,
is rejected at once, so that its client has the rest of its time for another try. Rejections may take a
limited share of the loop's time, as clients that try again at once would otherwise leave none for those that
can be served. Requests with the same time left are treated alike, whether their clients sent them before or
not. The queue is bounded by the number of connections.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Generic, NamedTuple, TypeVar

from finchladder.core.api import JobClass
from finchladder.core.overload.job_cost import PRIOR_JOB_COST_S, JobCostEstimator
from finchladder.core.overload.retry_after import RetryAfterSampler
from finchladder.core.overload.unread_queue import UnreadQueue

TICK_INTERVAL_S = 0.025  # interval between two calls of tick()
CONTROL_INTERVAL_S = 0.1  # the minimum delay in an interval is that of the standing queue (CoDel)
MIN_TICKS = 2  # minimum ticks per interval, as one long callback in the loop is no standing queue
RATE_SMOOTHING = 0.5  # weight of the latest interval in the arrival rates
MIN_BUDGET_FACTOR, MAX_BUDGET_FACTOR = 0.3, 1.3  # bounds of `budget_factor`
FACTOR_DECREASE = 0.01  # relative decrease per interval, multiplied by the queue delay in target delays
MAX_DECREASE_STEPS = 3.0  # limit of the multiplier of FACTOR_DECREASE
FACTOR_INCREASE = 0.01  # absolute increase per interval without a standing queue
IDLE_FACTOR_INCREASE = 0.2  # additional increase, times the idle fraction of the loop
MIN_BUDGET = 0.1  # fraction of the loop's time, before `budget_factor` is applied
DRAIN_S = 0.15  # target time to drain a standing queue
MAX_DRAIN_FRACTION = 0.7  # limit of the fraction of the loop's time that is reserved for draining
MIN_TARGET_DELAY_S = 0.005
ANSWER_MARGIN_S = 0.05  # time before the client's timeout by which an answer must be sent, to arrive in time
MAX_REJECTION_SHARE = 0.1  # share of the loop's time in which messages may be rejected before they have to be
REJECTION_COST_S = 3e-5  # loop time of a rejection, see the design note on overload
BURST_S = 0.02  # size of a burst, in seconds at the current rate
MIN_READ_RATE = 50.0  # messages per second that are always read, as job costs are learned from them
EPSILON = 1e-9

ItemT = TypeVar("ItemT")


class State(Enum):
    """States of the controller; the values are written to the log."""

    CALM = "calm"  # everything is admitted
    SHEDDING = "shed"


class Event(Enum):
    """Causes of state changes."""

    # all delays of an interval exceeded the target while the loop was busy
    STANDING_QUEUE = "standing queue"
    RECOVERED = "recovered"  # no rejections, no unread messages and no standing queue for `calm_s`


TRANSITIONS = {
    (State.CALM, Event.STANDING_QUEUE): State.SHEDDING,
    (State.SHEDDING, Event.RECOVERED): State.CALM,
}


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """Settings of the controller.

    All but `retry_after_s` have the names of the keys in section [overload] of the operator's configuration
    file; `retry_after_s` is derived from the settings of the platform.

    Raises:
        ValueError: A setting is out of bounds.
    """

    target_share: float = 0.2  # target of the queue delay, as a fraction of the shortest latency target
    busy_from: float = 0.85  # utilization of the loop below which delays have other causes
    # Fraction of the client's remaining timeout that a message may wait unread. The rest is for its job, or
    # for another try; and what an overload leaves in the queue must not delay new requests for long.
    wait_share: float = 0.2
    calm_s: float = 0.5  # the overload ends after this time without rejections and queued messages
    retry_after_s: float = 2.0  # longest Retry-After that clients follow; 0: no header

    def __post_init__(self) -> None:
        bounds = {
            "target_share": (0.02, 0.5),
            "busy_from": (0.5, 1.0),
            "wait_share": (0.0, 0.9),
            "calm_s": (0.1, 1.5),
            "retry_after_s": (0.0, 60.0),
        }
        for name, (minimum, maximum) in bounds.items():
            if not minimum <= getattr(self, name) <= maximum:
                raise ValueError(f"overload: {name} must be from {minimum:g} to {maximum:g}")


class NextAction(NamedTuple, Generic[ItemT]):
    """The next action for the queue.

    `item` must be read, or rejected if `must_reject`. If it is None, next_action() must be called again after
    `retry_in_s` seconds, and after the next enqueue().
    """

    item: ItemT | None = None
    must_reject: bool = False
    retry_in_s: float = 0.0


class TokenBucket:
    """Limits reading or rejecting to `rate` messages per second with bursts of BURST_S."""

    __slots__ = ("rate", "tokens", "updated_at")

    def __init__(self, now: float, rate: float) -> None:
        self.rate, self.tokens, self.updated_at = rate, 0.0, now

    def refill(self, now: float) -> float:
        """Adds the tokens since the last call; returns the seconds until one is available, 0 if one is."""
        capacity = max(1.0, self.rate * BURST_S)
        self.tokens = min(capacity, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        return 0.0 if self.tokens >= 1 - EPSILON else (1 - self.tokens) / self.rate


class ClassAdmission:
    """The arrivals of a class, and the share of them that the budget admits."""

    __slots__ = ("job_class", "arrivals", "arrival_rate", "admitted_fraction", "credit")

    def __init__(self, job_class: str) -> None:
        self.job_class = job_class
        self.arrivals, self.arrival_rate = 0, 0.0  # count of this interval; smoothed rate per second
        self.admitted_fraction, self.credit = 1.0, 0.0  # a request is admitted when the credit reaches 1

    def admit_next(self) -> bool:
        """Returns whether to admit the next request.

        Admitted requests are spaced evenly, as random draws would admit bursts.
        """
        self.credit += self.admitted_fraction
        if self.credit < 1 - EPSILON:
            return False
        self.credit -= 1
        return True

    def update_rate(self, span_s: float, weight: float) -> None:
        """Updates the rate with the arrivals of an interval of `span_s` seconds, by a weight from 0 to 1."""
        self.arrival_rate += weight * (self.arrivals / span_s - self.arrival_rate)
        self.arrivals = 0


class OverloadController(Generic[ItemT]):
    """Admits, queues or rejects new requests by the lag and the utilization of the event loop.

    Times are in seconds of the caller's clock. Methods take O(classes); those that change the queue also take
    O(log n) for n queued items.
    """

    def __init__(
        self,
        classes: Sequence[JobClass],
        settings: OverloadSettings,
        seed: int,
        expected_run_time_s: Callable[[str], float] = lambda job_class: 0.0,
    ) -> None:
        """Creates a controller in the state CALM.

        Args:
            classes: All job classes, at least one.
            settings: Settings of the controller.
            seed: Seeds the random draws. It must differ between dispatchers, so that their draws differ.
            expected_run_time_s: Returns how long a job of a class is expected to run at a worker; 0: unknown.
        """
        self.settings = settings
        shortest_target_s = min(c.latency_target_s for c in classes)
        self.target_delay_s = max(MIN_TARGET_DELAY_S, settings.target_share * shortest_target_s)
        self.random = Random(seed)
        self.retry_after = RetryAfterSampler(settings.retry_after_s, self.random)
        self.unread: UnreadQueue[ItemT] = UnreadQueue({c.priority for c in classes})
        self.classes = {c.name: c for c in classes}
        self.expected_run_time_s = expected_run_time_s
        self.admissions = {name: ClassAdmission(name) for name in self.classes}
        self.costs = JobCostEstimator([c.name for c in classes])
        self.state, self.changed_at = State.CALM, 0.0
        self.limited_at = 0.0  # time at which a request was last rejected or left unread
        self.budget_factor = 1.0  # factor on the budget, adjusted by feedback
        self.read_tokens = TokenBucket(0.0, MIN_READ_RATE)
        self.rejection_tokens = TokenBucket(0.0, MAX_REJECTION_SHARE / REJECTION_COST_S)
        # reset at the end of each interval, except for `rejection_utilization`, which is smoothed
        self.admitted = {c.name: 0 for c in classes}
        self.rejection_s, self.rejection_utilization = 0.0, 0.0  # loop time spent on requests not admitted
        self.min_delay_s, self.utilization_sum, self.ticks, self.interval_start = float("inf"), 0.0, 0, 0.0
        # measurements of the latest ticks
        self.queue_delay_s = 0.0
        self.below_target_at, self.ticks_above_target = 0.0, 0

    def admit(self, now: float, job_class: str, remaining_s: float) -> float | None:
        """Decides whether to process a request that was read without being queued here.

        Args:
            now: The current time.
            job_class: The name of its class.
            remaining_s: Remaining time of its client's timeout.

        Returns:
            None if the request is admitted, otherwise Retry-After in seconds, 0 for no header.

        Raises:
            KeyError: There is no class of that name.
        """
        admission = self.admissions[job_class]
        admission.arrivals += 1
        # a request whose client times out before it can be processed is rejected
        if self.state is State.CALM or (remaining_s > self.queue_delay_s and admission.admit_next()):
            self.admitted[job_class] += 1
            return None
        return self.reject(now, job_class, remaining_s)

    def reject(self, now: float, job_class: str, remaining_s: float) -> float:
        """Records a rejection and returns its Retry-After in seconds, 0 for no header.

        Must be called for each item of an action with `must_reject`. A client that has no time for a pause
        and the run of its job is asked for none.
        """
        self.limited_at = now
        return self.retry_after.next_s(remaining_s - self._work_s(job_class))

    def _work_s(self, job_class: str) -> float:
        """Returns the part of a client's time that its job needs once it was read."""
        return self.expected_run_time_s(job_class) + ANSWER_MARGIN_S

    def record_rejection_time(self, duration_s: float) -> None:
        """Records that the loop spent `duration_s` seconds on requests that were not admitted."""
        self.rejection_s += duration_s

    @property
    def must_enqueue(self) -> bool:
        """Whether messages must be queued here before they are read."""
        return self.state is State.SHEDDING or self.unread.size > 0

    def enqueue(self, now: float, job_class: str, remaining_s: float, item: ItemT) -> None:
        """Queues a complete message.

        Args:
            now: The current time.
            job_class: The name of its class.
            remaining_s: Remaining time of its client's timeout, from the request and its time of receipt.
            item: The item that next_action() returns for the message.

        Raises:
            KeyError: There is no class of that name.
        """
        self.admissions[job_class].arrivals += 1
        priority = self.classes[job_class].priority
        read_by = now + self._max_queue_time_s(job_class, remaining_s)
        if self.state is State.CALM or self.unread.can_serve(now, priority, read_by, self.read_tokens.rate):
            self.unread.add(priority, item, read_by)
        else:
            self.unread.add_unservable(item, read_by)

    def remove(self, item: ItemT) -> None:
        """Removes an item whose client has disconnected; does nothing if it is not queued."""
        self.unread.remove(item)

    def pop_last(self) -> ItemT | None:
        """Removes and returns the item to reject in favour of another client, None if there is none.

        It would be served last here, and its client has the most time left for another try.
        """
        return self.unread.pop_last()

    def next_action(self, now: float) -> NextAction[ItemT]:
        """Removes and returns the next item to reject or to read, or returns when to call it again."""
        if not self.unread.size:
            return NextAction()
        if (expired := self.unread.pop_expired(now)) is not None:
            return NextAction(expired, must_reject=True)
        if self.state is State.CALM:
            return NextAction(self.unread.pop_next())
        if self.unread.unservable and self.rejection_tokens.refill(now) <= 0:
            self.rejection_tokens.tokens -= 1
            return NextAction(self.unread.pop_unservable(), must_reject=True)
        retry_in_s = self.read_tokens.refill(now)
        if retry_in_s <= 0:
            self.read_tokens.tokens -= 1
            return NextAction(self.unread.pop_next())
        self.limited_at = now
        return NextAction(retry_in_s=retry_in_s)

    def record_admitted(self, job_class: str) -> None:
        """Records that an item of next_action() was read; `job_class` is the name of its class."""
        self.admitted[job_class] += 1

    def tick(self, now: float, lag_s: float, utilization: float, queue_age_s: float) -> None:
        """Updates the state and the budget. Must be called every TICK_INTERVAL_S.

        Args:
            now: The current time.
            lag_s: How late the event loop ran its timer.
            utilization: Fraction of the time since the last tick in which the loop was busy, 0 to 1.
            queue_age_s: Age of the oldest work that is known to wait for this loop. Like `lag_s`, it is
                only attributed to the loop if `utilization` is at least `busy_from`.
        """
        self._record_tick(now, max(lag_s, queue_age_s) if utilization >= self.settings.busy_from else 0.0)
        self.utilization_sum += utilization
        self.ticks += 1
        is_overloaded = (
            self.state is State.CALM
            and self.ticks_above_target >= MIN_TICKS
            and now - self.below_target_at >= CONTROL_INTERVAL_S
        )
        is_interval_over = (
            self.ticks >= MIN_TICKS and now - self.interval_start >= CONTROL_INTERVAL_S - TICK_INTERVAL_S / 2
        )
        if is_overloaded or is_interval_over:
            self._end_interval(now, is_overloaded)

    def _record_tick(self, now: float, queue_delay_s: float) -> None:
        """Records the delay of a tick, and the last tick with a delay at or below the target."""
        self.queue_delay_s = queue_delay_s
        self.min_delay_s = min(self.min_delay_s, queue_delay_s)
        if queue_delay_s <= self.target_delay_s:
            self.below_target_at, self.ticks_above_target = now, 0
        self.ticks_above_target += queue_delay_s > self.target_delay_s

    def _max_queue_time_s(self, job_class: str, remaining_s: float) -> float:
        """Returns how long a message may wait unread so that its job can still be done for its client."""
        longest_s = remaining_s - self._work_s(job_class)
        return max(0.0, min(self.settings.wait_share * remaining_s, longest_s))

    def _end_interval(self, now: float, is_overloaded: bool) -> None:
        """Updates the estimates, the budget and the state, and starts the next interval."""
        utilization = self.utilization_sum / self.ticks
        self._update_estimates(max(now - self.interval_start, TICK_INTERVAL_S), utilization)
        if is_overloaded:
            self._transition(Event.STANDING_QUEUE, now)
        if self.state is State.SHEDDING:
            if not is_overloaded:
                self._adjust_budget_factor(now, utilization)
            self._allocate_budget()
            if now - max(self.limited_at, self.changed_at) >= self.settings.calm_s:
                self._transition(Event.RECOVERED, now)
        self.min_delay_s, self.utilization_sum, self.ticks = float("inf"), 0.0, 0
        self.interval_start = now

    def _update_estimates(self, span_s: float, utilization: float) -> None:
        """Updates arrival rates, job costs and `rejection_utilization` by an interval of `span_s` seconds."""
        for admission in self.admissions.values():
            admission.update_rate(span_s, 1.0 if self.state is State.CALM else RATE_SMOOTHING)
        rejection_utilization = self.rejection_s / span_s
        rates = {name: count / span_s for name, count in self.admitted.items()}
        self.costs.update(rates, utilization - rejection_utilization)
        self.rejection_utilization += RATE_SMOOTHING * (rejection_utilization - self.rejection_utilization)
        self.admitted = dict.fromkeys(self.admitted, 0)
        self.rejection_s = 0.0

    def _adjust_budget_factor(self, now: float, utilization: float) -> None:
        """Lowers the budget while there is a standing queue, and raises it otherwise (feedback control)."""
        if self.min_delay_s > self.target_delay_s:
            steps = min(MAX_DECREASE_STEPS, self.min_delay_s / self.target_delay_s)
            self.budget_factor *= 1 - FACTOR_DECREASE * steps
            self.limited_at = now
        elif self.min_delay_s < self.target_delay_s / 2:
            self.budget_factor += FACTOR_INCREASE + IDLE_FACTOR_INCREASE * max(0.0, 1 - utilization)
        self.budget_factor = min(max(self.budget_factor, MIN_BUDGET_FACTOR), MAX_BUDGET_FACTOR)

    def _transition(self, event: Event, now: float) -> None:
        self.state, self.changed_at = TRANSITIONS[self.state, event], now
        self.budget_factor, self.limited_at = 1.0, now
        self.read_tokens = TokenBucket(now, MIN_READ_RATE)
        for admission in self.admissions.values():
            admission.admitted_fraction, admission.credit = 1.0, 0.0

    def _allocate_budget(self) -> None:
        """Allocates the budget to the classes, the highest priority first, and sets the read rate.

        Classes of the same priority get the same share of what they need.
        """
        queue_s = max(0.0, self.min_delay_s - self.target_delay_s)
        drain = min(MAX_DRAIN_FRACTION, queue_s / DRAIN_S)
        budget = left = self.budget_factor * max(MIN_BUDGET, 1 - self.rejection_utilization - drain)
        admitted_rate = 0.0
        for priority in self.unread.by_priority:
            group = [c.name for c in self.classes.values() if c.priority == priority]
            needed = sum(self.admissions[n].arrival_rate * self.costs.cost_s[n] for n in group)
            admitted_fraction = min(1.0, left / needed) if needed > EPSILON else float(left > EPSILON)
            left = max(0.0, left - admitted_fraction * needed)
            for name in group:
                self.admissions[name].admitted_fraction = admitted_fraction
                admitted_rate += admitted_fraction * self.admissions[name].arrival_rate
        mean_cost_s = (budget - left) / admitted_rate if admitted_rate > EPSILON else PRIOR_JOB_COST_S
        # the remaining budget drains the queue, so that an overload ends soon after its cause
        self.read_tokens.rate = max(MIN_READ_RATE, admitted_rate + left / mean_cost_s)
