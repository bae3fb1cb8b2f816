"""Connections to the endpoints of etcd, with or without TLS, and calls over them."""

import asyncio
import logging
import socket
import ssl
from collections.abc import AsyncGenerator, Awaitable, Callable
from os import stat
from typing import Any, cast

from tornado.iostream import SSLIOStream

from finchladder.config.addresses import Endpoint
from finchladder.config.options import EtcdOptions
from finchladder.net import http1
from finchladder.net.etcd.messages import (
    ErrorResponse,
    Header,
    MalformedResponseError,
    Response,
    ResponseReader,
    login,
)
from finchladder.net.http1 import Channel, Connect, MalformedMessageError, Stream, StreamClosedError

MAX_BODY_BYTES = 1 << 30  # maximum length of a response, which is never buffered completely
RESPONSE_TIMEOUT_S = 1.0  # timeout of connecting with the TLS handshake, and of the next part of a response
CALL_TIMEOUT_S = 10.0  # timeout for a complete response
# detects a watch whose peer became unreachable: a probe every 3 s, and an error after 3 of them
KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 3),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 3),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)
MAX_PASSWORD_BYTES = 4096

RunInThread = Callable[[Callable[[], Any]], Awaitable[Any]]
CONNECTION_ERRORS = (StreamClosedError, OSError, TimeoutError, MalformedMessageError, MalformedResponseError)


class LoginError(Exception):
    """User or password were rejected, or the password file can't be read."""


def describe_error(e: BaseException) -> str:
    """Describes a connection error in one line for the log."""
    cause = getattr(e, "real_error", None) or e
    if isinstance(cause, ssl.SSLCertVerificationError):
        return f"its certificate is rejected: {cause.verify_message}"
    if isinstance(cause, ssl.SSLError):
        return f"TLS failed: {cause.reason or cause}"
    if isinstance(cause, TimeoutError):
        return "no response in time"
    if isinstance(cause, StreamClosedError):
        return "the connection broke"
    return f"{getattr(cause, 'strerror', None) or cause or type(cause).__name__}"


def refused_by_tls(e: BaseException) -> bool:
    """Whether the cause is a TLS error, such as a rejected certificate."""
    return isinstance(getattr(e, "real_error", None) or e, ssl.SSLError)


class TlsContext:
    """The TLS context, rebuilt when one of its files has changed."""

    def __init__(self, options: EtcdOptions, run_in_thread: RunInThread) -> None:
        self.ca, self.cert, self.key = options.ca_file, options.cert_file, options.key_file
        self.run_in_thread = run_in_thread
        self.current: ssl.SSLContext | None = None
        self.file_versions: list[tuple[int, int, int]] = []
        # Tornado logs each failed handshake, which is logged here already, and only once per outage
        logging.getLogger("tornado.general").addFilter(lambda r: not r.msg.startswith("SSL Error on"))

    async def context(self) -> ssl.SSLContext:
        """Returns the current context.

        Raises:
            OSError: A file can't be read or used (ssl.SSLError is one).
        """
        context: ssl.SSLContext = await self.run_in_thread(self._read)
        return context

    def _read(self) -> ssl.SSLContext:
        files = [name for name in (self.ca, self.cert, self.key) if name is not None]
        found = [stat(name) for name in files]
        versions = [(s.st_mtime_ns, s.st_size, s.st_ino) for s in found]
        if self.current is None or versions != self.file_versions:
            context = ssl.create_default_context(cafile=self.ca)
            if self.cert is not None:
                context.load_cert_chain(self.cert, self.key)
            self.current, self.file_versions = context, versions
        return self.current


class TlsChannel(Channel):
    """A channel over Tornado's TLS stream, which lacks `Stream.put`."""

    async def write(self, data: bytes) -> None:
        """Writes all bytes.

        Raises:
            StreamClosedError: The connection is closed.
        """
        await self.stream.write(data)


class Connector:
    """Opens connections to endpoints, with or without TLS."""

    def __init__(self, options: EtcdOptions, connect: Connect, run_in_thread: RunInThread) -> None:
        self.connect = connect
        self.tls = TlsContext(options, run_in_thread) if any(e.tls for e in options.addresses()) else None

    async def open(self, endpoint: Endpoint) -> Channel:
        """Opens a connection to an endpoint.

        Raises:
            OSError: It can't be opened.
            StreamClosedError: It can't be opened.
            TimeoutError: It was not open within RESPONSE_TIMEOUT_S.
        """
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            address = await self._resolve(endpoint)
            channel = await (self._open_tls(endpoint, address) if endpoint.tls else self.connect(address))
        for level, option, value in KEEP_ALIVE_OPTIONS:
            channel.stream.socket.setsockopt(level, option, value)
        channel.parser.limit = lambda head: MAX_BODY_BYTES
        return channel

    async def _open_tls(self, endpoint: Endpoint, address: tuple[str, int]) -> Channel:
        assert self.tls is not None
        context = await self.tls.context()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        stream = SSLIOStream(
            socket.socket(family), ssl_options=context, read_chunk_size=http1.READ_CHUNK_BYTES
        )
        try:
            await stream.connect(address, server_hostname=endpoint.host)
        except BaseException:
            stream.close()
            raise
        return TlsChannel(cast(Stream, stream), http1.server_parser())

    async def _resolve(self, endpoint: Endpoint) -> tuple[str, int]:
        if ":" in endpoint.host or endpoint.host.replace(".", "").isdigit():
            return endpoint.host, endpoint.port
        found = await asyncio.get_running_loop().getaddrinfo(
            endpoint.host, endpoint.port, type=socket.SOCK_STREAM
        )
        return str(found[0][4][0]), endpoint.port


