"""Client connections, idle timeouts, memory for bodies, graceful shutdown."""
