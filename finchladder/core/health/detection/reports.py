"""What one dispatcher tells the others of real servers in question. Times are seconds, ages as of telling."""

from math import isfinite
from typing import NamedTuple
from zlib import crc32

MAX_WORKER_REPORTS = 12  # of one dispatcher at one time: those with the most against them
MIN_URGENT_BAD_ATTEMPTS = 0.9  # bad endings from which on a word is told at once
MOST_COUNT = 6_000.0
MOST_S = 600.0


class WorkerReport(NamedTuple):
    """Of one subject: a real server's one life, and a class of jobs there."""

    subject_id: int
    bad: float  # endings that were its own fault, each as far as it proves that
    link: float  # endings that may be the link's
    good: float
    opened_s: float  # since the teller began to count
    left_s: float  # it is out, as the teller holds it, for so much longer; 0: not, or on trial
    stage: int  # of the trial; 0: none

    @property
    def room(self) -> int:
        return 24


class PeerReport(NamedTuple):
    """One dispatcher's word, as it stands."""

    reporter: str
    zone: int
    age_s: float  # since it was written
    worker_reports: tuple[WorkerReport, ...]


class OwnReport(NamedTuple):
    """One's own word, to be told."""

    zone: int
    attempts: float  # jobs that ended here lately, at all real servers that are not out
    bad_attempts: float  # of those
    worker_reports: tuple[WorkerReport, ...]


def subject_id(worker: str, born: float, job_class: str) -> int:
    """32 bits, the same at all: a real server that has started anew is another subject."""
    return crc32(f"{worker}/{round(born * 1000)}/{job_class}".encode())


def zone_number(zone: str) -> int:
    return crc32(zone.encode())


def has_invalid_values(says: tuple[WorkerReport, ...]) -> bool:
    """Whether figures are impossible."""
    return len(says) > MAX_WORKER_REPORTS or not all(
        0 <= s.subject_id < 1 << 32
        and 0 <= s.stage < 16
        and all(isfinite(n) and 0 <= n <= MOST_COUNT for n in (s.bad, s.link, s.good))
        and all(isfinite(n) and 0 <= n <= MOST_S for n in (s.opened_s, s.left_s))
        for s in says
    )
