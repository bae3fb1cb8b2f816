"""Clients that break the rules: their bytes, drawn from a seed, and what an honest server may do with them.

A message that could be taken for a job carries an id that no ledger knows, so that a dispatcher that hands it
on is found by what the real servers took. What could be a whole, lawful message asks for `/_health` alone.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

LISTENS_S = 3.0  # after its last byte, unless a kind says otherwise
MOST_BYTES = 512 * 1024  # of one rude client


class Step(NamedTuple):
    wait_s: float  # before these bytes are written
    data: bytes


class Rude(NamedTuple):
    """One rude connection.

    An honest server may always close; it may answer with one of `statuses`, at most `answers` times. Silence
    is never wrong in itself: the server may be paused or cut off.
    """

    steps: tuple[Step, ...]
    statuses: frozenset[int]
    answers: int = 1
    kind: str = ""  # the name of its function below
    listens_s: float = LISTENS_S  # after the last step, before it closes
    resets: bool = False  # it ends with a reset


_Draw = Callable[[random.Random, str], Rude]
KINDS: dict[str, _Draw] = {}
_REFUSED = frozenset({400, 403, 404, 408, 411, 413, 414, 417, 421, 429, 431, 501, 503, 505})
_HEALTH = b"GET /_health HTTP/1.1\r\nHost: rude\r\n"


def _kind(draw: _Draw) -> _Draw:
    KINDS[draw.__name__] = draw
    return draw


def _head(rng: random.Random, job_class: str, *fields: str, id: bool = True) -> bytes:
    """A job's head without its last line, with an id that begins with `rude`."""
    lines = [f"POST /{job_class}/k{rng.randrange(1000)} HTTP/1.1", "Host: rude", "X-Time-Left: 2.0"]
    if id:
        lines.append(f"X-Correlation-Id: rude{rng.getrandbits(64):016x}")
    return "".join(f"{line}\r\n" for line in (*lines, *fields)).encode("latin-1")


def _once(data: bytes, statuses: frozenset[int] = _REFUSED, answers: int = 1) -> Rude:
    return Rude((Step(0.0, data),), statuses, answers)


def _health(data: bytes) -> Rude:
    """What one server may take and another turn away."""
    return _once(data, _REFUSED | {200})


@_kind
def slow_loris(rng: random.Random, job_class: str) -> Rude:
    data = _head(rng, job_class, "Content-Length: 2")
    steps = tuple(Step(rng.uniform(0.1, 0.4), data[i : i + 1]) for i in range(rng.randrange(10, 40)))
    return Rude(steps, _REFUSED)


@_kind
def garbage(rng: random.Random, job_class: str) -> Rude:
    return _once(rng.randbytes(rng.randrange(16, 4096)) + b"\r\n\r\n")


@_kind
def half_head(rng: random.Random, job_class: str) -> Rude:
    data = _head(rng, job_class, "Content-Length: 2")
    return _once(data[: rng.randrange(1, len(data))])


@_kind
def huge_head(rng: random.Random, job_class: str) -> Rude:
    filler = b"".join(b"X-Filler-%d: %b\r\n" % (i, b"a" * 900) for i in range(rng.randrange(10, 60)))
    return _health(_HEALTH + filler + b"\r\n")


@_kind
def many_fields(rng: random.Random, job_class: str) -> Rude:
    return _health(_HEALTH + b"".join(b"X-%d: 1\r\n" % i for i in range(rng.randrange(100, 600))) + b"\r\n")


@_kind
def long_target(rng: random.Random, job_class: str) -> Rude:
    return _once(b"GET /" + b"a" * rng.randrange(9000, 70000) + b" HTTP/1.1\r\nHost: x\r\n\r\n")


@_kind
def two_framings(rng: random.Random, job_class: str) -> Rude:
    fields = ["Content-Length: 2", "Transfer-Encoding: chunked"]
    rng.shuffle(fields)
    return _once(_head(rng, job_class, *fields) + b"\r\n2\r\n{}\r\n0\r\n\r\n")


@_kind
def two_lengths(rng: random.Random, job_class: str) -> Rude:
    fields = ["Content-Length: 2", f"Content-Length: {rng.randrange(3, 50)}"]
    rng.shuffle(fields)
    return _once(_head(rng, job_class, *fields) + b"\r\n{}")


@_kind
def bad_length(rng: random.Random, job_class: str) -> Rude:
    value = rng.choice(["-5", "0x10", "1e3", "two", "+2", "2,3", "", "9" * 30])
    return _once(_head(rng, job_class, f"Content-Length: {value}") + b"\r\n{}")


