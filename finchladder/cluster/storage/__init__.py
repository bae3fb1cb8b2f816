"""Durable state of control processes."""
