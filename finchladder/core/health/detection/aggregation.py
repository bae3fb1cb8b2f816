"""Combines the reports of all dispatchers on one subject; the weight of each reporter is bounded.

| attempts in a report | count as |
| --- | --- |
| bad: failed 1, silent, slow or overtaken 1/2 | the reporter's own, at most MAX_BAD_PER_REPORTER |
| link failures, reporter in this dispatcher's zone | the same |
| link failures, reporters of another zone | one reporter per zone, as they may share one link |
| good | against the reporter's own bad attempts, at most MAX_GOOD_SCORE |
| reported some time ago | less, by DECAY_S |
| reported REPORT_TIMEOUT_S ago or earlier | nothing |

If there is only one zone, all dispatchers may share one link. Link failures then count for nothing here, and
each dispatcher ejects by its own evidence.
"""

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from finchladder.core.health.detection.evidence import DECAY_S
from finchladder.core.health.detection.reports import SubjectReport

MAX_BAD_PER_REPORTER = 1.5  # bad attempts that one reporter counts for at most
MAX_GOOD_SCORE = 6.0  # absolute score that one reporter's good attempts count for at most
REPORT_TIMEOUT_S = 10.0
MIN_BAD_PER_REPORTER = 0.25  # a reporter of more bad attempts than this counts as one against the worker


class ReceivedReport(NamedTuple):
    """One dispatcher's report on one subject, with its current age."""

    reporter: str
    zone: int
    age_s: float
    report: SubjectReport


class CombinedEvidence(NamedTuple):
    """All dispatchers' evidence on one subject."""

    score: float  # logarithm of the likelihood ratio of a bad worker
    reporters: int  # number of reporters against the worker; a remote zone's links count as one
    good: float  # good attempts
    bad: float = 0.0  # bad attempts without link failures


NO_EVIDENCE = CombinedEvidence(0.0, 0, 0.0)


def merge_by_reporter(reports: Iterable[ReceivedReport]) -> list[ReceivedReport]:
    """Adds up the reports of each reporter on several classes; the lowest age of them is kept."""
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
        bad: Score of a bad attempt.
        good: Score of a good attempt.
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
