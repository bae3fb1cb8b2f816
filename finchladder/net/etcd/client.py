"""Single calls to an etcd cluster for the command line, with failover between endpoints."""

from collections.abc import AsyncIterator, Iterable

import msgspec

from finchladder.config.endpoint_list import ServiceEntry
from finchladder.config.options import EtcdOptions
from finchladder.net import http1
from finchladder.net.etcd import messages
from finchladder.net.etcd.messages import Item, Response
from finchladder.net.etcd.wire import (
    CONNECTION_ERRORS,
    Connector,
    EndpointClient,
    LoginError,
    RunInThread,
    describe_error,
)

KEYS_PER_PAGE = 256
MAX_KEYS_PER_TXN = 100  # etcd accepts up to 128 by default


class EtcdError(Exception):
    """No endpoint executed the call, or one rejected it; the message is one line."""


class Client:
    """Calls for the command line: writes, reads and deletes endpoint entries."""

    def __init__(self, options: EtcdOptions, run_in_thread: RunInThread) -> None:
        self.options, self.run_in_thread = options, run_in_thread
        self.endpoints = options.addresses()
        self.connector = Connector(options, http1.connect, run_in_thread)
        self.endpoint_client: EndpointClient | None = None

    async def call(self, path: str, body: bytes) -> Response:
        """Makes a call, trying each endpoint once.

        Raises:
            EtcdError: No endpoint executed it.
        """
        errors = []
        for _ in self.endpoints:
            endpoint = self.endpoints[0]
            try:
                if self.endpoint_client is None:
                    self.endpoint_client = EndpointClient(
                        self.connector, endpoint, self.options, self.run_in_thread
                    )
                    await self.endpoint_client.open()
                response = await self.endpoint_client.call(path, body)
                if response.error is None:
                    return response
                reason = response.error.text
                if response.error.is_final:
                    raise EtcdError(f"{endpoint}: {reason}")
            except (*CONNECTION_ERRORS, LoginError) as e:
                reason = str(e) if isinstance(e, LoginError) else describe_error(e)
            errors.append(f"{endpoint}: {reason}")
            self.close()
            self.endpoints.append(self.endpoints.pop(0))
        raise EtcdError("; ".join(errors))

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self.endpoint_client is not None:
            self.endpoint_client.close()
            self.endpoint_client = None

    # --- keys, in the layout of docs/KEYS.md

    def _key(self, kind: str, name: str) -> bytes:
        return f"{self.options.prefix}/{kind}/{name}".encode()

    async def put(self, entry: ServiceEntry, lease: int = 0) -> None:
        """Writes an entry; 0 is no lease."""
        await self.call("kv/put", messages.put(self._key("members", entry.name), _encode(entry), lease))

    async def put_all(self, entries: Iterable[ServiceEntry]) -> int:
        """Writes entries in transactions of MAX_KEYS_PER_TXN keys; returns the number of entries."""
        pairs = [(self._key("members", e.name), _encode(e)) for e in entries]
        for start in range(0, len(pairs), MAX_KEYS_PER_TXN):
            await self.call("kv/txn", messages.put_all(pairs[start : start + MAX_KEYS_PER_TXN]))
        return len(pairs)

    async def drain(self, name: str, lease: int = 0) -> None:
        """Writes the drain notice of a worker; 0 is no lease."""
        await self.call("kv/put", messages.put(self._key("drain", name), b"{}", lease))

    async def delete(self, kind: str, name: str) -> bool:
        """Deletes a key; returns whether it existed."""
        return bool((await self.call("kv/deleterange", messages.delete(self._key(kind, name)))).deleted)

    async def scan(self) -> AsyncIterator[Item]:
        """Yields all keys below the prefix, as of one revision."""
        prefix, after, revision = f"{self.options.prefix}/".encode(), b"", 0
        while True:
            page = await self.call("kv/range", messages.list_page(prefix, after, revision, KEYS_PER_PAGE))
            for item in page.items:
                yield item
            if not (page.more and page.items):
                return
            after, revision = page.items[-1].key, revision or page.header.revision

    async def grant(self, ttl_s: int) -> int:
        """Returns the id of a new lease of `ttl_s` seconds."""
        return (await self.call("lease/grant", messages.grant(ttl_s))).lease

    async def keep_alive(self, lease: int) -> bool:
        """Renews a lease; returns whether it still exists."""
        return (await self.call("lease/keepalive", messages.lease(lease))).ttl_s > 0

    async def revoke(self, lease: int) -> None:
        """Revokes a lease, which deletes its keys."""
        await self.call("lease/revoke", messages.lease(lease))


_encode = msgspec.json.Encoder().encode
