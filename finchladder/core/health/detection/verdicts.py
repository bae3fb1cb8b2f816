"""State machine of one subject in the outlier detector of one dispatcher. A condemned subject is ejected.

A subject is one job class at one worker. A term is the length of an ejection by evidence or peers, at most
MAX_TERM_S. "Within the bound" means that the maximum number of ejected workers of the kind and zone allows
this ejection (detector.py). An override is an operator's order on a worker.

| state | input | next state |
| --- | --- | --- |
| clear | score above SUSPECT_SCORE | suspected |
| suspected | score of EJECT_SCORE, enough reporters, within the bound, no mass failure | condemned |
| suspected | score of SUSPECT_SCORE or below | clear |
| clear, suspected | enough peers have ejected it, within the bound | condemned for their median time left |
| condemned | the end of its ejection | on trial, stage 1 |
| on trial | score of 0 or below, after TRIAL_STAGE_S or enough good attempts | next stage, or clear |
| on trial | score of RELAPSE_SCORE, two reporters, within the bound | condemned, for twice the last term |
| on trial | MAX_TRIAL_S after its begin | clear: an ejection that is not renewed ends |
| any | override "out", within the bound | condemned until the override expires |
| any | override "in" | clear |
| any | override "let" | an ejection by an override ends now; from then on as without an override |
| any | the worker is removed or has restarted | removed |

A worker on trial receives jobs from a share of the dispatchers that grows with each stage, one job at a time
from each, and no UNSAFE job before the last stage. A hash of the dispatcher's name, the worker and the last
term selects these dispatchers; it differs in a trial after a longer term.
"""

from enum import Enum
from typing import NamedTuple

SUSPECT_SCORE = 3.0  # a score above this makes a subject suspected
EJECT_SCORE = 10.0  # three bad attempts of three within two seconds, at the lowest base rate
RELAPSE_SCORE = 5.0  # score on trial that ejects a subject again
# minimum time on a stage of the trial with few good attempts; maximum time on trial
TRIAL_STAGE_S, MAX_TRIAL_S = 1.0, 30.0
MAX_TERM_S = 16.0  # longest ejection; one by an override lasts until the override expires
TRIAL_SHARES = (0.02, 0.1, 0.4)  # shares of the dispatchers that may send jobs in stages 1, 2 and 3
ENOUGH_GOOD_ATTEMPTS = (2.0, 4.0, 8.0)  # good attempts that end stages 1, 2 and 3 early


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
        self.until = 0.0  # time at which the ejection ends
        # length of the last ejection by evidence, or `first_term_s` if only peers caused ejections;
        # 0: neither since the last trial that ended in CLEAR
        self.term_s = 0.0
        self.stage, self.stage_started_at = 0, now  # stage of the trial; 0: not on trial
        self.cause = ""  # reporters, peers or operator that caused the last ejection
        self.score = 0.0  # score at the last evaluation

    def enter(self, now: float, state: VerdictState) -> None:
        """Changes the state, and sets `since` if the new state differs from the old one."""
        if state is not self.state:
            self.state, self.since = state, now


class Observation(NamedTuple):
    """Input of one step of the state machine."""

    score: float  # score of the combined evidence; on trial, only of attempts since the trial began
    reporters: int  # number of reporters against the worker
    good: float  # number of good attempts; on trial, only those since the trial began
    required_reporters: int  # minimum number of reporters for an ejection
    may_eject: bool  # the bound on ejected workers allows an ejection
    is_mass_failure: bool  # many workers look bad at once, so the cause is assumed to be elsewhere


def eject(verdict: Verdict, now: float, for_s: float, cause: str) -> None:
    """Ejects the subject for `for_s` seconds."""
    verdict.enter(now, VerdictState.CONDEMNED)
    verdict.until, verdict.cause, verdict.stage = now + for_s, cause, 0


def step(verdict: Verdict, now: float, seen: Observation, first_term_s: float) -> None:
    """Advances the state machine by one evaluation; `first_term_s` is the length of a first ejection."""
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
