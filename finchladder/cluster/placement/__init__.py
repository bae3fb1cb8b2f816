"""Decides which worker holds which model: demand, load budget, planner; no I/O and no clock."""
