"""Client connections, idle timeouts, memory for message bodies, graceful shutdown."""
