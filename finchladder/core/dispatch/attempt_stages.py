"""The state machine of an attempt: its stages and the allowed transitions.

- A job cannot have run at the worker before the request of the attempt is written, and may have run from then
  on. If it is unknown whether the request was written completely, the attempt counts as written.
- If the connection is known to have failed before the last byte was written, the attempt is WAITING again.
- An attempt ends exactly once. Later steps have no effect, such as a 202 response that arrives after the
  callback with the result, or a write that fails because its connection is being closed.

A combination of stage and step without an entry in TRANSITIONS indicates a bug in this program.
"""

from enum import Enum
from typing import NamedTuple

from finchladder.core.api import Ending


class Stage(Enum):
    WAITING = "waiting"  # the request is not written yet: it is queued or has no connection
    WRITTEN = "written"  # the request is written, and the response is pending
    ACCEPTED = "accepted"  # 202 was received: the connection is free again, and callbacks report the result
    ENDED = "ended"


class Step(Enum):
    WRITE = "write"  # the request is passed to the connection
    BREAK = "break"  # the connection failed before the last byte was written
    ACCEPT = "accept"  # 202 was received
    END = "end"


class AbandonAction(Enum):
    """How the worker is made to stop an attempt that is cancelled or times out."""

    NOTHING = "nothing"
    CLOSE = "close"  # closes the connection that carries the request
    DELETE = "delete"  # sends a DELETE, so that the worker stops the job


TRANSITIONS = {
    (Stage.WAITING, Step.WRITE): Stage.WRITTEN,
    (Stage.WAITING, Step.END): Stage.ENDED,
    (Stage.WRITTEN, Step.BREAK): Stage.WAITING,
    (Stage.WRITTEN, Step.ACCEPT): Stage.ACCEPTED,
    (Stage.WRITTEN, Step.END): Stage.ENDED,
    (Stage.ACCEPTED, Step.END): Stage.ENDED,
    (Stage.ENDED, Step.BREAK): Stage.ENDED,
    (Stage.ENDED, Step.ACCEPT): Stage.ENDED,
}


class StageRules(NamedTuple):
    accepts_callbacks: bool  # whether the worker can already send callbacks for the attempt
    ending_if_broken: Ending  # the ending of the attempt if its connection or handling fails
    on_abandon: AbandonAction


STAGE_RULES = {
    Stage.WAITING: StageRules(False, Ending.UNREACHABLE, AbandonAction.NOTHING),
    Stage.WRITTEN: StageRules(True, Ending.BROKEN, AbandonAction.CLOSE),
    Stage.ACCEPTED: StageRules(True, Ending.BROKEN, AbandonAction.DELETE),
}


def next_stage(stage: Stage, step: Step) -> Stage:
    try:
        return TRANSITIONS[stage, step]
    except KeyError:
        raise ValueError(f"an attempt that is {stage.value} can't {step.value}") from None
