"""Adapter between the bench's text protocol and finchladder.core.api; the dispatchers make all decisions.

Malformed input ends the process with one message on standard error and exit status 2. An exception inside the
decision module is reported in the protocol as FATAL.
"""

import base64
import sys
from collections.abc import Callable, Iterator
from typing import Any, BinaryIO, NoReturn, TextIO

from finchladder.config.settings import read_settings
from finchladder.core import api
from finchladder.core.dispatch.dispatcher import Dispatcher

LIST_KINDS = {
    "patch": api.ListKind.PATCH,
    "whole": api.ListKind.FULL,
    "stale_copy": api.ListKind.STALE,
    "broken": api.ListKind.BROKEN,
}
STATES = {
    "live": api.WorkerStatus.READY,
    "quiescing": api.WorkerStatus.DRAINING,
    "dead": api.WorkerStatus.REMOVED,
}
ENDINGS = {
    "success": api.Ending.OK,
    "failure": api.Ending.ERROR,
    "overloaded": api.Ending.OVERLOADED,
    "timed_out": api.Ending.TIMED_OUT,
    "unreachable": api.Ending.UNREACHABLE,
    "broken": api.Ending.BROKEN,
    "withdrawn": api.Ending.CANCELLED,
    "void": api.Ending.VOID,
}
REPORT_FIELDS = {"concurrent", "depth", "load_share", "mean_ms", "tps", "err_ps", "x0", "x1"}
STARTED, PROGRESS = 1, 2


class WireError(Exception):
    """The input doesn't conform to the protocol."""


def number(text: str, absent: float = 0.0) -> float:
    """Parses a number; `-` means absent."""
    return absent if text == "-" else float(text)


def read_report(text: str) -> dict[str, float] | None:
    """Parses a load report; unknown fields are ignored."""
    if text == "-" or not text:
        return None
    pairs = (pair.split(":", 1) for pair in text.split(","))
    return {name: float(value) for name, value in pairs if name in REPORT_FIELDS} or None


def read_entry(line: str) -> api.WorkerEntry:
    """Parses an entry of a worker list."""
    tag, state, weight, born, kind, zone, cell, worker = line.split("\t")
    if tag != "ENTRY":
        raise WireError(f"expected ENTRY, got {tag}")
    return api.WorkerEntry(
        worker, STATES[state], zone, kind, int(number(cell)), number(born), number(weight, 1.0)
    )


def read_demand(p: list[str]) -> api.Event:
    """Parses a request."""
    _, _, req, needs, cls, _, team, memory, key, ttl, expected = p
    return api.Request(
        req,
        cls,
        float(ttl),
        number(needs, 1.0),
        None if key == "-" else int(key),
        None if team == "-" else team,
        number(memory),
        None if expected == "-" else float(expected),
    )


def read_update(p: list[str]) -> api.Event | None:
    """Parses a progress report; None if its kind is unknown."""
    _, _, req, go, _, amount, sort = p
    if int(sort) == STARTED:
        return api.Started(req, int(go))
    return api.Progress(req, int(go), number(amount)) if int(sort) == PROGRESS else None


def read_ended(p: list[str]) -> api.Event:
    """Parses the end of an attempt."""
    _, _, req, _, finished, _, code, took, go, pressure = p
    ending = ENDINGS.get(code, api.Ending.UNKNOWN)
    return api.Ended(req, int(go), ending, finished == "1", number(took), read_report(pressure))


def read_probed(p: list[str]) -> api.Event:
    """Parses the result of a health check."""
    _, _, code, took, worker, pressure = p
    return api.HealthChecked(
        worker, ENDINGS.get(code, api.Ending.UNKNOWN), number(took), read_report(pressure)
    )


READERS: dict[str, Callable[[list[str]], api.Event | None]] = {
    "DEMAND": read_demand,
    "UPDATE_OF": read_update,
    "REPORT_BACK": read_ended,
    "WAKE": lambda p: api.Timer(int(p[2])),
    "STREAMING": lambda p: api.Streaming(p[2], int(p[3])),
    "TIMED_OUT_CLIENT": lambda p: api.ClientDisconnected(p[2]),
    "PROBED": read_probed,
    "PEER_DATA": lambda p: api.PeerMessage(int(p[2]), base64.b64decode("" if p[3] == "-" else p[3])),
}


def write_send(i: str, a: api.Send) -> str:
    """Formats a send."""
    return f"DISPATCH\t{i}\t{a.request}\t{a.timeout_s:.6f}\t{a.worker}\n"


def write_timer(i: str, a: api.SetTimer) -> str:
    """Formats a timer."""
    return f"SLEEP\t{i}\t{a.delay_s:.6f}\t{a.token}\n"


