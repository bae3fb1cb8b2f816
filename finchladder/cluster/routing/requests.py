"""A client's request as the router sees it: what it names, how long it may take."""

from collections.abc import Mapping
from hashlib import blake2b

from attrs import frozen

from finchladder.cluster.configuration.snapshot import RequestKind, Route
from finchladder.cluster.routing.pools import PoolKey

REQUEST_ID_HEADER = "X-Finchladder-Request-Id"
DEADLINE_HEADER = "X-Finchladder-Deadline-Ms"
MODEL_HEADER = "X-Finchladder-Model"
TOKEN_COUNT_HEADER = "X-Finchladder-Token-Count"
EXPECTED_INSTANCE_HEADER = "X-Finchladder-Expected-Instance"
NOT_EXECUTED_HEADER = "X-Finchladder-Not-Executed"
RESPONSE_SIGNATURE_HEADER = "X-Finchladder-Response-Signature"
LAST_EVENT_ID_HEADER = "Last-Event-Id"
PRIORITY_HEADER = "Priority"
MIN_STREAM_STALL_S, STREAM_STALL_LATENCY_TARGETS, STREAM_STALL_EVENT_GAPS = 2.0, 4.0, 8.0
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-connection",
        "content-length",
        "host",
        "expect",
    }
)


@frozen
class ClassifiedRequest:
    """What one request needs and how long it may take. `until`: steady seconds; `tokens`: of the prompt."""

    request_id: str
    key: PoolKey
    arrived_at: float
    deadline: float
    prompt_tokens: int
    latency_target_s: float
    client_stall_timeout_s: float  # after which a client gives up a stream that is silent


def _parse_number(text: str | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None


def _parse_token_count(text: str | None) -> int:
    try:
        return int(text.split(",")[0]) if text else 0
    except ValueError:
        return 0


def classify(headers: Mapping[str, str], route: Route, now: float) -> ClassifiedRequest:
    """Reads the headers that concern routing."""
    request_id = headers.get(REQUEST_ID_HEADER, "")
    deadline_ms = _parse_number(headers.get(DEADLINE_HEADER))
    client_s = route.timeout_s if deadline_ms is None else deadline_ms / 1000
    model, _, adapter = headers.get(MODEL_HEADER, "").partition("/")
    key = PoolKey(route.service_at(_split_point(request_id)), model, adapter)
    until = now + min(client_s, route.timeout_s)
    tokens = _parse_token_count(headers.get(TOKEN_COUNT_HEADER))
    return ClassifiedRequest(
        request_id, key, now, until, tokens, route.latency_target_s, _client_stall_timeout_s(route, client_s)
    )


def _client_stall_timeout_s(route: Route, client_timeout_s: float) -> float:
    """Clients give a stream up after a silence; source: the project's protocol page."""
    if route.kind is not RequestKind.STREAMING:
        return client_timeout_s
    return min(
        client_timeout_s,
        max(
            MIN_STREAM_STALL_S,
            STREAM_STALL_LATENCY_TARGETS * route.latency_target_s,
            STREAM_STALL_EVENT_GAPS * route.max_event_gap_s,
        ),
    )


def _split_point(request_id: str) -> float:
    """Where the request falls in a split by weights: 0 to 1, by its id."""
    return int.from_bytes(blake2b(request_id.encode(), digest_size=8).digest(), "big") / 2**64


def forwarded_headers(
    headers: Mapping[str, str], dropped: frozenset[str] = HOP_BY_HOP_HEADERS
) -> list[tuple[str, str]]:
    """The headers that go on, in their order; what `Connection` names goes no further either."""
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    return [(k, v) for k, v in headers.items() if k.lower() not in dropped and k.lower() not in named]
