"""Errors of the cluster, each with the step that failed and the peer or file that was involved."""

import errno

import msgspec

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError)  # exceptions of msgspec for malformed input


def error_kind(error: BaseException) -> str:
    """Class name and errno name of an error, for logs and responses.

    The message of the error is omitted, because it may quote data from a client, an operator or a worker,
    including an API key.
    """
    number = error.errno if isinstance(error, OSError) else None
    name = errno.errorcode.get(number) if number is not None else None
    return f"{type(error).__name__} {name}" if name else type(error).__name__


def error_location(error: BaseException) -> str:
    """Module and line that raised the error; empty if it was not raised."""
    trace = error.__traceback__
    if trace is None:
        return ""
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_globals.get('__name__', '')}:{trace.tb_lineno}"


class ClusterError(Exception):
    """Base class of the cluster's errors.

    Attributes:
        step: Name of the request or step that failed.
        peer: Address, name or file that was involved; empty if there was none.
        problem: Cause of the error as a text.
    """

    def __init__(self, step: str, peer: str, problem: str) -> None:
        """Creates an error whose message contains step, peer and problem."""
        super().__init__(f"{step} with {peer or 'no peer'}: {problem}")
        self.step = step
        self.peer = peer
        self.problem = problem


class PeerUnreachableError(ClusterError):
    """The peer did not reply in time, or the connection failed."""


class PeerRefusedError(ClusterError):
    """The peer replied that it could not execute the request, or its reply is malformed."""


class StorageError(ClusterError):
    """The disk rejected a write or did not complete it."""


class InvalidSettingsError(ClusterError):
    """The settings file cannot be read or is invalid."""
