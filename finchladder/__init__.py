"""finchladder: the decisions of a dispatcher that pushes jobs to workers."""

from finchladder.policy import Dispatcher

__all__ = ["Dispatcher"]
