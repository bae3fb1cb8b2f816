"""Reports on workers that dispatchers exchange. Durations are in seconds, as of when a report is sent.

A subject is one job class at one worker; a restarted worker is a new subject.
"""

from math import isfinite
from typing import NamedTuple
from zlib import crc32

MAX_SUBJECT_REPORTS = 12  # per dispatcher: ejected subjects first, then those with the most bad attempts
MIN_URGENT_BAD_ATTEMPTS = 0.9  # a subject with more bad attempts than this is reported at once
MAX_COUNT = 6_000.0  # maximum of each count of attempts in a report
MAX_DURATION_S = 600.0  # maximum of each duration in a report


class SubjectReport(NamedTuple):
    """One dispatcher's evidence on one subject; the counts of attempts decay with time."""

    subject_id: int
    bad: float  # bad attempts without link failures, each with its weight (evidence.WEIGHTS)
    link: float  # attempts that failed without a connection, or as the connection broke
    good: float  # good attempts
    opened_s: float  # time since the reporter's first counted attempt
    left_s: float  # remaining time of the reporter's ejection of the subject; 0: it is not ejected
    stage: int  # stage of the trial; 0: not on trial

    @property
    def size_bytes(self) -> int:
        """Upper bound of the encoded size, in bytes."""
        return 24


class PeerReport(NamedTuple):
    """The latest reports of one peer."""

    reporter: str
    zone: int
    age_s: float  # time since the reporter created them
    subject_reports: tuple[SubjectReport, ...]


class OwnReport(NamedTuple):
    """Reports of this dispatcher to its peers."""

    zone: int
    attempts: float  # decaying count of attempts at workers without a verdict, see BaseRate
    bad_attempts: float  # number of bad attempts among `attempts`
    subject_reports: tuple[SubjectReport, ...]


def subject_id(worker: str, started_at: float, job_class: str) -> int:
    """Returns a 32-bit hash of a subject, equal at all dispatchers; a worker's restart changes it."""
    return crc32(f"{worker}/{round(started_at * 1000)}/{job_class}".encode())


def zone_number(zone: str) -> int:
    """Returns a 32-bit hash of a zone's name, equal at all dispatchers."""
    return crc32(zone.encode())


def has_invalid_values(subject_reports: tuple[SubjectReport, ...]) -> bool:
    """Whether there are more than MAX_SUBJECT_REPORTS, or a value in one of them is out of range."""
    return len(subject_reports) > MAX_SUBJECT_REPORTS or not all(
        0 <= r.subject_id < 1 << 32
        and 0 <= r.stage < 16
        and all(isfinite(n) and 0 <= n <= MAX_COUNT for n in (r.bad, r.link, r.good))
        and all(isfinite(n) and 0 <= n <= MAX_DURATION_S for n in (r.opened_s, r.left_s))
        for r in subject_reports
    )
