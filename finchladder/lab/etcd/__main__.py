"""`python -m finchladder.lab.etcd`: an empty stand-in by hand, until Ctrl-C."""

import argparse
import asyncio
import contextlib
import signal
import ssl
import sys

from finchladder.lab.etcd.server import Etcd


async def serve(args: argparse.Namespace) -> None:
    tls = None
    if args.cert:
        tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        tls.load_cert_chain(args.cert, args.key)
        if args.ca:
            tls.load_verify_locations(args.ca)
            tls.verify_mode = ssl.CERT_REQUIRED
    etcd = Etcd(args.members, args.host, tls, ports=tuple(args.port + i for i in range(args.members)))
    urls = await etcd.open()
    print("etcd stand-in at", *urls, flush=True)
    over = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, over.set)
    await over.wait()
    etcd.close()


def main() -> None:
    parser = argparse.ArgumentParser("python -m finchladder.lab.etcd", description="An etcd stand-in.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=2379, help="of the first member; the next ones follow")
    parser.add_argument("--members", type=int, default=1)
    parser.add_argument("--cert", help="PEM: it serves TLS with it")
    parser.add_argument("--key", help="PEM")
    parser.add_argument("--ca", help="PEM: clients must show a certificate of this authority")
    try:
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(serve(parser.parse_args()))
    except (OSError, ssl.SSLError) as e:
        sys.exit(f"etcd stand-in: {e}")


if __name__ == "__main__":
    main()
