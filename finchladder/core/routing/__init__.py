"""Limits of routes round the dispatcher: concurrency, retry budgets, hedged requests."""
