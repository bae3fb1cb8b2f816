"""Routes, and the limits that they apply to the dispatcher: concurrency, retry budgets, hedged requests."""
