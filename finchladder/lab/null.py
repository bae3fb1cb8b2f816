"""A target that answers 200 at once to everything: what the load generator is measured against.

`python -m finchladder.lab.null [HOST PORT]`, or NODE_LISTEN=HOST:PORT, so that it can stand where a
dispatcher does. Says `listening HOST:PORT` on standard output; SIGTERM and SIGINT end it with status 0.
"""

import asyncio
import os
import signal
import sys
from typing import cast

import httptools
import uvloop

from finchladder.lab.drivers.base import raise_descriptors

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull"
BACKLOG = 4096


class Null(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.whole = cast(asyncio.Transport, transport), 0
        self.parser = httptools.HttpRequestParser(self)

    def on_message_complete(self) -> None:
        self.whole += 1

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()
            return
        if self.whole:
            self.transport.write(ANSWER * self.whole)
            self.whole = 0
            if not self.parser.should_keep_alive():
                self.transport.close()


async def serve(host: str, port: int) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Null, host, port, backlog=BACKLOG)
    bound = server.sockets[0].getsockname()
    print(f"listening {bound[0]}:{bound[1]}", flush=True)
    over = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    await over.wait()
    server.close()


def main() -> int:
    arguments = sys.argv[1:] or os.environ.get("NODE_LISTEN", "").rsplit(":", 1)
    if len(arguments) != 2 or not arguments[1].isdigit():
        print("usage: python -m finchladder.lab.null HOST PORT, or NODE_LISTEN=HOST:PORT", file=sys.stderr)
        return 2
    raise_descriptors()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(arguments[0], int(arguments[1])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
