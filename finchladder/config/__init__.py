"""Reading and validation of every file that operators or the platform write."""
