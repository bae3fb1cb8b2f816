"""Choice of a worker, budgets and stream states on the data plane."""
