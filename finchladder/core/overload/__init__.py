"""Overload control: which requests are admitted while the event loop is overloaded."""
