"""Identity of a model replica; shared by what dispatchers report and what the placer sums up."""

from attrs import frozen


@frozen
class ReplicaKey:
    """A model at one worker incarnation, its adapters included."""

    instance: str
    model: str
