"""Records, messages and errors of the cluster."""
