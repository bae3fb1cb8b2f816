"""ClientLimits limits: the buckets with times handed in, and the door on real sockets."""

import asyncio
from pathlib import Path

import pytest

from finchladder.config.options import DoorOptions, Options
from finchladder.features.admission_limits import ClientLimits, TokenBuckets
from tests.peers import HEALTH, RealServer, exchange, node, read_message, request, run


@pytest.mark.parametrize("start", [0.0, 1.7e9])
def test_a_hundred_in_a_second_are_the_burst_and_what_returns_meanwhile(start: float) -> None:
    door = ClientLimits(Options(door=DoorOptions()))
    waits = [door.take(start + n / 100, "10.0.0.1", "a") for n in range(100)]
    assert (waits.count(0.0), waits.count(0.05)) == (59, 41)  # the last comes at 0.99 s
    assert waits[:40] == [0.0] * 40


@pytest.mark.parametrize(("rate", "burst"), [(20.0, 40.0), (0.3, 1.0), (10_000.0, 10_000.0)])
def test_who_comes_back_when_told_to_is_let_in(rate: float, burst: float) -> None:
    """Rounding at today's times must neither eat tokens nor turn away who waited exactly so long."""
    buckets, now = TokenBuckets(DoorOptions(rate, burst)), 1764585417.123
    assert [buckets.take(now, "a") for _ in range(int(burst))] == [0.0] * int(burst)
    for n in range(1, 50):
        assert buckets.take(now + (n - 1) / rate, "a") == 1 / rate
        assert buckets.take(now + n / rate, "a") == 0.0


def test_the_least_recently_seen_address_is_dropped_and_starts_full() -> None:
    buckets = TokenBuckets(DoorOptions(rate=1, burst=1, max_keys=2))
    assert [buckets.take(0.0, a) for a in ("a", "b", "a", "c", "a", "b")] == [0.0, 0.0, 1.0, 0.0, 1.0, 0.0]
    assert list(buckets.full_at) == ["a", "b"]  # a refusal counts as seen


def test_a_class_has_buckets_of_its_own_in_place_of_the_general_ones() -> None:
    one = DoorOptions(rate=1, burst=1)
    door = ClientLimits(Options(door=one, door_of={"a": DoorOptions(rate=0.2, burst=2)}))
    assert [door.take(0.0, "x", c) for c in "aaabb"] == [0.0, 0.0, 5.0, 0.0, 1.0]
    alone = ClientLimits(Options(door_of={"a": one}))
    assert [alone.take(0.0, "x", c) for c in "aabbb"] == [0.0, 1.0, 0.0, 0.0, 0.0]


def test_the_door_limits_jobs_by_address_and_nothing_else(tmp_path: Path) -> None:
    async def play() -> None:
        server = RealServer("w1")
        ini = "[door]\nrate = 0.01\nburst = 2\n[door.u]\nrate = 0.002\nburst = 1\n"
        async with node(tmp_path, server, ini=ini) as n:
            reader, writer = await asyncio.open_connection("127.0.0.1", n.port)
            got = []
            for i in range(4):  # on one connection: a refusal keeps it; a repeat counts like any other
                writer.write(request(f"a{i}", more="X-Repeat: 1\r\n" if i % 2 else ""))
                got.append(await read_message(reader))
            assert [m.status for m in got] == [200, 200, 429, 429]
            assert got[2].headers["retry-after"] == "100"
            assert "retry-after" not in got[0].headers
            writer.write(HEALTH)
            assert (await read_message(reader)).status == 200
            assert [(await n.ask(i, "/u/k")).status for i in ("b1", "b2")] == [200, 429]
            assert len(server.got) == 3  # all call-backs came through, from the address that is turned away
            other = await exchange(n.port, request("c1"), client="127.0.0.9")
            assert (other.status, other.body) == (200, b"w1 ran c1")
            bad = [await exchange(n.port, request("", path="/s/k"), client="127.0.0.8") for _ in range(3)]
            assert [m.status for m in bad] == [400] * 3  # what is no job is no matter for the door
            writer.close()

    run(play())
