"""Tables of the workers that are registered, replicated between control processes."""
