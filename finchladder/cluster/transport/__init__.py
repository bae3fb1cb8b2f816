"""HTTP on both sides; it decides nothing."""
