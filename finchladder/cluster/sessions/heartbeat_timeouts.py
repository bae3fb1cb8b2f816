"""Timeouts of control processes for the heartbeats of workers."""

MAX_MISSED_HEARTBEATS = 2.5
HEARTBEAT_GRACE_S = 0.4  # additional time for a heartbeat in transit
REGISTRATION_GRACE_S = 1.0


def loss_timeout_s(heartbeat_s: float) -> float:
    """Seconds without a heartbeat after which a worker counts as lost."""
    return MAX_MISSED_HEARTBEATS * heartbeat_s + HEARTBEAT_GRACE_S


def registration_timeout_s(heartbeat_s: float) -> float:
    """Seconds after its start within which a control process has a record of every live worker."""
    return (MAX_MISSED_HEARTBEATS + 1) * heartbeat_s + REGISTRATION_GRACE_S
