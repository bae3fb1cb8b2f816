"""Timeouts by which control processes detect missing heartbeats of workers."""

MAX_MISSED_HEARTBEATS = 2.5
HEARTBEAT_GRACE_S = 0.4  # additional time for the delivery of a heartbeat
REGISTRATION_GRACE_S = 1.0


def loss_timeout_s(heartbeat_s: float) -> float:
    """Seconds without a heartbeat after which a worker counts as lost."""
    return MAX_MISSED_HEARTBEATS * heartbeat_s + HEARTBEAT_GRACE_S


def registration_timeout_s(heartbeat_s: float) -> float:
    """Seconds after which a started control process must have a record of every live worker."""
    return (MAX_MISSED_HEARTBEATS + 1) * heartbeat_s + REGISTRATION_GRACE_S
