"""Which worker gets a job: the choice, its records and indexes, and the stages of an attempt."""
