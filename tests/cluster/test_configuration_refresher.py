"""Refreshes of a dispatcher's configuration for clients with unknown keys, in virtual time."""

import asyncio

import pytest

from finchladder.cluster.process.configuration_refresher import MIN_PULL_INTERVAL_S, ConfigurationRefresher
from finchladder.cluster.process.tasks import Tasks
from finchladder.lab.cluster.virtual import run


class Source:
    """A slow source; `outcomes`: result or exception of each pull, of which the last one repeats."""

    def __init__(self, *outcomes: bool | Exception) -> None:
        self.outcomes = list(outcomes)
        self.pulls = 0

    async def pull_once(self, timeout_s: float) -> bool:
        self.pulls += 1
        await asyncio.sleep(0.05)
        outcome = self.outcomes[min(self.pulls, len(self.outcomes)) - 1]
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_one_pull_serves_all_waiting_callers(is_confirmed: bool) -> None:
    async def work() -> None:
        source = Source(is_confirmed)
        refresher = ConfigurationRefresher(source.pull_once, Tasks())
        answers = await asyncio.gather(*(refresher.refresh() for _ in range(20)))
        assert answers == [is_confirmed] * 20
        assert source.pulls == 1

    run(work())


def test_pulls_are_spaced_and_the_last_result_is_reused_in_between() -> None:
    async def work() -> None:
        source = Source(True, False)
        refresher = ConfigurationRefresher(source.pull_once, Tasks())
        assert [await refresher.refresh() for _ in range(5)] == [True] * 5
        assert source.pulls == 1
        await asyncio.sleep(MIN_PULL_INTERVAL_S)
        assert not await refresher.refresh()
        assert source.pulls == 2

    run(work())


def test_a_disconnected_client_does_not_cancel_the_pull_of_the_others() -> None:
    async def work() -> None:
        source = Source(True)
        refresher = ConfigurationRefresher(source.pull_once, Tasks())
        leaving, staying = (asyncio.create_task(refresher.refresh()) for _ in range(2))
        await asyncio.sleep(0.01)
        leaving.cancel()
        assert await staying
        assert leaving.cancelled()
        assert source.pulls == 1

    run(work())


def test_after_an_error_the_next_refresh_pulls_again() -> None:
    async def work() -> None:
        source = Source(True, ValueError("unexpected"), True)
        refresher = ConfigurationRefresher(source.pull_once, Tasks())
        assert await refresher.refresh()
        await asyncio.sleep(MIN_PULL_INTERVAL_S)
        with pytest.raises(ValueError, match="unexpected"):
            await refresher.refresh()
        assert not await refresher.refresh(), "the error confirms nothing"
        await asyncio.sleep(MIN_PULL_INTERVAL_S)
        assert await refresher.refresh()

    run(work())
