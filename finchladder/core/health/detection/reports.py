"""Reports on workers that dispatchers exchange. Durations are in seconds, ages are as of the send."""

from math import isfinite
from typing import NamedTuple
from zlib import crc32

MAX_SUBJECT_REPORTS = 12  # per dispatcher; the subjects with the most bad attempts are reported
MIN_URGENT_BAD_ATTEMPTS = 0.9  # a subject with more bad attempts than this is reported at once
MAX_COUNT = 6_000.0
MAX_DURATION_S = 600.0


class SubjectReport(NamedTuple):
    """One dispatcher's evidence on one subject: one incarnation of a worker and one job class."""

    subject_id: int
    bad: float  # attempts that failed through the worker, each weighted by how much it proves
    link: float  # attempts that failed through the worker or the network link to it
    good: float
    opened_s: float  # time since the reporter began to count
    left_s: float  # remaining time of the ejection by the reporter; 0: not ejected, or on trial
    stage: int  # stage of the trial; 0: not on trial

    @property
    def size_bytes(self) -> int:
        """Upper bound of the encoded size, in bytes."""
        return 24


class PeerReport(NamedTuple):
    """The latest reports of one dispatcher."""

    reporter: str
    zone: int
    age_s: float  # time since the reporter wrote them
    subject_reports: tuple[SubjectReport, ...]


class OwnReport(NamedTuple):
    """What this dispatcher reports to its peers."""

    zone: int
    attempts: float  # recently ended attempts of this dispatcher at all workers that are not ejected
    bad_attempts: float  # the bad ones among `attempts`
    subject_reports: tuple[SubjectReport, ...]


def subject_id(worker: str, started_at: float, job_class: str) -> int:
    """Returns a 32-bit hash, the same at all dispatchers; a restarted worker gets a new one."""
    return crc32(f"{worker}/{round(started_at * 1000)}/{job_class}".encode())


def zone_number(zone: str) -> int:
    """Returns a 32-bit hash of a zone's name, the same at all dispatchers."""
    return crc32(zone.encode())


def has_invalid_values(subject_reports: tuple[SubjectReport, ...]) -> bool:
    """Whether there are too many reports, or one with a value out of range."""
    return len(subject_reports) > MAX_SUBJECT_REPORTS or not all(
        0 <= r.subject_id < 1 << 32
        and 0 <= r.stage < 16
        and all(isfinite(n) and 0 <= n <= MAX_COUNT for n in (r.bad, r.link, r.good))
        and all(isfinite(n) and 0 <= n <= MAX_DURATION_S for n in (r.opened_s, r.left_s))
        for r in subject_reports
    )
