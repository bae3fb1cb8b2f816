"""Reading, checking and routing by the operator's configuration."""
