"""Connections to an etcd's endpoints, over TLS or plain, and calls on them."""

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
from finchladder.net.etcd.messages import Answer, Header, MalformedAnswerError, Reader, Refusal, login
from finchladder.net.http1 import Channel, Connect, MalformedMessageError, Stream, StreamClosedError

MOST_BODY = 1 << 30  # bytes of an answer, which is never held whole
ANSWER_S = 1.0  # for a connection with its handshake, or for the next piece of an answer
CALL_S = 10.0  # for a whole answer, however long
KEEP_ALIVE = (  # a watch that is cut off in silence: the kernel asks each 3 s, and after 3 tries it tells
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 3),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 3),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)
PASSWORD_BYTES = 4096

Aside = Callable[[Callable[[], Any]], Awaitable[Any]]
TROUBLE = (StreamClosedError, OSError, TimeoutError, MalformedMessageError, MalformedAnswerError)


class LoginError(Exception):
    """User or password were refused, or the password file can't be read."""


def why(e: BaseException) -> str:
    """Returns one line for the log on a connection error."""
    real = getattr(e, "real_error", None) or e
    if isinstance(real, ssl.SSLCertVerificationError):
        return f"its certificate is refused: {real.verify_message}"
    if isinstance(real, ssl.SSLError):
        return f"TLS failed: {real.reason or real}"
    if isinstance(real, TimeoutError):
        return "no answer in time"
    if isinstance(real, StreamClosedError):
        return "the connection broke"
    return f"{getattr(real, 'strerror', None) or real or type(real).__name__}"


def refused_by_tls(e: BaseException) -> bool:
    """Whether an error is one of TLS, such as a refused certificate."""
    return isinstance(getattr(e, "real_error", None) or e, ssl.SSLError)


class Tls:
    """The TLS context, rebuilt when one of its files has changed."""

    def __init__(self, options: EtcdOptions, aside: Aside) -> None:
        self.ca, self.cert, self.key = options.ca_file, options.cert_file, options.key_file
        self.aside = aside
        self.made: ssl.SSLContext | None = None
        self.of: list[tuple[int, int, int]] = []
        # Tornado's own line for each failed handshake says nothing that is not told here, and once
        logging.getLogger("tornado.general").addFilter(lambda r: not r.msg.startswith("SSL Error on"))

    async def context(self) -> ssl.SSLContext:
        """Returns the current context.

        Raises:
            OSError: A file can't be read or used (ssl.SSLError is one).
        """
        made: ssl.SSLContext = await self.aside(self._read)
        return made

    def _read(self) -> ssl.SSLContext:
        files = [name for name in (self.ca, self.cert, self.key) if name is not None]
        found = [stat(name) for name in files]
        of = [(s.st_mtime_ns, s.st_size, s.st_ino) for s in found]
        if self.made is None or of != self.of:
            context = ssl.create_default_context(cafile=self.ca)
            if self.cert is not None:
                context.load_cert_chain(self.cert, self.key)
            self.made, self.of = context, of
        return self.made


class TlsChannel(Channel):
    """A channel over Tornado's TLS stream, which lacks `Stream.put`."""

    async def write(self, data: bytes) -> None:
        """Writes all bytes.

        Raises:
            StreamClosedError: The connection is closed.
        """
        await self.stream.write(data)


class Wires:
    """Opens connections to endpoints, with or without TLS."""

    def __init__(self, options: EtcdOptions, connect: Connect, aside: Aside) -> None:
        self.connect = connect
        self.tls = Tls(options, aside) if any(e.tls for e in options.addresses()) else None

    async def open(self, endpoint: Endpoint) -> Channel:
        """Opens a connection to an endpoint.

        Raises:
            OSError: It can't be opened.
            StreamClosedError: It can't be opened.
            TimeoutError: It was not open within ANSWER_S.
        """
        async with asyncio.timeout(ANSWER_S):
            address = await self._address(endpoint)
            channel = await (self._by_tls(endpoint, address) if endpoint.tls else self.connect(address))
        for level, option, value in KEEP_ALIVE:
            channel.stream.socket.setsockopt(level, option, value)
        channel.parser.limit = lambda head: MOST_BODY
        return channel

    async def _by_tls(self, endpoint: Endpoint, address: tuple[str, int]) -> Channel:
        assert self.tls is not None
        context = await self.tls.context()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        stream = SSLIOStream(socket.socket(family), ssl_options=context, read_chunk_size=http1.READ)
        try:
            await stream.connect(address, server_hostname=endpoint.host)
        except BaseException:
            stream.close()
            raise
        return TlsChannel(cast(Stream, stream), http1.server_parser())

    async def _address(self, endpoint: Endpoint) -> tuple[str, int]:
        if ":" in endpoint.host or endpoint.host.replace(".", "").isdigit():
            return endpoint.host, endpoint.port
        found = await asyncio.get_running_loop().getaddrinfo(
            endpoint.host, endpoint.port, type=socket.SOCK_STREAM
        )
        return str(found[0][4][0]), endpoint.port


