"""Actions of the planner: loads, with the evictions that free memory for them."""

from attrs import frozen


@frozen(order=True)
class Eviction:
    """Eviction of a model, or of one of its adapters, from a worker."""

    model: str
    adapter: str = ""


@frozen
class LoadAction:
    """Load of a model, or of an adapter of a loaded model, at a worker after `evictions`."""

    instance: str
    model: str
    adapter: str = ""
    evictions: tuple[Eviction, ...] = ()
