"""Control calls of the command line to a running dispatcher, by default at NODE_LISTEN."""

import http.client
import os
from collections.abc import Iterator

import msgspec

from finchladder.config.addresses import parse_address
from finchladder.features.fault_injection import FaultOrder

CHUNK_BYTES = 64 * 1024
FAULT_INJECTION_KEY_VARIABLE = (
    "NODE_DRILL_KEY"  # not an argument, as all users of the machine can read arguments
)
OUTLIER_KEY_VARIABLE = "NODE_JUDGE_KEY"  # not an argument for the same reason
TIMEOUT_S = 10.0


class CallError(Exception):
    """The dispatcher didn't answer or refused the call; the message is one line."""


def connect() -> http.client.HTTPConnection:
    """Returns a connection to NODE_LISTEN.

    Raises:
        ValueError: NODE_LISTEN isn't set or can't be parsed.
    """
    if not os.environ.get("NODE_LISTEN"):
        raise ValueError("NODE_LISTEN is not set")
    return http.client.HTTPConnection(*parse_address(os.environ["NODE_LISTEN"]), timeout=TIMEOUT_S)


def send_request(
    connection: http.client.HTTPConnection, method: str, path: str, body: bytes | None, fields: dict[str, str]
) -> http.client.HTTPResponse:
    """Sends a request and returns a 200 response, its body unread.

    Raises:
        CallError: There was no answer, or one with another status.
    """
    try:
        connection.request(method, path, body, fields)
        response = connection.getresponse()
        if response.status != 200:
            text = response.read(1024).decode("utf-8", "replace").strip()
            raise CallError(f"the dispatcher answered {response.status}: {text}")
        return response
    except (OSError, http.client.HTTPException) as e:
        raise CallError(f"no answer from {connection.host}:{connection.port}: {e}") from None


def get(path: str, at: tuple[str, int] | None = None) -> str:
    """Returns the body of a GET request to the dispatcher at address `at`, by default NODE_LISTEN."""
    connection = http.client.HTTPConnection(*at, timeout=TIMEOUT_S) if at is not None else connect()
    try:
        return send_request(connection, "GET", path, None, {}).read().decode()
    finally:
        connection.close()


def start_fault(order: FaultOrder, key: str) -> str:
    """Starts a fault injection and returns the answer.

    Raises:
        ValueError: The key has other characters than visible ASCII.
        CallError: The call failed.
    """
    if not all(" " <= c <= "~" for c in key):
        raise ValueError("the key has characters that are not visible ASCII")  # the key must not be printed
    connection = connect()
    try:
        body, fields = msgspec.json.encode(order), {"X-Drill-Key": key} if key else {}
        return send_request(connection, "POST", "/_drill", body, fields).read().decode()
    except CallError as e:
        hint = (
            f"; {FAULT_INJECTION_KEY_VARIABLE} is not set, and the file of --config has no key in [drill]"
            if not key
            else ""
        )
        raise CallError(f"{e}{hint}") from None
    finally:
        connection.close()


def override_worker(order: dict[str, object], key: str, at: tuple[str, int] | None = None) -> str:
    """Orders the dispatcher at `at`, by default NODE_LISTEN, to override outlier detection for a worker.

    Raises:
        ValueError: The key has other characters than visible ASCII.
        CallError: The call failed.
    """
    if not all(" " <= c <= "~" for c in key):
        raise ValueError("the key has characters that are not visible ASCII")
    connection = http.client.HTTPConnection(*at, timeout=TIMEOUT_S) if at is not None else connect()
    try:
        fields = {"X-Judge-Key": key} if key else {}
        return send_request(connection, "POST", "/_judge", msgspec.json.encode(order), fields).read().decode()
    except CallError as e:
        hint = (
            f"; {OUTLIER_KEY_VARIABLE} is not set, and the file of --config has no key in [judgement]"
            if not key
            else ""
        )
        raise CallError(f"{e}{hint}") from None
    finally:
        connection.close()


def capture_dump() -> Iterator[bytes]:
    """Yields the dispatcher's capture in chunks.

    Raises:
        CallError: The call failed, or the answer was truncated.
    """
    connection = connect()
    try:
        response = send_request(connection, "GET", "/_capture", None, {})
        remaining = response.length or 0
        while chunk := response.read(CHUNK_BYTES):
            remaining -= len(chunk)
            yield chunk
        if remaining:
            raise CallError("the dispatcher closed the connection before the end of the answer")
    except (OSError, http.client.HTTPException) as e:
        raise CallError(f"the connection to the dispatcher failed: {e}") from None
    finally:
        connection.close()
