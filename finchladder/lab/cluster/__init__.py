"""The system's control state on a virtual clock, network and disk, with faults from a seed and an oracle."""
