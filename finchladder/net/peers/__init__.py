"""The exchange with other dispatchers over UDP; no job ever waits for it."""
