"""Names of the headers that routing reads or writes, and the headers that a proxy forwards."""

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

# Of one connection only; `Content-Length`, `Host` and `Expect` are written anew for each connection.
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


# Of a client, where the configuration has tenants: the key stays here, and the tenant is ours to name.
IDENTITY_HEADERS = frozenset({AUTHORIZATION_HEADER.lower(), TENANT_HEADER.lower()})


def forwarded_headers(
    headers: Mapping[str, str], dropped: frozenset[str] = HOP_BY_HOP_HEADERS
) -> list[tuple[str, str]]:
    """The end-to-end headers in their order, without those that `Connection` names.

    Args:
        headers: Headers as received.
        dropped: Further names that are not forwarded, in lower case.
    """
    connection_options = {name.strip().lower() for name in headers.get(CONNECTION_HEADER, "").split(",")}
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped and name.lower() not in connection_options
    ]
