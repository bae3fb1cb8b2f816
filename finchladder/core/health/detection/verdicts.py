"""State machine of one subject in the outlier detector of one dispatcher. A condemned subject is ejected.

| state | input | next state |
| --- | --- | --- |
| clear | score above SUSPECT_SCORE | suspected |
| suspected | score of EJECT_SCORE, enough reporters, within the bound, no mass failure | condemned |
| suspected | score of SUSPECT_SCORE or below | clear |
| clear, suspected | enough peers have ejected it, within the bound | condemned, for their median time left |
| condemned | its term is over | on trial, stage 1 |
| on trial | score of 0 or below, after TRIAL_STAGE_S or enough good attempts | the next stage, or clear |
| on trial | score of RELAPSE_SCORE, two reporters | condemned for twice the last term, at most MAX_TERM_S |
| on trial | MAX_TRIAL_S over | clear: an ejection that is not renewed ends |
| any | override "out", within the bound | condemned until the override expires |
| any | override "in" | clear |
| any | override "let" | as the evidence requires |
| any | the worker is removed or has restarted | forgotten |

A worker on trial receives jobs from a share of the dispatchers that grows with each stage, one job at a time
from each, and no UNSAFE job before the last stage. A hash of the dispatcher's and the worker's names selects
these dispatchers, differently in each trial.
"""

from enum import Enum
from typing import NamedTuple

SUSPECT_SCORE = 3.0
EJECT_SCORE = 10.0  # three bad attempts of three at the lowest base rate, within a second or two
RELAPSE_SCORE = 5.0
TRIAL_STAGE_S, MAX_TRIAL_S = 1.0, 30.0
MAX_TERM_S = 16.0  # longest ejection
TRIAL_SHARES = (0.02, 0.1, 0.4)  # share of the dispatchers that may send, by stage from 1 on
ENOUGH_GOOD_ATTEMPTS = (2.0, 4.0, 8.0)  # good attempts that end a stage early, by stage


class VerdictState(Enum):
    CLEAR = 0
    SUSPECTED = 1
    CONDEMNED = 2
    TRIAL = 3


class Verdict:
    """A subject's state, with its cause and times."""

    __slots__ = ("state", "since", "until", "term_s", "stage", "stage_started_at", "cause", "score")

    def __init__(self, now: float) -> None:
        self.state, self.since = VerdictState.CLEAR, now
        self.until = 0.0
        self.term_s = 0.0  # length of the last ejection; 0: never ejected
        self.stage, self.stage_started_at = 0, now
        self.cause = ""  # reporters, peers or operator that caused the last ejection
        self.score = 0.0

    def enter(self, now: float, state: VerdictState) -> None:
        """Changes the state; the time of the change is kept if the state stays the same."""
        if state is not self.state:
            self.state, self.since = state, now


class Observation(NamedTuple):
    """Input of one step of the state machine."""

    score: float  # combined evidence; on trial, only of attempts since the trial began
    reporters: int  # reporters against the worker
    good: float  # good attempts; on trial, only those since it began
    required_reporters: int  # reporters that an ejection requires
    may_eject: bool  # the bound on ejected workers allows one more
    is_mass_failure: bool  # many workers look bad at once, so the cause is assumed to be elsewhere


def eject(verdict: Verdict, now: float, for_s: float, cause: str) -> None:
    """Ejects the subject for `for_s` seconds."""
    verdict.enter(now, VerdictState.CONDEMNED)
    verdict.until, verdict.cause, verdict.stage = now + for_s, cause, 0


def step(verdict: Verdict, now: float, seen: Observation, first_term_s: float) -> None:
    """Advances the state machine; `first_term_s` is the length of a first ejection."""
    verdict.score = seen.score
    if verdict.state is VerdictState.CONDEMNED:
        if now >= verdict.until:
            verdict.enter(now, VerdictState.TRIAL)
            verdict.stage, verdict.stage_started_at = 1, now
    elif verdict.state is VerdictState.TRIAL:
        _step_trial(verdict, now, seen, first_term_s)
    elif (
        seen.score >= EJECT_SCORE
        and seen.reporters >= seen.required_reporters
        and seen.may_eject
        and not seen.is_mass_failure
    ):
        verdict.term_s = first_term_s
        eject(verdict, now, first_term_s, f"{seen.reporters} reporters")
    else:
        verdict.enter(now, VerdictState.SUSPECTED if seen.score > SUSPECT_SCORE else VerdictState.CLEAR)


def _step_trial(verdict: Verdict, now: float, seen: Observation, first_term_s: float) -> None:
    if seen.score >= RELAPSE_SCORE and seen.reporters >= min(2, seen.required_reporters) and seen.may_eject:
        verdict.term_s = min(MAX_TERM_S, 2 * max(verdict.term_s, first_term_s))
        eject(verdict, now, verdict.term_s, f"{seen.reporters} reporters, on trial")
    elif seen.score <= 0 and (
        now >= verdict.stage_started_at + TRIAL_STAGE_S
        or seen.good >= ENOUGH_GOOD_ATTEMPTS[verdict.stage - 1]
    ):
        verdict.stage, verdict.stage_started_at = verdict.stage + 1, now
        if verdict.stage > len(TRIAL_SHARES):
            verdict.enter(now, VerdictState.CLEAR)
            verdict.stage, verdict.term_s = 0, 0.0
    elif now >= verdict.since + MAX_TRIAL_S:
        verdict.enter(now, VerdictState.CLEAR)
        verdict.stage, verdict.term_s = 0, 0.0
