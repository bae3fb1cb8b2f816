"""Durable storage of control processes."""
