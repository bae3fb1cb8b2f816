"""Classifies client requests by the pool that serves them and by their time limits."""

from collections.abc import Mapping
from hashlib import blake2b
from math import isfinite, nan

from attrs import frozen

from finchladder.cluster.configuration.snapshot import RequestKind, Route
from finchladder.cluster.routing.headers import (
    DEADLINE_HEADER,
    MODEL_HEADER,
    REQUEST_ID_HEADER,
    TOKEN_COUNT_HEADER,
)
from finchladder.cluster.routing.pools import PoolKey

# A client abandons a stream after a pause of MIN_STREAM_STALL_S, of STREAM_STALL_LATENCY_TARGETS times the
# route's latency target, or of STREAM_STALL_EVENT_GAPS times its `max_event_gap_s`, whichever is longest.
# Source: the project's protocol page.
MIN_STREAM_STALL_S = 2.0
STREAM_STALL_LATENCY_TARGETS = 4.0
STREAM_STALL_EVENT_GAPS = 8.0

MAX_TOKEN_COUNT = 10**7  # larger counts are reduced to this one, which exceeds the memory of any worker


@frozen
class ClassifiedRequest:
    """A request with its pool key and time limits; points in time are monotonic seconds.

    Attributes:
        deadline: Earlier of the client's deadline and the route's timeout.
        prompt_tokens: Number of prompt tokens; 0 if unknown.
        client_stall_timeout_s: Time without data after which the client abandons the response.
        total_tokens: Prompt tokens plus maximum output tokens; None if the client sent no count.
    """

    request_id: str
    key: PoolKey
    arrived_at: float
    deadline: float
    prompt_tokens: int
    latency_target_s: float
    client_stall_timeout_s: float
    total_tokens: int | None = None


def classify(headers: Mapping[str, str], route: Route, now: float) -> ClassifiedRequest:
    """Classifies a request by its headers; headers that cannot be parsed count as missing."""
    request_id = headers.get(REQUEST_ID_HEADER, "")
    deadline_ms = _parse_number(headers.get(DEADLINE_HEADER))
    client_timeout_s = route.timeout_s if deadline_ms is None else deadline_ms / 1000
    model, _, adapter = _to_utf8(headers.get(MODEL_HEADER, "")).partition("/")
    token_counts = _parse_token_counts(headers.get(TOKEN_COUNT_HEADER))
    return ClassifiedRequest(
        request_id=request_id,
        key=PoolKey(route.service_at(_split_point(request_id)), model, adapter),
        arrived_at=now,
        deadline=now + min(client_timeout_s, route.timeout_s),
        prompt_tokens=token_counts[0] if token_counts else 0,
        total_tokens=sum(token_counts) if token_counts else None,
        latency_target_s=route.latency_target_s,
        client_stall_timeout_s=_client_stall_timeout_s(route, client_timeout_s),
    )


def _client_stall_timeout_s(route: Route, client_timeout_s: float) -> float:
    if route.kind is not RequestKind.STREAMING:
        return client_timeout_s
    stall_timeout_s = max(
        MIN_STREAM_STALL_S,
        STREAM_STALL_LATENCY_TARGETS * route.latency_target_s,
        STREAM_STALL_EVENT_GAPS * route.max_event_gap_s,
    )
    return min(client_timeout_s, stall_timeout_s)


def _split_point(request_id: str) -> float:
    """Position in a traffic split, from 0 to 1; the same for all requests with one request id."""
    digest = blake2b(request_id.encode(errors="surrogateescape"), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def _to_utf8(text: str) -> str:
    """Replaces bytes that are not UTF-8, which the HTTP parser decodes as lone surrogates, for messages."""
    if text.isascii():
        return text
    return text.encode(errors="surrogateescape").decode(errors="replace")


def _parse_number(text: str | None) -> float | None:
    """Parses a finite number; None for all other texts, such as `nan`, by which no timer can be ordered."""
    try:
        number = float(text) if text else nan
    except ValueError:
        return None
    return number if isfinite(number) else None


def _clamp_token_count(count: int) -> int:
    return max(0, min(count, MAX_TOKEN_COUNT))


def _parse_token_counts(text: str | None) -> tuple[int, ...]:
    """Prompt tokens and maximum output tokens; empty if the header is missing or malformed."""
    try:
        return tuple(_clamp_token_count(int(count)) for count in text.split(",")) if text else ()
    except ValueError:
        return ()
