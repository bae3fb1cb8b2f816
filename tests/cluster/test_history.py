"""The check of histories, compared with a search of all orders in which operations may have happened."""

from collections.abc import Sequence
from math import inf

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from finchladder.lab.cluster.history import Answer, Attempt, History, Observation

TAKEN, REFUSED, UNCLEAR = Answer.TAKEN, Answer.REFUSED, Answer.UNCLEAR


def happens_in_some_order(history: History) -> bool:
    """The definition itself: operations one after the other, each between its beginning and its end; those
    without a clear answer at any time after their beginning, or never. What was refused is never taken.
    """
    pending = [evolve(a, ended=inf) if a.answer is UNCLEAR else a for a in history.attempts]
    refused = frozenset(a.change for a in history.attempts if a.answer is REFUSED)
    return _go_on([*pending, *history.observations], 0, 0, frozenset(), refused)


def _go_on(
    left: list[Attempt | Observation],
    version: int,
    change: int,
    taken: frozenset[int],
    refused: frozenset[int],
) -> bool:
    if all(isinstance(one, Attempt) and one.answer is UNCLEAR for one in left):
        return True
    for place, one in enumerate(left):
        rest = [*left[:place], *left[place + 1 :]]
        if any(other.ended < one.began for other in rest):
            continue
        if isinstance(one, Observation):
            is_in_place = one.version == version and one.change in (None, change)
            if is_in_place and _go_on(rest, version, change, taken, refused):
                return True
            continue
        answer, after = _executed(one, version, change, taken)
        fits = one.answer in (UNCLEAR, answer) and (one.told is None or one.told == version)
        if fits and not after[2] & refused and _go_on(rest, *after, refused):
            return True
    return False


def _executed(
    one: Attempt, version: int, change: int, taken: frozenset[int]
) -> tuple[Answer, tuple[int, int, frozenset[int]]]:
    if one.change in taken:
        return TAKEN, (version, change, taken)
    if one.base == version:
        return TAKEN, (one.version, one.change, taken | {one.change})
    return REFUSED, (version, change, taken)


MOMENTS = st.integers(0, 8).map(float)
CHANGES = st.tuples(st.integers(0, 3), st.integers(1, 2)).map(lambda pair: (pair[0], pair[0] + pair[1]))


@st.composite
def histories(draw: st.DrawFn) -> History:
    """Up to six operations on few versions, so that many histories are nearly right."""
    changes = draw(st.lists(CHANGES, min_size=1, max_size=4))
    attempts = []
    for _ in range(draw(st.integers(1, 4))):
        number = draw(st.integers(1, len(changes)))
        base, version = changes[number - 1]
        began, ended = sorted((draw(MOMENTS), draw(MOMENTS)))
        answer = draw(st.sampled_from(Answer))
        told = draw(st.none() | st.integers(0, 4)) if answer is REFUSED else None
        attempts.append(Attempt(number, base, version, began, ended, answer, told))
    sent = sorted({(a.change, a.version) for a in attempts})
    observations = []
    for _ in range(draw(st.integers(0, 2))):
        number, version = draw(st.sampled_from([(0, 0), *sent]))
        began, ended = sorted((draw(MOMENTS), draw(MOMENTS)))
        observations.append(Observation(version, number if version else None, began, ended))
    return History(attempts, observations)


@settings(max_examples=1500, deadline=None)
@given(histories())
def test_a_history_is_called_linearizable_if_and_only_if_some_order_explains_it(history: History) -> None:
    assert history.is_linearizable() == happens_in_some_order(history)


def sent(change: int, base: int, version: int, began: float, ended: float, answer: Answer) -> Attempt:
    return Attempt(change, base, version, began, ended, answer)


def read(version: int, change: int, began: float, ended: float) -> Observation:
    return Observation(version, change, began, ended)


FIRST = sent(1, 0, 2, 0.0, 1.0, TAKEN)
CASES: dict[str, tuple[Sequence[Attempt], Sequence[Observation], bool]] = {
    "two changes on one base": ([FIRST, sent(2, 0, 3, 0.0, 1.0, TAKEN)], [], False),
    "the loser of two is refused": ([FIRST, sent(2, 0, 3, 0.0, 1.0, REFUSED)], [], True),
    "refused before anything was there": ([sent(2, 0, 3, 0.0, 1.0, REFUSED)], [], False),
    "refused for a change without an answer": (
        [sent(1, 0, 2, 0.0, 0.1, UNCLEAR), sent(2, 0, 3, 0.5, 1.0, REFUSED)],
        [],
        True,
    ),
    "taken, then refused on being sent again": ([FIRST, sent(1, 0, 2, 2.0, 3.0, REFUSED)], [], False),
    "taken again after another": (
        [FIRST, sent(2, 2, 5, 2.0, 3.0, TAKEN), sent(1, 0, 2, 4.0, 5.0, TAKEN)],
        [],
        True,
    ),
    "an old version is read after an acknowledgement": (
        [FIRST, sent(2, 2, 5, 2.0, 3.0, TAKEN)],
        [read(2, 1, 3.5, 4.0)],
        False,
    ),
    "an old version is read while a change is on its way": (
        [FIRST, sent(2, 2, 5, 2.0, 3.0, TAKEN)],
        [read(2, 1, 2.5, 2.6)],
        True,
    ),
    "a read goes back": (
        [FIRST, sent(2, 2, 5, 2.0, 2.1, UNCLEAR)],
        [read(5, 2, 3.0, 3.1), read(2, 1, 4.0, 4.1)],
        False,
    ),
    "a change without an answer is read much later": (
        [FIRST, sent(2, 2, 5, 2.0, 2.1, UNCLEAR)],
        [read(2, 1, 30.0, 31.0), read(5, 2, 40.0, 41.0)],
        True,
    ),
    "a version is read before its change was sent": ([FIRST], [read(2, 1, -2.0, -1.0)], False),
    "what a change builds on was never there": ([FIRST, sent(2, 3, 5, 2.0, 3.0, TAKEN)], [], False),
    "what a change builds on had no clear answer": (
        [FIRST, sent(3, 2, 3, 1.0, 1.5, UNCLEAR), sent(2, 3, 5, 2.0, 3.0, TAKEN)],
        [],
        True,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_named_histories(case: str) -> None:
    attempts, observations, is_linearizable = CASES[case]
    history = History(attempts, observations)
    assert happens_in_some_order(history) is is_linearizable
    assert history.is_linearizable() is is_linearizable
