"""A stand-in deployment, its load and its judge. It shares no parser with net/: a common bug would hide."""
