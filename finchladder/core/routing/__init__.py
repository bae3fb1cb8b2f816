"""Limits of routes around the dispatcher: concurrency, retry budgets, hedged requests."""
