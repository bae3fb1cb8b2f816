"""scalepick: the decisions of a dispatcher that pushes jobs to workers."""

from scalepick.policy import Dispatcher

__all__ = ["Dispatcher"]
