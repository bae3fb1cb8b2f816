"""The operator's configuration: validation of changes, snapshots for routing, and compression."""
