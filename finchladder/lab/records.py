"""The ledger's records: what each party of a run saw with its own eyes, written by the stand-ins alone.

Times are seconds on the machine's monotonic clock, the same in all processes of a run. A file holds records
as msgpack, each behind its length in four bytes (big endian); a process that is killed leaves a torn tail,
which `read` cuts off. Nothing that a dispatcher says of itself is in here.
"""

import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO, Literal

import msgspec

MOST = 1 << 20  # bytes of one record: a longer length is no record but damage


class Record(msgspec.Struct, array_like=True):
    """Base of all records; `tag` is the first element of the array."""


class Asked(Record, tag="ask"):
    """One try of a client, written once its last byte has left (or the connection was not to be had)."""

    id: str  # X-Correlation-Id: fresh for each try
    origin: str  # the id of the first try; the try itself where number is 0
    number: int
    client: str
    dispatcher: str  # whom it was sent to; empty where no dispatcher could be connected to
    job_class: str
    key: str  # empty: none
    due: float  # the time the schedule gave it; latency counts from here
    sent: float  # its last byte was written
    patience: float  # seconds it waits, from `sent`
    work: float  # running time on one core at speed 1, in seconds
    slots: float = 1.0
    begun: float = 0.0  # the generator took it up: `begun - due` is its own lateness; 0: not kept
    digest: int = 0  # of method, target and body as sent; 0: not kept


End = Literal["answer", "reset", "closed", "silent", "unconnected", "left"]


class Answered(Record, tag="answer"):
    """How a try ended at the client: with a whole answer, or without.

    reset/closed: the dispatcher's side ended the connection without a whole answer; silent: nothing came in
    the try's patience; unconnected: no connection; left: this client closed it on purpose (impatient, rude).
    """

    id: str
    at: float  # the last byte of the answer, or the end of waiting
    end: End
    status: int = 0
    body: str = ""  # of a 200: the result as text
    retry_after: float = 0.0


class Told(Record, tag="told"):
    """Discovery has written to that dispatcher's watch that a real server is in that state."""

    dispatcher: str
    server: str
    state: Literal["ready", "draining", "gone"]
    born: float  # monotonic time of the real server's last start; 0: long ago
    at: float


class Born(Record, tag="born"):
    """A real server's process starts (`epoch` counts its starts), with what the cold rule needs to know."""

    server: str
    epoch: int
    at: float
    cold: bool  # whether it starts cold
    capacity: float  # work a second when warm, in seconds at speed 1: cores x speed
    kind: str = ""
    zone: str = ""
    cold_from: float = 1.0  # part of the capacity at the start
    cold_for: float = 0.0  # seconds until it is warm
    group: int = 0  # those that drop each other's repeats, where a class's group is "cell"
    warm_work: float = 0.0  # work done, in seconds at speed 1, that also makes it warm; 0: only time does


class Died(Record, tag="died"):
    server: str
    epoch: int
    at: float
    why: Literal["killed", "fell", "left", "paused", "resumed"]


class Taken(Record, tag="taken"):
    """A request's last byte has come to a real server; what it answered at once."""

    id: str
    server: str
    epoch: int
    first: float  # first byte of it came
    last: float  # last byte of it came
    verdict: Literal["accepted", "full", "error", "silent", "reset", "unknown"]
    digest: int = 0  # of method, target and body as they came; 0: not kept


class Began(Record, tag="began"):
    id: str
    server: str
    epoch: int
    at: float


class Ended(Record, tag="ended"):
    id: str
    server: str
    epoch: int
    at: float
    how: Literal["done", "failed", "returned", "killed", "cancelled"]
    result: str = ""  # what the real server made, for `done`


class Struck(Record, tag="fault"):
    """A fault that the run caused, or its end; `target` names who it struck."""

    at: float
    kind: str
    target: str
    detail: str = ""


class Sample(Record, tag="sample"):
    """A process of the run, measured from outside."""

    process: str  # a dispatcher's name, or the name of a process of the lab
    at: float
    cpu: float  # CPU seconds used since its start
    rss: int  # bytes resident
    fds: int  # open descriptors
    start: int = 0  # counts the starts of a dispatcher


class Lateness(Record, tag="late"):
    """How late a process of the lab was in the second before `at`: the largest delay of its own timers."""

    process: str
    at: float
    worst: float
    events: int  # what it did in that second (tries sent, requests taken)


class Rude(Record, tag="rude"):
    """A rude client is done. Its requests are no tries: nobody is owed an answer to them."""

    at: float
    kind: str  # of models/rude.py
    dispatcher: str
    ending: str  # the first answer's status, or closed, silent, unconnected
    wrong: str = ""  # what the dispatcher did that no honest one may


class Held(Record, tag="held"):
    """A real server's connections over the whole run, written at its end."""

    server: str
    most: int  # that it held at once
    refused: int  # that it had no place for


class Mark(Record, tag="mark"):
    """A phase begins. Names with a colon are no phases: the run's limits (`run:start`, `run:arrivals_end`,
    `run:end`), and `load:overflow`, from when on arrivals were not sent as too much was in flight."""

    at: float
    name: str


Any = (
    Asked
    | Answered
    | Told
    | Born
    | Died
    | Taken
    | Began
    | Ended
    | Struck
    | Sample
    | Lateness
    | Rude
    | Mark
    | Held
)


def digest(method: str, target: str, body: bytes) -> int:
    """CRC-32 of what a dispatcher has to pass on unchanged: shows an altered request, not a forged one."""
    return zlib.crc32(body, zlib.crc32(f"{method} {target}\n".encode("latin-1")))


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Any).decode


class Writer:
    """Appends records to a file through a buffer; `flush` before others read it."""

    def __init__(self, path: Path) -> None:
        self.file: BinaryIO = open(path, "ab", buffering=1 << 18)  # noqa: SIM115
        self.count = 0

    def put(self, record: Record) -> None:
        data = _encode(record)
        self.file.write(len(data).to_bytes(4, "big") + data)
        self.count += 1

    def flush(self) -> None:
        self.file.flush()

    def close(self) -> None:
        self.file.close()


def read(path: Path) -> Iterator[Any]:
    """All whole records of a file; a torn tail is cut off. ValueError: damage that is no torn tail."""
    with open(path, "rb") as file:
        while len(head := file.read(4)) == 4:
            size = int.from_bytes(head, "big")
            if size > MOST:
                raise ValueError(f"{path.name}: a record of {size} bytes at {file.tell() - 4}")
            data = file.read(size)
            if len(data) < size:
                return
            try:
                yield _decode(data)
            except msgspec.MsgspecError as e:
                raise ValueError(f"{path.name}: unreadable record before {file.tell()}: {e}") from None


def read_all(folder: Path) -> list[Any]:
    """The records of all files of a run's `ledger` folder, file by file in the order of their names."""
    return [r for path in sorted(folder.glob("*.log")) for r in read(path)]
