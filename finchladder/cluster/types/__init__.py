"""Records and messages of the system."""
