"""Errors of operators' files."""


class InvalidFileError(ValueError):
    """A TOML file can't be used; the message has a line for each finding."""
