"""Decides which workers may receive jobs: slow start after a restart, ejection of outliers."""
