"""Notification of dispatchers about a new placer, which holds the quota account, in virtual time."""

import msgspec
import pytest

from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.messages import Update
from finchladder.cluster.types.operations import ControlState
from tests.cluster.session_scene import pull, run_virtual, session_scene
from tests.cluster.test_update_puller import Cores, new_puller

LONG_POLL_MS = 1000


def update(placer: str, term: int) -> Update:
    return Update("core-1:1", {}, None, (), (), 0, b"", False, False, placer, 1, True, placer_term=term)


def poll_seconds(known_term: int, placer: str, term: int) -> float:
    """Returns the duration of a long poll at a server that knows that placer."""

    async def work() -> float:
        updates = session_scene().updates
        updates.state = lambda: ControlState(fence_token=term)
        updates.placer_address = lambda: placer
        began_at = steady()
        await updates.on_pull(msgspec.structs.replace(pull({}, LONG_POLL_MS), placer_term=known_term))
        return steady() - began_at

    seconds: float = run_virtual(work)
    return seconds


def test_a_new_placer_ends_a_long_poll_at_once() -> None:
    assert poll_seconds(known_term=1, placer="core-2:1", term=2) == 0.0


@pytest.mark.parametrize(
    ("known_term", "placer", "term"),
    [(2, "core-2:1", 2), (3, "core-2:1", 2), (0, "core-2:1", 2), (1, "", 2)],
    ids=["known", "server is behind", "subscriber reports no term", "address unknown"],
)
def test_a_long_poll_does_not_end_early_for_a_known_placer(known_term: int, placer: str, term: int) -> None:
    assert poll_seconds(known_term, placer, term) == pytest.approx(LONG_POLL_MS / 1000)


def test_a_source_that_is_behind_does_not_restore_a_former_placer() -> None:
    async def work() -> str:
        puller = new_puller(Cores(), Tasks())
        for received in (update("core-2:1", 2), update("core-1:1", 1), update("", 3)):
            puller._merge(received)
        return puller.placer

    assert run_virtual(work) == "core-2:1"
