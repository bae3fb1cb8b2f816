"""Network I/O of the dispatcher; all decisions are made in the core."""
