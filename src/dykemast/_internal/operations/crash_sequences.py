"""Which request ended servers, told from those that were there by chance.

When a server ends, all that ran there breaks off. One request that ends each
server that begins to run it is among them each time; the others are there once
or twice, the more often the longer they run. Four things tell them apart:

- who had brought events for a while had begun long before, and did not end it;
- ends count one after another: a run that began before the end of the last one
  shows nothing more. Times that others tell are late by the transit of news,
  so that the router which saw the end before the next send counts right. When
  all servers end at one moment, a question that everybody asks is under many
  of them, and this counts as one;
- an end counts for the request with the most ends alone, as the others are
  explained by it;
- a run that comes to its end, or brings events for a while, clears the request.

When one request ended a dozen servers within 14 s, another ran on three of
these; the first rule leaves it under suspicion for one of the three.
"""

import operator
from collections.abc import Iterable, Mapping
from typing import NamedTuple


class CrashedRun(NamedTuple):
    """A run of a request that was under way when its server ended.

    :param server: name of the start of the server.
    :param sent_at: seconds at which the request was sent there.
    :param ended_at: seconds at which the server ended.
    """

    server: str
    sent_at: float
    ended_at: float


def find_crash_sequence(runs: Iterable[CrashedRun]) -> list[CrashedRun]:
    """Find the longest row of runs that ended servers one after another.

    :param runs: of one request.
    :returns: runs, each begun after the one before had ended.
    """
    sequence: list[CrashedRun] = []
    for run in sorted(runs, key=operator.attrgetter('ended_at')):
        if not sequence or run.sent_at > sequence[-1].ended_at:
            sequence.append(run)
    return sequence


def count_unexplained(
    request: str,
    crash_sequences: Mapping[str, list[CrashedRun]],
    present: Mapping[str, Iterable[str]],
) -> int:
    """Count the ends that no other request explains as well.

    :param request: the request.
    :param crash_sequences: of all requests.
    :param present: requests that had just begun at each server that ended.
    :returns: how many of its chain are its own.
    """
    own = len(crash_sequences[request])
    return sum(
        all(
            len(crash_sequences.get(other, ())) < own
            for other in present[run.server]
            if other != request
        )
        for run in crash_sequences[request]
    )
