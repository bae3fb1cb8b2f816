"""Overload control: what is admitted while the event loop is late."""
