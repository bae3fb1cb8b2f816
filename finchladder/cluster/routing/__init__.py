"""Classification of requests, worker selection, retry budgets and event streams of the data plane."""
