"""What the planner decides: loads, with the evictions that make memory free for them."""

from attrs import frozen


@frozen(order=True)
class Eviction:
    """A model, or an adapter of one, to be evicted from a worker."""

    model: str
    adapter: str = ""


@frozen
class LoadAction:
    """Load a model, or an adapter of a loaded one, at a worker after these evictions."""

    instance: str
    model: str
    adapter: str = ""
    evictions: tuple[Eviction, ...] = ()
