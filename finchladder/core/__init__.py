"""The decision logic: turns timed events into actions. No I/O, clocks, threads or global state."""
