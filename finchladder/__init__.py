"""finchladder: the decision logic of a dispatcher that pushes jobs to workers."""

from finchladder.core import api
from finchladder.core.dispatch.dispatcher import Dispatcher

__all__ = ["Dispatcher", "api"]
