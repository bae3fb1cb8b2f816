"""Whole runs on loopback, from the text of an experiment."""

from pathlib import Path

from finchladder.lab.check import load
from finchladder.lab.run import play
from finchladder.lab.show import Show


def played(folder: Path, text: str, *sets: str) -> Path:
    """The folder of the run, which was played in FOLDER/out."""
    file = folder / "experiment.toml"
    file.write_text(text)
    [variant] = load(file, sets)
    out = folder / "out"
    out.mkdir()
    play(variant.experiment, variant.folder, out, Show(quiet=True))
    return out
