"""Key of a model replica, for the dispatchers' demand counts and the placer's totals."""

from attrs import frozen


@frozen
class ReplicaKey:
    """Identifies a model, including its adapters, at one worker incarnation."""

    instance: str
    model: str
