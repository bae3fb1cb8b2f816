"""Tables of registered workers, replicated between control processes."""
