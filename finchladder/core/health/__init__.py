"""Which workers may take work: slow start after a restart, ejection of outliers."""
