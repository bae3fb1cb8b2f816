"""Workers for tests of the data plane."""

from finchladder.cluster.routing.workers import Worker


def make_worker(name: str, load: float = 0.0) -> Worker:
    """A worker of zone z with 64 slots."""
    return Worker(name, "llm", f"{name}:1", "z", 64, load)
