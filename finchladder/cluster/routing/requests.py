"""A client's request as the router sees it: what it names, how long it may take."""

from collections.abc import Mapping
from hashlib import blake2b

from attrs import frozen

from finchladder.cluster.configuration.snapshot import RequestKind, Route
from finchladder.cluster.routing.pools import PoolKey

REQUEST_ID = "X-Finchladder-Request-Id"
DEADLINE = "X-Finchladder-Deadline-Ms"
MODEL = "X-Finchladder-Model"
TOKENS = "X-Finchladder-Token-Count"
EXPECTED_INSTANCE = "X-Finchladder-Expected-Instance"
NOT_EXECUTED = "X-Finchladder-Not-Executed"
SIGNATURE = "X-Finchladder-Response-Signature"
LAST_EVENT_ID = "Last-Event-Id"
PRIORITY = "Priority"
LEAST_SILENCE_S, SILENT_AIMS, SILENT_GAPS = 2.0, 4.0, 8.0
HOP_BY_HOP = frozenset(
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
class Need:
    """What one request needs and how long it may take. `until`: steady seconds; `tokens`: of the prompt."""

    request_id: str
    key: PoolKey
    arrived: float
    until: float
    tokens: int
    aim_s: float
    patience_s: float  # after which a client gives up a stream that is silent


def _number(text: str | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None


def _tokens(text: str | None) -> int:
    try:
        return int(text.split(",")[0]) if text else 0
    except ValueError:
        return 0


def need(headers: Mapping[str, str], route: Route, now: float) -> Need:
    """Reads the headers that concern routing."""
    request_id = headers.get(REQUEST_ID, "")
    deadline_ms = _number(headers.get(DEADLINE))
    client_s = route.timeout_s if deadline_ms is None else deadline_ms / 1000
    model, _, adapter = headers.get(MODEL, "").partition("/")
    key = PoolKey(route.service_at(_point(request_id)), model, adapter)
    until = now + min(client_s, route.timeout_s)
    tokens = _tokens(headers.get(TOKENS))
    return Need(request_id, key, now, until, tokens, route.latency_target_s, _patience_s(route, client_s))


def _patience_s(route: Route, client_s: float) -> float:
    """Clients give a stream up after a silence; source: the project's protocol page."""
    if route.kind is not RequestKind.STREAMING:
        return client_s
    return min(
        client_s,
        max(LEAST_SILENCE_S, SILENT_AIMS * route.latency_target_s, SILENT_GAPS * route.max_event_gap_s),
    )


def _point(request_id: str) -> float:
    """Where the request falls in a split by weights: 0 to 1, by its id."""
    return int.from_bytes(blake2b(request_id.encode(), digest_size=8).digest(), "big") / 2**64


def onward_headers(headers: Mapping[str, str], dropped: frozenset[str] = HOP_BY_HOP) -> list[tuple[str, str]]:
    """The headers that go on, in their order; what `Connection` names goes no further either."""
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    return [(k, v) for k, v in headers.items() if k.lower() not in dropped and k.lower() not in named]
