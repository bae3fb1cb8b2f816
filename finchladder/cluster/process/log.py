"""Structured logging with eliot: one JSON object per line on standard error, at a limited rate."""

import json
import logging
import sys
import time
from typing import Any

import eliot
from eliot import log_message

from finchladder.cluster.types.errors import error_kind, error_location

MAX_BURST_EVENTS = 200  # capacity of the token bucket
MAX_EVENTS_PER_S = 20.0


class TokenBucket:
    """Rate limit for all log events of a process."""

    def __init__(self) -> None:
        """Creates a full bucket."""
        self._tokens = float(MAX_BURST_EVENTS)
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def take(self) -> tuple[bool, int]:
        """Returns whether an event may be logged, and the number of events dropped directly before it."""
        now = time.monotonic()
        self._tokens = min(
            float(MAX_BURST_EVENTS), self._tokens + (now - self._refilled_at) * MAX_EVENTS_PER_S
        )
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return False, 0
        self._tokens -= 1
        dropped, self._dropped = self._dropped, 0
        return True, dropped


_limit = TokenBucket()


def start(node: str) -> None:
    """Starts logging; every line contains the name of the node."""

    def write(message: dict[str, Any]) -> None:
        message["node"] = node
        print(json.dumps(message, default=str), file=sys.stderr, flush=True)

    eliot.add_destinations(write)
    logging.getLogger().addHandler(LibraryHandler(logging.WARNING))


def event(kind: str, **fields: Any) -> None:
    """Logs one event unless the rate limit is reached; docs/ONCALL.md lists the kinds."""
    admitted, dropped = _limit.take()
    if not admitted:
        return
    if dropped:
        fields["dropped_before"] = dropped
    log_message(message_type=kind, **fields)


class LibraryHandler(logging.Handler):
    """Logs the records of libraries as events without their texts, which may quote requests."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs the record without its text."""
        error = record.exc_info[1] if record.exc_info else None
        event(
            "library.logged",
            logger=record.name,
            level=record.levelname,
            function=record.funcName,
            error="" if error is None else error_kind(error),
            place="" if error is None else error_location(error),
        )
