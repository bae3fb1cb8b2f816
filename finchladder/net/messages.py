"""A job as HTTP carries it: what a client's request says of it, and how a real server is sent it."""

from dataclasses import dataclass

from finchladder.net.http1 import Headers, write_request

HOP = frozenset({
    "connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "proxy-connection",
    "proxy-authorization", "content-length", "host", "expect", "x-time-left",
})  # fmt: skip


@dataclass(slots=True, eq=False)
class HttpMessage:
    """A client's request. It is passed on as it came, but for the fields that concern one hop alone."""

    method: str
    target: str
    headers: Headers
    body: bytes

    def request(self, host: str, time_left_s: float) -> bytes:
        dropped = HOP | self.headers.words("connection")
        fields = [(n, v) for n, v in self.headers.fields if n.lower() not in dropped]
        fields += [("Host", host), ("X-Time-Left", f"{time_left_s:.3f}")]
        return write_request(self.method, self.target, fields, self.body)
