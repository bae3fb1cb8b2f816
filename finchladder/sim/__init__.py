"""Simulation: runs the unmodified program on virtual clocks and a virtual network, with seeded faults."""
