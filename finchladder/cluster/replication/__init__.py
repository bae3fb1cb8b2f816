"""View agreement, chain replication and leases as state machines without I/O."""
