"""The other dispatchers, by UDP at the address that clients use. Nothing that serves a job waits for it."""