class Link:
    """One endpoint in use: one connection for calls, made one at a time, and others for watches."""

    def __init__(self, wires: Wires, endpoint: Endpoint, options: EtcdOptions, aside: Aside) -> None:
        self.wires, self.endpoint, self.options, self.aside = wires, endpoint, options, aside
        self.token = ""
        self.calls: Channel | None = None
        self.logins = 0

    async def open(self) -> None:
        """Connects and logs in.

        Raises:
            LoginError: The login failed.
        """
        self.calls = await self.wires.open(self.endpoint)
        await self.log_in()

    async def log_in(self) -> None:
        """Logs in, where a user is configured.

        Raises:
            LoginError: The login failed.
        """
        if self.options.user is None:
            return
        try:
            password = await self.aside(self._password)
        except (OSError, ValueError) as e:
            raise LoginError(f"{self.options.password_file} can't be read: {why(e)}") from None
        answer = await self._call("auth/authenticate", login(self.options.user, password))
        if answer.refusal is not None:
            raise LoginError(f"refused user {self.options.user}: {answer.refusal.text}")
        self.token = answer.token
        self.logins += 1

    def _password(self) -> str:
        assert self.options.password_file is not None
        with open(self.options.password_file, "rb") as file:
            return file.read(PASSWORD_BYTES).decode().split("\n", 1)[0].rstrip("\r")

    async def call(self, path: str, body: bytes, patience_s: float = ANSWER_S) -> Answer:
        """Makes a call; an expired token is renewed once. `patience_s`: timeout for the first byte.

        Raises:
            LoginError: The login failed, besides the errors in TROUBLE.
        """
        answer = await self._call(path, body, patience_s)
        if answer.refusal is not None and answer.refusal.token and self.options.user is not None:
            await self.log_in()
            answer = await self._call(path, body, patience_s)
        return answer

    async def _call(self, path: str, body: bytes, patience_s: float = ANSWER_S) -> Answer:
        kept = self.calls is not None and not self.calls.stream.closed()
        async with asyncio.timeout(CALL_S):
            try:
                return await self._once(path, body, patience_s)
            except StreamClosedError:
                if not kept:
                    raise
            return await self._once(path, body, patience_s)  # it was closed while nobody used it

    async def _once(self, path: str, body: bytes, patience_s: float) -> Answer:
        channel, self.calls = self.calls, None  # a call that breaks off leaves a connection of no use
        if channel is None or channel.stream.closed():
            channel = await self.wires.open(self.endpoint)
        try:
            await self._ask(channel, path, body)
            answer = await self._answer(channel, patience_s)
        except BaseException:
            channel.close()
            raise
        self.calls = channel
        return answer

    async def _ask(self, channel: Channel, path: str, body: bytes) -> None:
        fields = [("Host", str(self.endpoint).partition("//")[2]), ("Content-Type", "application/json")]
        if self.token:
            fields.append(("Authorization", self.token))
        async with asyncio.timeout(ANSWER_S):
            await channel.write(http1.write_request("POST", f"/v3/{path}", fields, body))

    async def _answer(self, channel: Channel, patience_s: float) -> Answer:
        reader = Reader(lines=False)
        async with asyncio.timeout(patience_s):
            head = await channel.head()
        found: list[Answer] = []
        while True:
            found += reader.feed(channel.parser.take_piece())
            if channel.parser.body is None or channel.parser.body.done:
                break
            async with asyncio.timeout(ANSWER_S):
                await channel.fill()
            await asyncio.sleep(0)  # what has come already is no reason to keep the loop
        channel.parser.head = channel.parser.body = None
        try:
            answer = found[0] if found else reader.end()
        except MalformedAnswerError:
            if head.status == 200:
                raise
            answer = Answer(Header(), [])
        if head.status != 200 and answer.refusal is None:
            answer = answer._replace(refusal=Refusal(0, f"answered {head.status}"))
        if not head.keeps:
            channel.close()
        return answer

    async def watch(self, body: bytes) -> AsyncGenerator[Answer, None]:
        """Yields the messages of a watch until it ends; raises the errors in TROUBLE."""
        channel = await self.wires.open(self.endpoint)
        try:
            await self._ask(channel, "watch", body)
            async with asyncio.timeout(ANSWER_S):
                head = await channel.head()
            if head.status != 200:
                answer = await self._answer(channel, ANSWER_S)
                yield answer._replace(canceled=True)
                return
            reader = Reader(lines=True)
            while True:
                for answer in reader.feed(channel.parser.take_piece()):
                    yield answer
                if channel.parser.body is None or channel.parser.body.done:
                    return
                await channel.fill()
                await asyncio.sleep(0)
        finally:
            channel.close()

    def close(self) -> None:
        """Closes the connection for calls."""
        if self.calls is not None:
            self.calls.close()
            self.calls = None
