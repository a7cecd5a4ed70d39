"""Attribution of server crashes to requests.

When a server crashes, all requests on it break. A request that crashes every
server that starts to run it is among them each time. Other requests are among
them once or twice, and more often the longer they run. Four rules separate
them:

- A request that has been streaming events for a while did not crash its server.
- Crashes count in sequence: a run that started before the previous crash is no
  additional evidence. Times reported by peers are late by the delivery time of
  the message, so the router that saw the crash before the next send counts
  correctly. When all servers crash together, a request that many callers send
  is running on several of them; this counts as one crash.
- A crash is attributed to the suspect with the longest crash sequence, since
  that request explains the crash for the other suspects.
- A run that completes, or streams events for a while, clears the request.

A part of a prompt may crash servers too, whatever else the request holds. Parts
are suspects beside the request, and a request is always as likely as its parts:
of equal sequences that of the request explains those of its parts. Parts that
only the same requests hold are indistinguishable and do not explain each other.

In one incident a request crashed a dozen servers within 14 s while another one
ran on three of them. Under the first rule the other request remains a suspect
for only one of the three.
"""

import operator
from collections.abc import Container, Iterable, Mapping
from typing import Final, NamedTuple

from dykemast._internal.operations.request_identity import is_part


#: From this length on, equal sequences of other parts of prompts do not explain
#: that of a part. The users accept five crashes.
TIED_CRASHES: Final = 4


class CrashedRun(NamedTuple):
    """A run of a request that was in progress when its server crashed.

    :param server: incarnation name of the server.
    :param sent_at: time at which the request was sent to the server.
    :param ended_at: time at which the server crashed.
    """

    server: str
    sent_at: float
    ended_at: float


def find_crash_sequence(runs: Iterable[CrashedRun]) -> list[CrashedRun]:
    """Find the longest sequence of runs that crashed servers in turn.

    :param runs: runs of one request.
    :returns: runs, each started after the previous crash.
    """
    sequence: list[CrashedRun] = []
    for run in sorted(runs, key=operator.attrgetter('ended_at')):
        if not sequence or run.sent_at > sequence[-1].ended_at:
            sequence.append(run)
    return sequence


def count_unexplained(
    request: str,
    crash_sequences: Mapping[str, list[CrashedRun]],
    suspects_by_server: Mapping[str, Iterable[str]],
) -> int:
    """Count the crashes that no other request explains equally well.

    :param request: digest of the request.
    :param crash_sequences: crash sequences of all requests.
    :param suspects_by_server: requests that had just started on each crashed
        server.
    :returns: number of crashes attributed to the request alone.
    """
    own = crash_sequences[request]
    suspects = [set(suspects_by_server[run.server]) for run in own]
    beside = set.intersection(*suspects)
    return sum(
        not any(
            _explains(other, crash_sequences, request, beside)
            for other in present
            if other != request
        )
        for present in suspects
    )


def _explains(
    other: str,
    crash_sequences: Mapping[str, list[CrashedRun]],
    name: str,
    beside: Container[str],
) -> bool:
    """Check whether another suspect explains a crash at least equally well.

    :param other: name of the other suspect.
    :param crash_sequences: crash sequences of all suspects.
    :param name: name of the suspect.
    :param beside: suspects of all crashes in its sequence.
    :returns: whether it does.
    """
    length = len(crash_sequences[name])
    other_length = len(crash_sequences.get(other, ()))
    if other_length != length:
        return other_length > length
    if not is_part(other):
        return True
    if not is_part(name) or length >= TIED_CRASHES:
        return False
    return other not in beside
