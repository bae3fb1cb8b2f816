"""Errors of the files that a person writes."""


class InvalidFileError(ValueError):
    """A file in TOML can't be used; the message has a line for each finding."""
