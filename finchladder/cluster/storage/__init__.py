"""What outlives a process, on the disk of a core machine."""
