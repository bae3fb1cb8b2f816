"""How long control processes wait for a worker's heartbeats."""

MAX_MISSED_HEARTBEATS = 2.5
HEARTBEAT_GRACE_S = 0.4  # on top, for a heartbeat that is on its way
REGISTRATION_GRACE_S = 1.0


def loss_timeout_s(heartbeat_s: float) -> float:
    """Time without a heartbeat after which a worker counts as lost."""
    return MAX_MISSED_HEARTBEATS * heartbeat_s + HEARTBEAT_GRACE_S


def registration_timeout_s(heartbeat_s: float) -> float:
    """Time after its start by which a control process has learned of every live worker."""
    return (MAX_MISSED_HEARTBEATS + 1) * heartbeat_s + REGISTRATION_GRACE_S
