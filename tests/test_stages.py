"""The stages of an attempt: every pair, and what each stage means to a job that breaks or is given up."""

import pytest

from finchladder.core.api import NEVER_RAN
from finchladder.core.dispatch.attempt_stages import STAGE_RULES, AbandonAction, Stage, Step, next_stage

WAITING, WRITTEN, ACCEPTED, ENDED = Stage
FOLLOWS = {  # write, break, accept, end; None: can't be
    WAITING: (WRITTEN, None, None, ENDED),
    WRITTEN: (None, WAITING, ACCEPTED, ENDED),
    ACCEPTED: (None, None, None, ENDED),
    ENDED: (None, ENDED, ENDED, None),
}


@pytest.mark.parametrize("stage", Stage)
def test_what_follows_what(stage: Stage) -> None:
    for step, then in zip(Step, FOLLOWS[stage], strict=True):
        if then is None:
            with pytest.raises(ValueError, match=f"{stage.value} can't {step.value}"):
                next_stage(stage, step)
        else:
            assert next_stage(stage, step) is then


@pytest.mark.parametrize(
    ("steps", "told", "never_ran", "give_up"),
    [
        ([], False, True, AbandonAction.NOTHING),
        ([Step.WRITE], True, False, AbandonAction.CLOSE),
        ([Step.WRITE, Step.BREAK], False, True, AbandonAction.NOTHING),
        ([Step.WRITE, Step.ACCEPT], True, False, AbandonAction.DELETE),
    ],
)
def test_a_job_never_ran_until_it_may_have(
    steps: list[Step], told: bool, never_ran: bool, give_up: AbandonAction
) -> None:
    stage = WAITING
    for step in steps:
        stage = next_stage(stage, step)
    meaning = STAGE_RULES[stage]
    assert (meaning.accepts_callbacks, meaning.ending_if_broken in NEVER_RAN, meaning.on_abandon) == (
        told,
        never_ran,
        give_up,
    )
