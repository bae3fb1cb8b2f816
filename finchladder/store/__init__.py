"""Data that outlives a process."""
