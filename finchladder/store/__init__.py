"""What outlives a process."""
