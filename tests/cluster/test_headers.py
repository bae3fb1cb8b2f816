"""Tests of header forwarding."""

from finchladder.cluster.routing.headers import forwarded_headers


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    headers = {"Connection": "close, X-Own", "X-Own": "1", "X-Kept": "2", "Content-Length": "3", "TE": "x"}
    assert forwarded_headers(headers) == [("X-Kept", "2")]
