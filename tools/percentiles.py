"""Percentiles of the times of streams."""

import itertools
import statistics
from typing import Final, NamedTuple

_CENTS: Final = 100
_MILLISECONDS: Final = 1000
_MEDIAN: Final = 50
_P95: Final = 95
_P99: Final = 99


class Times(NamedTuple):
    """Times of one stream.

    :param first: seconds until the first word.
    :param gaps: seconds between the words.
    :param end: seconds from the last word to the end marker.
    """

    first: float
    gaps: list[float]
    end: float


class Summary(NamedTuple):
    """Percentiles over streams, in milliseconds.

    :param first_median: until the first word.
    :param first_p95: until the first word.
    :param gap_median: between words.
    :param gap_p99: between words.
    :param end_p95: from the last word to the end marker.
    """

    first_median: float
    first_p95: float
    gap_median: float
    gap_p99: float
    end_p95: float


def make_times(started: float, marks: list[float]) -> Times:
    """Make the times of one stream.

    :param started: seconds at which it was asked for.
    :param marks: seconds at which its pieces came.
    :returns: the times.
    """
    pairs = itertools.pairwise(marks)
    *gaps, end = [late - early for early, late in pairs]
    return Times(marks[0] - started, gaps, end)


def summarise(times: list[Times]) -> Summary:
    """Find percentiles.

    :param times: of all streams.
    :returns: the percentiles.
    """
    first = [one.first for one in times]
    ends = [one.end for one in times]
    gaps: list[float] = []
    for stream in times:
        gaps.extend(stream.gaps)
    return Summary(
        first_median=find_percentile(first, _MEDIAN),
        first_p95=find_percentile(first, _P95),
        gap_median=find_percentile(gaps, _MEDIAN),
        gap_p99=find_percentile(gaps, _P99),
        end_p95=find_percentile(ends, _P95),
    )


def find_percentile(seconds: list[float], percent: int) -> float:
    """Find a percentile of times.

    :param seconds: the times; with fewer than two there is nothing to tell.
    :param percent: 1 to 99.
    :returns: milliseconds.
    """
    if len(seconds) < 2:
        return 0
    cuts = statistics.quantiles(seconds, n=_CENTS, method='inclusive')
    return round(cuts[percent - 1] * _MILLISECONDS, 2)
