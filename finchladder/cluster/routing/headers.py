"""Names of the headers that routing reads or writes, and the selection of headers that are forwarded."""

from collections.abc import Mapping

REQUEST_ID_HEADER = "X-Finchladder-Request-Id"
DEADLINE_HEADER = "X-Finchladder-Deadline-Ms"
MODEL_HEADER = "X-Finchladder-Model"
TOKEN_COUNT_HEADER = "X-Finchladder-Token-Count"
INSTANCE_ID_HEADER = "X-Finchladder-Instance-Id"
EXPECTED_INSTANCE_HEADER = "X-Finchladder-Expected-Instance"
NOT_EXECUTED_HEADER = "X-Finchladder-Not-Executed"
RESPONSE_SIGNATURE_HEADER = "X-Finchladder-Response-Signature"
LAST_EVENT_ID_HEADER = "Last-Event-Id"
PRIORITY_HEADER = "Priority"
HOST_HEADER = "Host"
CONNECTION_HEADER = "Connection"
CONTENT_LENGTH_HEADER = "Content-Length"
KEEP_ALIVE_HEADER = "Keep-Alive"
RETRY_AFTER_HEADER = "Retry-After"
TENANT_HEADER = "X-Finchladder-Tenant"
AUTHORIZATION_HEADER = "Authorization"
AUTHENTICATE_HEADER = "WWW-Authenticate"

# Headers that apply only to one connection. `Content-Length`, `Host` and `Expect` are not hop-by-hop headers,
# but they are set again for each connection.
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


# Client headers that are not forwarded if the configuration has tenants: workers must not receive API keys,
# and only the dispatcher may set the tenant header.
IDENTITY_HEADERS = frozenset({AUTHORIZATION_HEADER.lower(), TENANT_HEADER.lower()})


def forwarded_headers(
    headers: Mapping[str, str], dropped: frozenset[str] = HOP_BY_HOP_HEADERS
) -> list[tuple[str, str]]:
    """Returns the end-to-end headers in order, without those that `Connection` lists.

    Args:
        headers: Received headers.
        dropped: Names in lower case of headers that are not forwarded.
    """
    connection_options = {name.strip().lower() for name in headers.get(CONNECTION_HEADER, "").split(",")}
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped and name.lower() not in connection_options
    ]
