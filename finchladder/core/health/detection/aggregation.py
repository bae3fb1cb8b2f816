"""Combines the reports of all dispatchers on one subject; the weight of each reporter is bounded.

A subject is one worker (since its last start) and one job class.

| attempts in a report | count as |
| --- | --- |
| bad: failed 1, silent, slow or overtaken 1/2 | bad attempts, at most MAX_BAD_PER_REPORTER of each reporter |
| link failures, reporter in this dispatcher's zone | bad attempts, within the same maximum |
| link failures, reporters of another zone | those of one reporter per zone, as a zone may share one link |
| good | subtracted from the reporter's score, which is at least -MAX_GOOD_SCORE |
| any, in a report of some age | decayed exponentially with DECAY_S |
| any, in a report of age REPORT_TIMEOUT_S or more | nothing |

If there is only one zone, all dispatchers may share one link. Link failures are then ignored here, and each
dispatcher ejects by its own link failures (local evidence, see detector.py).
"""

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from finchladder.core.health.detection.evidence import DECAY_S
from finchladder.core.health.detection.reports import SubjectReport

MAX_BAD_PER_REPORTER = 1.5  # maximum number of bad attempts counted for one reporter
MAX_GOOD_SCORE = 6.0  # the score of one reporter is limited to minus this at the lowest
REPORT_TIMEOUT_S = 10.0  # age at which a report is ignored
MIN_BAD_PER_REPORTER = 0.25  # only reporters with more bad attempts than this are counted as reporters


class ReceivedReport(NamedTuple):
    """One dispatcher's report on one subject, with its current age."""

    reporter: str
    zone: int
    age_s: float
    report: SubjectReport


class CombinedEvidence(NamedTuple):
    """All dispatchers' evidence on one subject."""

    score: float  # sum of the logarithms of likelihood ratios (evidence.py); high at a bad worker
    reporters: (
        int  # number of reporters of bad attempts; those of link failures in a remote zone count as one
    )
    good: float  # good attempts
    bad: float = 0.0  # bad attempts, link failures excluded


NO_EVIDENCE = CombinedEvidence(0.0, 0, 0.0)


def merge_by_reporter(reports: Iterable[ReceivedReport]) -> list[ReceivedReport]:
    """Adds up each reporter's reports on several classes; the sum has the age of the latest one."""
    found: dict[str, ReceivedReport] = {}
    for r in reports:
        previous = found.get(r.reporter)
        if previous is not None:
            a, b = previous.report, r.report
            total = a._replace(bad=a.bad + b.bad, link=a.link + b.link, good=a.good + b.good)
            r = previous._replace(age_s=min(previous.age_s, r.age_s), report=total)
        found[r.reporter] = r
    return list(found.values())


def combine(
    reports: Iterable[ReceivedReport], zone: int, zone_count: int, bad: float, good: float
) -> CombinedEvidence:
    """Combines reports.

    Args:
        reports: At most one report of each reporter.
        zone: Number of this dispatcher's zone.
        zone_count: Number of zones.
        bad: Score that a bad attempt adds, above 0.
        good: Score that a good attempt adds, below 0.
    """
    max_score = MAX_BAD_PER_REPORTER * bad
    score, reporters, good_count, bad_count = 0.0, 0, 0.0, 0.0
    links: dict[int, float] = {}
    for r in reports:
        if r.age_s >= REPORT_TIMEOUT_S:
            continue
        decay = exp(-r.age_s / DECAY_S)
        own = decay * (r.report.bad * bad + r.report.good * good)
        link = decay * r.report.link * bad
        if r.zone == zone and zone_count > 1:
            own += link
        own = min(max_score, max(-MAX_GOOD_SCORE, own))
        if link and r.zone != zone:
            # a reporter's bad attempts and link failures together count for at most `max_score`
            links[r.zone] = links.get(r.zone, 0.0) + min(link, max_score - max(0.0, own))
        score += own
        reporters += own > MIN_BAD_PER_REPORTER * bad
        good_count += decay * r.report.good
        bad_count += decay * r.report.bad
    if zone_count > 1:
        for link in links.values():
            score += min(max_score, link)
            reporters += link > MIN_BAD_PER_REPORTER * bad
    return CombinedEvidence(score, reporters, good_count, bad_count)