@_kind
def bad_chunk(rng: random.Random, job_class: str) -> Rude:
    chunk = rng.choice([b"zz\r\n{}\r\n", b"-2\r\n{}\r\n", b"2\r\n{}}}\r\n", b"ffffffffffffffffff\r\n{}\r\n"])
    return _once(_head(rng, job_class, "Transfer-Encoding: chunked") + b"\r\n" + chunk)


@_kind
def half_body(rng: random.Random, job_class: str) -> Rude:
    data = _head(rng, job_class, "Content-Length: 1000") + b"\r\n" + b"a" * rng.randrange(999)
    return _once(data)


@_kind
def huge_body(rng: random.Random, job_class: str) -> Rude:
    size = rng.randrange(100_000, 400_000)
    return _once(_head(rng, job_class, f"Content-Length: {size * 10}") + b"\r\n" + b"a" * size)


@_kind
def endless_chunks(rng: random.Random, job_class: str) -> Rude:
    chunk = b"400\r\n" + b"a" * 1024 + b"\r\n"
    steps = [Step(0.0, _head(rng, job_class, "Transfer-Encoding: chunked") + b"\r\n")]
    steps += [Step(rng.uniform(0.0, 0.03), chunk) for _ in range(rng.randrange(100, 300))]
    return Rude(tuple(steps), _REFUSED)


@_kind
def pipelined(rng: random.Random, job_class: str) -> Rude:
    n = rng.randrange(2, 5)
    return _once((_HEALTH + b"\r\n") * n, _REFUSED | {200}, answers=n)


@_kind
def sit(rng: random.Random, job_class: str) -> Rude:
    return Rude((), frozenset({408, 503}), listens_s=rng.uniform(1.0, 6.0))


@_kind
def nul(rng: random.Random, job_class: str) -> Rude:
    data = bytearray(_head(rng, job_class, "X-Filler: abc", "Content-Length: 2"))
    place = data.index(rng.choice([b"abc", b"X-Filler", b"/k"]))
    data[place : place + 1] = b"\0"
    return _once(bytes(data) + b"\r\n{}")


@_kind
def bad_name(rng: random.Random, job_class: str) -> Rude:
    field = rng.choice(["X Filler: 1", "X-Filler : 1", ": 1", "X-(Filler): 1", "X-Filler\x01: 1", "no colon"])
    return _once(_head(rng, job_class, field, "Content-Length: 2") + b"\r\n{}")


@_kind
def bare_lines(rng: random.Random, job_class: str) -> Rude:
    end = rng.choice([b"\n", b"\r"])
    return _health((_HEALTH + b"\r\n").replace(b"\r\n", end))


@_kind
def folded(rng: random.Random, job_class: str) -> Rude:
    return _health(_HEALTH + b"X-Filler: 1\r\n 2\r\n\r\n")


@_kind
def bad_start(rng: random.Random, job_class: str) -> Rude:
    line = rng.choice(
        [
            "GET /_health HTTP/9.9",
            "GET /_health",
            "GET  /_health HTTP/1.1",
            "G\x7fT /_health HTTP/1.1",
            "/_health",
        ]
    )
    return _health(f"{line}\r\nHost: rude\r\n\r\n".encode("latin-1"))


@_kind
def no_id(rng: random.Random, job_class: str) -> Rude:
    return _once(_head(rng, job_class, "Content-Length: 2", id=False) + b"\r\n{}")


@_kind
def trickle(rng: random.Random, job_class: str) -> Rude:
    data = _HEALTH + b"\r\n"
    steps = tuple(Step(rng.uniform(0.0, 0.004), data[i : i + 1]) for i in range(len(data)))
    return Rude(steps, frozenset({200, 408, 429, 503}))


@_kind
def asks_and_resets(rng: random.Random, job_class: str) -> Rude:
    return Rude((Step(0.0, _HEALTH + b"\r\n"),), _REFUSED | {200}, listens_s=0.0, resets=True)


def draw(seed: int, classes: Sequence[str]) -> Rude:
    """The rude client of that seed; its messages name one of the classes."""
    rng = random.Random(seed)
    kind = rng.choice(sorted(KINDS))
    return KINDS[kind](rng, rng.choice(classes))._replace(kind=kind)


def wrong(rude: Rude, statuses: Sequence[int]) -> str:
    """What the server did that no honest one may; empty: nothing. `statuses`: its answers, in order."""
    if len(statuses) > rude.answers:
        return f"{len(statuses)} answers to {rude.answers} messages"
    bad = [status for status in statuses if status not in rude.statuses]
    return f"answered {bad[0]}" if bad else ""
