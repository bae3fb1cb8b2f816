"""Settings, wiring, readiness, shutdown and logs of a process."""
