"""Errors of the system: each says at which step and with which peer it arose."""


class ClusterError(Exception):
    """Base of all errors that pass between parts of the system."""

    def __init__(self, step: str, peer: str, problem: str) -> None:
        super().__init__(f"{step} with {peer or 'nobody'}: {problem}")
        self.step, self.peer, self.problem = step, peer, problem


class PeerUnreachableError(ClusterError):
    """The peer did not answer in time, or the connection failed."""


class PeerRefusedError(ClusterError):
    """The peer answered that it could not do it."""


class StorageError(ClusterError):
    """The disk refused a write or did not answer."""


class InvalidSettingsError(ClusterError):
    """The settings file can't be used."""
