"""`finchladder drill`: starts fault injection at a running dispatcher."""

import argparse
import os

import msgspec

from finchladder.cli import calls
from finchladder.cli.front import add_config_option, fail
from finchladder.config.option_files import read_options
from finchladder.features.fault_injection import FaultOrder


def arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to the parser."""
    add_config_option(parser)
    parser.add_argument("--class", dest="job_class", required=True, metavar="CLASS")
    parser.add_argument("--share", type=float, required=True, help="part of the class's requests, 0 to 1")
    parser.add_argument(
        "--delay-ms", type=float, default=0.0, help="delay of the requests that aren't aborted (default: 0)"
    )
    parser.add_argument(
        "--abort-share", type=float, help="part answered 503 (default: --share, or 0 with a delay)"
    )
    parser.add_argument("--for-s", type=float, required=True, help="seconds until it ends, at most 600")


def run(args: argparse.Namespace) -> None:
    """Runs the command; errors end the program with a message."""
    try:
        options = read_options(args.config)
        # without a key the dispatcher rejects the call with an explanation
        key = (
            os.environ.get(calls.FAULT_INJECTION_KEY_VARIABLE) or (options.drill and options.drill.key) or ""
        )
        order = msgspec.convert(
            {"class": args.job_class, "share": args.share, "delay_ms": args.delay_ms, "for_s": args.for_s}
            | ({"abort_share": args.abort_share} if args.abort_share is not None else {}),
            FaultOrder,
        )
        print(calls.start_fault(order, key), end="")
    except (ValueError, msgspec.ValidationError) as e:
        fail(str(e))
    except calls.CallError as e:
        fail(str(e), 1)
