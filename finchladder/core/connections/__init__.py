"""Connections: which ones stay open, idle timeouts, memory for bodies, graceful shutdown."""
