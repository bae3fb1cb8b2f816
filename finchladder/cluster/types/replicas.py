"""Key of a model replica, by which dispatchers and the placer count requests in flight."""

from attrs import frozen


@frozen
class ReplicaKey:
    """Identifies a model, including its adapters, at one worker incarnation."""

    instance: str
    model: str
