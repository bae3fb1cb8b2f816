"""The HTTP messages of the data path: jobs from clients, jobs sent to workers, and callbacks."""

import math
import re
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from finchladder.net.http1 import MAX_BODY_BYTES, Head, Headers, MalformedMessageError, write_request

CALLBACK_PATH = "/v1/job-events"
# room for a result of maximum length in which JSON escapes every byte
MAX_CALLBACK_BYTES = 6 * MAX_BODY_BYTES + 16 * 1024
HOP_BY_HOP_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-connection",
        "proxy-authorization",
        "content-length",
        "host",
        "expect",
        "x-time-left",
    }
)

_ID = re.compile(r"[!-~]{1,128}")
_TIME_LEFT = re.compile(r"[0-9]{1,6}(\.[0-9]{0,9})?|\.[0-9]{1,9}")


@dataclass(slots=True, eq=False)
class HttpMessage:
    """A client's request, forwarded unchanged except for its hop-by-hop header fields."""

    method: str
    target: str
    headers: Headers
    body: bytes

    def request(self, host: str, time_left_s: float) -> bytes:
        """Returns the request to a worker; `time_left_s` in seconds goes into X-Time-Left."""
        connection_fields = self.headers.tokens("connection")
        dropped = HOP_BY_HOP_FIELDS | connection_fields if connection_fields else HOP_BY_HOP_FIELDS
        fields = [(n, v) for n, v in self.headers.fields if n.lower() not in dropped]
        fields += [("Host", host), ("X-Time-Left", f"{time_left_s:.3f}")]
        return write_request(self.method, self.target, fields, self.body)


class Callback(msgspec.Struct, rename={"sender": "from"}):
    """A worker's callback on the progress or result of a job."""

    id: str
    sender: str
    state: str
    share: float = 0.0
    result: str = ""
    load: object = None

    def load_report(self) -> dict[str, float] | None:
        """Returns the numeric entries of the load report, or None if there are none."""
        pairs = self.load.items() if isinstance(self.load, dict) else ()
        return {str(n): float(v) for n, v in pairs if isinstance(v, int | float)} or None


def hash_key(text: str) -> int | None:
    """Returns a hash that is equal in all dispatchers and after restarts, unlike that of Python's hash()."""
    return int.from_bytes(blake2b(text.encode(), digest_size=7).digest(), "big") if text else None


def read_target(target: str) -> tuple[str, int | None]:
    """Returns the job class, the first path segment, and the hash of the last one if there are several."""
    parts = target.partition("?")[0].split("/")
    return parts[1] if len(parts) > 1 else "", hash_key(parts[-1]) if len(parts) > 2 else None


def read_id(head: Head) -> str:
    """Returns the request id from X-Correlation-Id.

    Raises:
        MalformedMessageError: It is missing, repeated or malformed.
    """
    value = head.headers.get("x-correlation-id")
    if value is None or not _ID.fullmatch(value):
        raise MalformedMessageError(400, "X-Correlation-Id is missing, repeated or unusable")
    return value


def read_time_left(head: Head) -> float:
    """Returns the client's timeout in seconds, from X-Time-Left.

    Raises:
        MalformedMessageError: It is missing, repeated or malformed.
    """
    value = head.headers.get("x-time-left") or ""
    seconds = float(value) if _TIME_LEFT.fullmatch(value) else 0.0
    if seconds <= 0:
        raise MalformedMessageError(400, "X-Time-Left is missing, repeated or unusable")
    return seconds


def read_client_retry(head: Head) -> bool:
    """Returns whether the client marked the request as a retry with `X-Repeat: 1`."""
    return head.headers.get("x-repeat") == "1"


def read_facts(head: Head) -> dict[str, float]:
    """Returns the known name=value pairs of X-Facts.

    Raises:
        MalformedMessageError: A known name has no number in range.
    """
    facts: dict[str, float] = {}
    if not head.headers.all("x-facts"):
        return facts
    for pair in ",".join(head.headers.all("x-facts")).split(","):
        name, _, value = (part.strip() for part in pair.partition("="))
        if name not in ("slots", "memory"):
            continue
        try:
            facts[name] = float(value)
        except ValueError:
            raise MalformedMessageError(400, f"X-Facts: {name} is no number") from None
        if not (math.isfinite(facts[name]) and 0 <= facts[name] < 1e6):
            raise MalformedMessageError(400, f"X-Facts: {name} can't be used")
    return facts


def read_callback(body: bytes) -> Callback:
    """Decodes a worker's callback.

    Raises:
        MalformedMessageError: The body is not valid.
    """
    try:
        return _callback_decoder.decode(body)
    except msgspec.MsgspecError as e:
        raise MalformedMessageError(400, str(e)) from None


_callback_decoder = msgspec.json.Decoder(Callback)


def limit_of(head: Head) -> int:
    """Returns the maximum body size of a request in bytes."""
    return MAX_CALLBACK_BYTES if head.target.partition("?")[0] == CALLBACK_PATH else MAX_BODY_BYTES
