"""The judgement of one subject, as one dispatcher holds it.

| state | what is seen | next |
| --- | --- | --- |
| clear | score above SUSPECTED_FROM | suspected |
| suspected | score at CONDEMNED_FROM, enough tellers, room within the bound, no mass | condemned |
| suspected | score below SUSPECTED_FROM | clear |
| clear, suspected | enough others hold it out, room within the bound | condemned, for their median |
| condemned | its time is over | on trial, stage 1 |
| on trial | nothing against it, STAGE_S over or enough good endings | the next stage, or clear |
| on trial | score at RELAPSED_FROM, two tellers | condemned for twice as long, up to LONGEST_S |
| on trial | TRIAL_S over | clear: a judgement that is not renewed ends by itself |
| any | the operator says out, within the bound; in; let | condemned until then; clear; as by evidence |
| any | it is gone, or has started anew | forgotten |

On trial a growing part of the dispatchers may send to it, one job each at a time, and none that may not be
repeated before the last stage; which ones is drawn by their names, anew for each trial.
"""

from enum import Enum
from typing import NamedTuple

SUSPECTED_FROM = 3.0
CONDEMNED_FROM = 10.0  # three bad endings of three, at the fleet's least rate, within a second or two
RELAPSED_FROM = 5.0
STAGE_S, TRIAL_S = 1.0, 30.0
LONGEST_S = 16.0
SHARES = (0.02, 0.1, 0.4)  # of the dispatchers, by stage from 1 on
ENOUGH = (2.0, 4.0, 8.0)  # good endings, by stage


class VerdictState(Enum):
    CLEAR = 0
    SUSPECTED = 1
    CONDEMNED = 2
    TRIAL = 3


class Verdict:
    __slots__ = ("state", "since", "until", "term_s", "stage", "stage_at", "by", "score")

    def __init__(self, now: float) -> None:
        self.state, self.since = VerdictState.CLEAR, now
        self.until = 0.0
        self.term_s = 0.0  # the last one; 0: it was never condemned
        self.stage, self.stage_at = 0, now
        self.by = ""  # by whose word
        self.score = 0.0

    def enter(self, now: float, state: VerdictState) -> None:
        if state is not self.state:
            self.state, self.since = state, now


class Facts(NamedTuple):
    score: float  # of evidence; while on trial, of what came since it began
    tellers: int
    good: float  # good endings, likewise
    needed: int  # tellers that it takes to condemn
    room: bool  # whether the bound allows one more
    mass: bool  # so many look bad that the cause is taken for another's


def condemn(v: Verdict, now: float, for_s: float, by: str) -> None:
    v.enter(now, VerdictState.CONDEMNED)
    v.until, v.by, v.stage = now + for_s, by, 0


def step(v: Verdict, now: float, f: Facts, term_s: float) -> None:
    """`term_s`: of a first condemnation."""
    v.score = f.score
    if v.state is VerdictState.CONDEMNED:
        if now >= v.until:
            v.enter(now, VerdictState.TRIAL)
            v.stage, v.stage_at = 1, now
    elif v.state is VerdictState.TRIAL:
        _try(v, now, f, term_s)
    elif f.score >= CONDEMNED_FROM and f.tellers >= f.needed and f.room and not f.mass:
        v.term_s = term_s
        condemn(v, now, term_s, f"{f.tellers} tellers")
    else:
        v.enter(now, VerdictState.SUSPECTED if f.score > SUSPECTED_FROM else VerdictState.CLEAR)


def _try(v: Verdict, now: float, f: Facts, term_s: float) -> None:
    if f.score >= RELAPSED_FROM and f.tellers >= min(2, f.needed) and f.room:
        v.term_s = min(LONGEST_S, 2 * max(v.term_s, term_s))
        condemn(v, now, v.term_s, f"{f.tellers} tellers, on trial")
    elif f.score <= 0 and (now >= v.stage_at + STAGE_S or f.good >= ENOUGH[v.stage - 1]):
        v.stage, v.stage_at = v.stage + 1, now
        if v.stage > len(SHARES):
            v.enter(now, VerdictState.CLEAR)
            v.stage, v.term_s = 0, 0.0
    elif now >= v.since + TRIAL_S:
        v.enter(now, VerdictState.CLEAR)
        v.stage, v.term_s = 0, 0.0
