"""Errors of the system; each names the step and the peer at which it arose."""


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
