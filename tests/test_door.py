"""Admission limits by client address: token buckets with given times, and limits on real sockets."""

import asyncio
from pathlib import Path

import pytest

from finchladder.config.options import DoorOptions, Options
from finchladder.features.admission_limits import ClientLimits, TokenBuckets
from tests.peers import HEALTH, RealServer, exchange, node, read_message, request, run


@pytest.mark.parametrize("start", [0.0, 1.7e9])
def test_requests_within_a_second_get_the_burst_and_the_refilled_tokens(start: float) -> None:
    limits = ClientLimits(Options(door=DoorOptions()))
    waits = [limits.take(start + n / 100, "10.0.0.1", "a") for n in range(100)]
    assert (waits.count(0.0), waits.count(0.05)) == (59, 41)  # the last request is at 0.99 s
    assert waits[:40] == [0.0] * 40


@pytest.mark.parametrize(("rate", "burst"), [(20.0, 40.0), (0.3, 1.0), (10_000.0, 10_000.0)])
def test_a_retry_at_the_announced_time_is_admitted(rate: float, burst: float) -> None:
    """Rounding at present Unix times must neither consume tokens nor reject a retry at the announced time."""
    buckets, now = TokenBuckets(DoorOptions(rate, burst)), 1764585417.123
    assert [buckets.take(now, "a") for _ in range(int(burst))] == [0.0] * int(burst)
    for n in range(1, 50):
        assert buckets.take(now + (n - 1) / rate, "a") == 1 / rate
        assert buckets.take(now + n / rate, "a") == 0.0


def test_the_least_recently_seen_address_is_dropped_and_starts_full() -> None:
    buckets = TokenBuckets(DoorOptions(rate=1, burst=1, max_keys=2))
    assert [buckets.take(0.0, a) for a in ("a", "b", "a", "c", "a", "b")] == [0.0, 0.0, 1.0, 0.0, 1.0, 0.0]
    assert list(buckets.full_at) == ["a", "b"]  # a rejected request counts as seen


def test_a_class_has_buckets_of_its_own_in_place_of_the_general_ones() -> None:
    one = DoorOptions(rate=1, burst=1)
    limits = ClientLimits(Options(door=one, door_of={"a": DoorOptions(rate=0.2, burst=2)}))
    assert [limits.take(0.0, "x", c) for c in "aaabb"] == [0.0, 0.0, 5.0, 0.0, 1.0]
    alone = ClientLimits(Options(door_of={"a": one}))
    assert [alone.take(0.0, "x", c) for c in "aabbb"] == [0.0, 1.0, 0.0, 0.0, 0.0]


def test_admission_limits_apply_to_jobs_by_address_only(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = RealServer("w1")
        ini = "[door]\nrate = 0.01\nburst = 2\n[door.u]\nrate = 0.002\nburst = 1\n"
        async with node(tmp_path, server, ini=ini) as n:
            reader, writer = await asyncio.open_connection("127.0.0.1", n.port)
            got = []
            for i in range(4):  # one connection, kept after a rejection; client retries count as requests
                writer.write(request(f"a{i}", more="X-Repeat: 1\r\n" if i % 2 else ""))
                got.append(await read_message(reader))
            assert [m.status for m in got] == [200, 200, 429, 429]
            assert got[2].headers["retry-after"] == "100"
            assert "retry-after" not in got[0].headers
            writer.write(HEALTH)
            assert (await read_message(reader)).status == 200
            assert [(await n.ask(i, "/u/k")).status for i in ("b1", "b2")] == [200, 429]
            assert len(server.got) == 3  # workers' callbacks come from the limited address and are accepted
            other = await exchange(n.port, request("c1"), client="127.0.0.9")
            assert (other.status, other.body) == (200, b"w1 ran c1")
            bad = [await exchange(n.port, request("", path="/s/k"), client="127.0.0.8") for _ in range(3)]
            assert [m.status for m in bad] == [400] * 3  # invalid requests aren't limited
            writer.close()

    run(scenario())
