"""Worker selection for jobs: placement, its records and indexes, and the stages of an attempt."""
