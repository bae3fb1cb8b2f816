"""Errors of the system; each names the step and the peer at which it arose."""

import errno

import msgspec

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError)  # what msgspec raises for malformed input


def error_kind(error: BaseException) -> str:
    """What kind of error it is, for logs and responses.

    Its own text may quote what a client, an operator or a worker sent, and with it an API key.
    """
    number = error.errno if isinstance(error, OSError) else None
    name = errno.errorcode.get(number) if number is not None else None
    return f"{type(error).__name__} {name}" if name else type(error).__name__


def error_location(error: BaseException) -> str:
    """Module and line where the error was raised; empty for one that was never raised."""
    trace = error.__traceback__
    if trace is None:
        return ""
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_globals.get('__name__', '')}:{trace.tb_lineno}"


class ClusterError(Exception):
    """Base class of the system's errors.

    Attributes:
        step: Name of the request or of the step that failed.
        peer: Address, name or file that was involved; empty if there was none.
        problem: The cause.
    """

    def __init__(self, step: str, peer: str, problem: str) -> None:
        """Creates the error with a message of all three."""
        super().__init__(f"{step} with {peer or 'nobody'}: {problem}")
        self.step = step
        self.peer = peer
        self.problem = problem


class PeerUnreachableError(ClusterError):
    """The peer did not answer in time, or the connection failed."""


class PeerRefusedError(ClusterError):
    """The peer replied that it could not carry out the request, or its reply is malformed."""


class StorageError(ClusterError):
    """The disk rejected a write or did not complete it."""


class InvalidSettingsError(ClusterError):
    """The settings file can't be read or is invalid."""