def write_cancel(i: str, a: api.Cancel) -> str:
    return f"UNDO_SEND\t{i}\t{a.request}\t{a.attempt}\n"


def write_reject(i: str, a: api.Reject) -> str:
    return f"REJECT\t{i}\t{a.request}\t{a.retry_after_s:.6f}\n"


def write_fail(i: str, a: api.Fail) -> str:
    return f"FINISH_ERROR\t{i}\t{a.request}\n"


def write_subscribe(i: str, a: api.Subscribe) -> str:
    return f"WATCH\t{i}\t{int(a.on)}\n"


def write_broadcast(i: str, a: api.Broadcast) -> str:
    return f"BROADCAST_TO\t{i}\tall\t{base64.b64encode(a.data).decode()}\n"


def write_log(i: str, a: api.Log) -> str:
    return f"LOG\t{i}\t{a.text}\n"


WRITERS: dict[type, Callable[[str, Any], str]] = {
    api.Send: write_send,
    api.SetTimer: write_timer,
    api.Cancel: write_cancel,
    api.Reject: write_reject,
    api.Fail: write_fail,
    api.Subscribe: write_subscribe,
    api.Broadcast: write_broadcast,
    api.Log: write_log,
}


class Link:
    """Hosts the dispatchers of one process."""

    def __init__(self, lines: Iterator[str], out: TextIO) -> None:
        """Starts without dispatchers."""
        self.lines = lines
        self.out = out
        self.nodes: dict[str, Dispatcher] = {}
        self.lists: dict[str, tuple[api.WorkerEntry, ...]] = {}

    def run(self) -> None:
        """Handles batches until the input ends."""
        for line in self.lines:
            parts = line.rstrip("\n").split("\t")
            if parts[0] != "BEGIN_BATCH" or len(parts) != 2:
                raise WireError("a batch must begin with BEGIN_BATCH and its clock")
            self.batch(float(parts[1]))

    def batch(self, now: float) -> None:
        """Handles one batch and writes its reply."""
        reply: list[str] = []
        while (line := self.next_line()) != "EOB":
            tag, _, rest = line.partition("\t")
            read = READERS.get(tag)
            if read is not None:
                parts = line.split("\t")
                if (event := read(parts)) is not None:
                    self.handle(parts[1], now, event, reply)
            elif tag == "BACKENDS_CHANGED":
                i, kind, _, number_of_list = rest.split("\t")
                list_kind = LIST_KINDS[kind]
                entries = () if list_kind is api.ListKind.BROKEN else self.lists[number_of_list]
                self.handle(i, now, api.WorkerList(list_kind, entries), reply)
            elif tag == "LIST":
                name, count = rest.split("\t")
                self.lists[name] = tuple(read_entry(self.next_line()) for _ in range(int(count)))
            elif tag == "BORN":
                i, seed, facts = rest.split("\t", 2)
                self.nodes[i] = Dispatcher(read_settings(facts), int(seed))
            elif tag == "KILLED":
                self.nodes.pop(rest, None)
            else:
                raise WireError(f"unknown tag {tag!r}")
        reply.append("EOR\n")
        self.out.write("".join(reply))
        self.out.flush()

    def handle(self, i: str, now: float, event: api.Event, reply: list[str]) -> None:
        """Passes an event to its dispatcher and adds the actions to the reply."""
        node = self.nodes.get(i)
        if node is None:
            raise WireError(f"event for instance {i}, which isn't running")
        try:
            actions = node.handle(now, event)
        except Exception as e:  # any error is reported in the protocol, which ends the run
            reply.append(f"FATAL\t{i}\t{type(e).__name__}: {' '.join(str(e).split())}\n")
            return
        for action in actions:
            reply.append(WRITERS[type(action)](i, action))

    def next_line(self) -> str:
        """Returns the next line of a batch.

        Raises:
            WireError: The input ended.
        """
        line = next(self.lines, None)
        if line is None or not line.endswith("\n"):
            raise WireError("input ended inside a batch")
        return line[:-1]


def text_lines(stream: BinaryIO) -> Iterator[str]:
    """Decodes a binary stream to lines."""
    return (line.decode("utf-8") for line in stream)


def fail(message: str) -> NoReturn:
    """Ends the program with exit status 2."""
    print(f"benchlink: {message}", file=sys.stderr)
    sys.exit(2)


def main() -> None:
    """Runs the adapter on standard input and output."""
    try:
        Link(text_lines(sys.stdin.buffer), sys.stdout).run()
    except WireError as e:
        fail(str(e))
    except (ValueError, KeyError, IndexError, TypeError, AttributeError) as e:
        fail(f"unreadable input: {type(e).__name__}: {e}")


if __name__ == "__main__":
    main()
