"""Toy peers for a first try: three roster workers and a discovery service on loopback.

Each worker answers 202 and calls back `started` and, a moment later, `done`. Run it, then `make run`.
"""

import asyncio
import contextlib
import json
import sys

DISPATCHER = ("127.0.0.1", 8081)
DISCOVERY = 8500
WORKERS = {"s-ana": 9101, "s-bruno": 9102, "s-clara": 9103}
RUNS_FOR = 0.3


def service_list() -> bytes:
    entries = [
        {"name": n, "address": f"127.0.0.1:{p}", "zone": "salto", "type": "full-speed", "status": "ready"}
        for n, p in WORKERS.items()
    ]
    return json.dumps({"index": 1, "snapshot": True, "endpoints": entries}).encode()


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.strip().split("\r\n")
    headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
    return start, headers, await reader.readexactly(int(headers.get("content-length", "0")))


async def call_back(**what: str) -> None:
    try:
        reader, writer = await asyncio.open_connection(*DISPATCHER)
        body = json.dumps(what).encode()
        writer.write(f"POST /v1/job-events HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await reader.readline()
        writer.close()
    except OSError as e:
        print(f"call-back failed: {e}", file=sys.stderr)


async def run_job(name: str, id: str) -> None:
    await call_back(**{"id": id, "from": name, "state": "started"})
    await asyncio.sleep(RUNS_FOR)
    await call_back(**{"id": id, "from": name, "state": "done", "result": f"{id} was run by {name}\n"})


async def worker(name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            start, headers, _ = await read_request(reader)
            print(f"{name}: {start}", flush=True)
            if start.startswith("DELETE"):
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                continue
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            asyncio.get_running_loop().create_task(run_job(name, headers["x-correlation-id"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """The whole list once, then an empty line every 2 s: nothing ever changes here."""
    try:
        await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = service_list() + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            line = b"\n"
            await asyncio.sleep(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def main() -> None:
    for name, port in WORKERS.items():
        await asyncio.start_server(lambda r, w, name=name: worker(name, r, w), "127.0.0.1", port)
    await asyncio.start_server(discovery, "127.0.0.1", DISCOVERY)
    print(f"workers {WORKERS}, discovery at {DISCOVERY}; end with Ctrl-C", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
