"""The stages of an attempt, and what can follow what.

- Before it is written, a job certainly did not run there. From then on it may have: when unsure, it was
  written.
- A write that is known to have broken before its last byte takes that back.
- It ends exactly once. What comes after the end changes nothing: a 202 that was overtaken by its call-back,
  or a write that breaks as its connection is closed.

A pair that is not in the table is a fault of this program.
"""

from enum import Enum
from typing import NamedTuple

from finchladder.core.api import Ending


class Stage(Enum):
    WAITING = "waiting"  # for its turn and a connection
    WRITTEN = "written"  # its answer is awaited
    ACCEPTED = "accepted"  # by a 202: its connection is free again, and call-backs tell the rest
    ENDED = "ended"


class Step(Enum):
    WRITE = "write"  # its bytes are handed to the connection
    BREAK = "break"  # the connection broke before the last of them was
    ACCEPT = "accept"
    END = "end"


class AbandonAction(Enum):
    """What is done about a job that nobody wants any more."""

    NOTHING = "nothing"
    CLOSE = "close"  # the connection that it is being written on
    DELETE = "delete"  # asks the real server to stop it


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
    accepts_callbacks: bool  # whether a call-back can be about it
    ending_if_broken: Ending  # what it ends as when its connection fails
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
