"""The decision logic: events and times go in, actions come out. No I/O, clocks, threads or global state."""
