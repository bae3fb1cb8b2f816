"""The command line's control calls to a running dispatcher, at the address that NODE_LISTEN gives."""

import http.client
import os
from collections.abc import Iterator

import msgspec

from finchladder.config.addresses import parse_address
from finchladder.features.fault_injection import Order

PIECE = 64 * 1024
KEY = "NODE_DRILL_KEY"  # not an argument: every user of the machine can read those
JUDGE_KEY = "NODE_JUDGE_KEY"  # likewise
WITHIN = 10.0


class CallError(Exception):
    """The dispatcher could not be asked or did not do it; the message says why in one line."""


def connect() -> http.client.HTTPConnection:
    if not os.environ.get("NODE_LISTEN"):
        raise ValueError("NODE_LISTEN is not set")
    return http.client.HTTPConnection(*parse_address(os.environ["NODE_LISTEN"]), timeout=WITHIN)


def ask(
    connection: http.client.HTTPConnection, method: str, path: str, body: bytes | None, fields: dict[str, str]
) -> http.client.HTTPResponse:
    """The answer, if it is a 200; its body is still to be read."""
    try:
        connection.request(method, path, body, fields)
        response = connection.getresponse()
        if response.status != 200:
            said = response.read(1024).decode("utf-8", "replace").strip()
            raise CallError(f"the dispatcher answered {response.status}: {said}")
        return response
    except (OSError, http.client.HTTPException) as e:
        raise CallError(f"no answer from {connection.host}:{connection.port}: {e}") from None


def get(path: str, at: tuple[str, int] | None = None) -> str:
    """What is answered to a GET, by the dispatcher at that address, or by that at NODE_LISTEN."""
    connection = http.client.HTTPConnection(*at, timeout=WITHIN) if at is not None else connect()
    try:
        return ask(connection, "GET", path, None, {}).read().decode()
    finally:
        connection.close()


def drill(order: Order, key: str) -> str:
    if not all(" " <= c <= "~" for c in key):
        raise ValueError("the key holds what is not visible ASCII")  # and is not to be printed
    connection = connect()
    try:
        body, fields = msgspec.json.encode(order), {"X-Drill-Key": key} if key else {}
        return ask(connection, "POST", "/_drill", body, fields).read().decode()
    except CallError as e:
        hint = f"; {KEY} is not set, and no file named by --config has a key in [drill]" if not key else ""
        raise CallError(f"{e}{hint}") from None
    finally:
        connection.close()


def judge(order: dict[str, object], key: str, at: tuple[str, int] | None = None) -> str:
    """Says a word of a real server at that dispatcher, or at that at NODE_LISTEN."""
    if not all(" " <= c <= "~" for c in key):
        raise ValueError("the key holds what is not visible ASCII")
    connection = http.client.HTTPConnection(*at, timeout=WITHIN) if at is not None else connect()
    try:
        fields = {"X-Judge-Key": key} if key else {}
        return ask(connection, "POST", "/_judge", msgspec.json.encode(order), fields).read().decode()
    except CallError as e:
        hint = f"; {JUDGE_KEY} is not set, and no file by --config has a [judgement] key" if not key else ""
        raise CallError(f"{e}{hint}") from None
    finally:
        connection.close()


def capture_dump() -> Iterator[bytes]:
    """The ring of the running dispatcher, piece by piece; a cut one is an error."""
    connection = connect()
    try:
        response = ask(connection, "GET", "/_capture", None, {})
        left = response.length or 0
        while piece := response.read(PIECE):
            left -= len(piece)
            yield piece
        if left:
            raise CallError("the dispatcher broke off")
    except (OSError, http.client.HTTPException) as e:
        raise CallError(f"the dispatcher broke off: {e}") from None
    finally:
        connection.close()
