"""Reads the operator's file, INI or TOML by its name."""

from pathlib import Path

from finchladder.config.ini_file import read_ini
from finchladder.config.options import OFF, Options, is_toml
from finchladder.core import api


def read_options(
    path: str | None, settings: api.Settings | None = None, memory_mb: int | None = None
) -> Options:
    """Reads the operator's file at `path`; None means that every feature is off.

    A TOML file is checked completely, its routes against the platform's settings where those are given.

    Raises:
        InvalidFileError: A TOML file can't be used; the message has a line for each finding.
        ValueError: Any other file can't be used; the message is one line.
    """
    if path is None:
        return OFF
    if is_toml(path):
        from finchladder.config.operator_file import read  # not loaded by dispatchers with an INI file

        return read(path, settings, memory_mb).options
    try:
        text = Path(path).read_text("utf-8")
    except OSError as e:
        raise ValueError(f"{path}: {e.strerror}") from None
    except ValueError as e:
        raise ValueError(f"{path}: {e}") from None
    return read_ini(text, path)