class EndpointClient:
    """A client of one endpoint: one connection for calls, made one at a time, and one for each watch."""

    def __init__(
        self, connector: Connector, endpoint: Endpoint, options: EtcdOptions, run_in_thread: RunInThread
    ) -> None:
        self.connector, self.endpoint, self.options, self.run_in_thread = (
            connector,
            endpoint,
            options,
            run_in_thread,
        )
        self.token = ""
        self.channel: Channel | None = None
        self.logins = 0

    async def open(self) -> None:
        """Connects and logs in.

        Raises:
            LoginError: The login failed.
        """
        self.channel = await self.connector.open(self.endpoint)
        await self.log_in()

    async def log_in(self) -> None:
        """Logs in if a user is configured.

        Raises:
            LoginError: The login failed.
        """
        if self.options.user is None:
            return
        try:
            password = await self.run_in_thread(self._password)
        except (OSError, ValueError) as e:
            raise LoginError(f"{self.options.password_file} can't be read: {describe_error(e)}") from None
        response = await self._call("auth/authenticate", login(self.options.user, password))
        if response.error is not None:
            raise LoginError(f"rejected user {self.options.user}: {response.error.text}")
        self.token = response.token
        self.logins += 1

    def _password(self) -> str:
        assert self.options.password_file is not None
        with open(self.options.password_file, "rb") as file:
            return file.read(MAX_PASSWORD_BYTES).decode().split("\n", 1)[0].rstrip("\r")

    async def call(self, path: str, body: bytes, timeout_s: float = RESPONSE_TIMEOUT_S) -> Response:
        """Makes a call; an expired token is renewed once. `timeout_s`: timeout for the head of the response.

        Raises:
            LoginError: The login failed, besides the errors in CONNECTION_ERRORS.
        """
        response = await self._call(path, body, timeout_s)
        if response.error is not None and response.error.is_token_error and self.options.user is not None:
            await self.log_in()
            response = await self._call(path, body, timeout_s)
        return response

    async def _call(self, path: str, body: bytes, timeout_s: float = RESPONSE_TIMEOUT_S) -> Response:
        had_connection = self.channel is not None and not self.channel.stream.closed()
        async with asyncio.timeout(CALL_TIMEOUT_S):
            try:
                return await self._call_once(path, body, timeout_s)
            except StreamClosedError:
                if not had_connection:
                    raise
            return await self._call_once(path, body, timeout_s)  # the idle connection had been closed

    async def _call_once(self, path: str, body: bytes, timeout_s: float) -> Response:
        channel, self.channel = self.channel, None  # a connection is unusable after an aborted call
        if channel is None or channel.stream.closed():
            channel = await self.connector.open(self.endpoint)
        try:
            await self._send(channel, path, body)
            response = await self._read_response(channel, timeout_s)
        except BaseException:
            channel.close()
            raise
        self.channel = channel
        return response

    async def _send(self, channel: Channel, path: str, body: bytes) -> None:
        fields = [("Host", str(self.endpoint).partition("//")[2]), ("Content-Type", "application/json")]
        if self.token:
            fields.append(("Authorization", self.token))
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            await channel.write(http1.write_request("POST", f"/v3/{path}", fields, body))

    async def _read_response(self, channel: Channel, timeout_s: float) -> Response:
        reader = ResponseReader(lines=False)
        async with asyncio.timeout(timeout_s):
            head = await channel.head()
        found: list[Response] = []
        while True:
            found += reader.feed(channel.parser.take_piece())
            if channel.parser.body is None or channel.parser.body.is_complete:
                break
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await channel.fill()
            await asyncio.sleep(0)  # buffered data must not block the event loop
        channel.parser.head = channel.parser.body = None
        try:
            response = found[0] if found else reader.end()
        except MalformedResponseError:
            if head.status == 200:
                raise
            response = Response(Header(), [])
        if head.status != 200 and response.error is None:
            response = response._replace(error=ErrorResponse(0, f"answered with status {head.status}"))
        if not head.is_persistent:
            channel.close()
        return response

    async def watch(self, body: bytes) -> AsyncGenerator[Response, None]:
        """Yields the messages of a watch until it ends; raises the errors in CONNECTION_ERRORS."""
        channel = await self.connector.open(self.endpoint)
        try:
            await self._send(channel, "watch", body)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                head = await channel.head()
            if head.status != 200:
                response = await self._read_response(channel, RESPONSE_TIMEOUT_S)
                yield response._replace(canceled=True)
                return
            reader = ResponseReader(lines=True)
            while True:
                for response in reader.feed(channel.parser.take_piece()):
                    yield response
                if channel.parser.body is None or channel.parser.body.is_complete:
                    return
                await channel.fill()
                await asyncio.sleep(0)
        finally:
            channel.close()

    def close(self) -> None:
        """Closes the connection for calls."""
        if self.channel is not None:
            self.channel.close()
            self.channel = None
