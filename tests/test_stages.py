"""The stages of an attempt: all transitions, and the handling of a failed connection or abandoned job."""

import pytest

from finchladder.core.api import NEVER_RAN
from finchladder.core.dispatch.attempt_stages import STAGE_RULES, AbandonAction, Stage, Step, next_stage

WAITING, WRITTEN, ACCEPTED, ENDED = Stage
# The next stage for each step, in the order write, break, accept, end. None: the step is not allowed.
NEXT_STAGES = {
    WAITING: (WRITTEN, None, None, ENDED),
    WRITTEN: (None, WAITING, ACCEPTED, ENDED),
    ACCEPTED: (None, None, None, ENDED),
    ENDED: (None, ENDED, ENDED, None),
}


@pytest.mark.parametrize("stage", Stage)
def test_transitions(stage: Stage) -> None:
    for step, expected in zip(Step, NEXT_STAGES[stage], strict=True):
        if expected is None:
            with pytest.raises(ValueError, match=f"{stage.value} can't {step.value}"):
                next_stage(stage, step)
        else:
            assert next_stage(stage, step) is expected


@pytest.mark.parametrize(
    ("steps", "accepts_callbacks", "never_ran", "on_abandon"),
    [
        ([], False, True, AbandonAction.NOTHING),
        ([Step.WRITE], True, False, AbandonAction.CLOSE),
        ([Step.WRITE, Step.BREAK], False, True, AbandonAction.NOTHING),
        ([Step.WRITE, Step.ACCEPT], True, False, AbandonAction.DELETE),
    ],
)
def test_a_job_may_have_run_once_its_attempt_is_written(
    steps: list[Step], accepts_callbacks: bool, never_ran: bool, on_abandon: AbandonAction
) -> None:
    stage = WAITING
    for step in steps:
        stage = next_stage(stage, step)
    rules = STAGE_RULES[stage]
    assert (rules.accepts_callbacks, rules.ending_if_broken in NEVER_RAN, rules.on_abandon) == (
        accepts_callbacks,
        never_ran,
        on_abandon,
    )
