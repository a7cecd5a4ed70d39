"""Take note of servers that ended, and of requests that ran to their end."""

from typing import Final

from dykemast._internal.models.crashes import ServerCrash
from dykemast._internal.operations.crash_table import Crash, CrashTable

#: Requests that are kept of one end: those that are known from others come
#: first, then who was sent last, as whoever ends a server has just begun.
MAX_SUSPECTS: Final = 64


def record_crash(table: CrashTable, crash: ServerCrash, now: float) -> bool:
    """Take note that a server has ended.

    :param table: what is known; times of an end that it knows stay.
    :param crash: the end.
    :param now: seconds.
    :returns: whether any of it was new.
    """
    fresh = Crash(now - crash.age, crash.service)
    known = table.crashes.setdefault(crash.server, fresh)
    if crash.suspects and not known.sent_at:
        # Until then only a refused connection told of it, which may have come
        # late, or before the server listened.
        known.ended_at = fresh.ended_at
    known.others = max(known.others, crash.others)
    refuted = crash.refuted and not known.refuted
    known.refuted = known.refuted or crash.refuted
    return _add_suspects(table, known, crash, now) or refuted


def refute_crash(table: CrashTable, server: str) -> bool:
    """Take note that a server that was taken for ended has answered.

    :param table: what is known.
    :param server: name of its start.
    :returns: whether that is new.
    """
    crash = table.crashes.get(server)
    if crash is None or crash.refuted:
        return False
    crash.refuted = True
    return True


def clear_suspect(table: CrashTable, request: str, now: float) -> bool:
    """Clear a request of all that is known of it until now.

    :param table: what is known.
    :param request: its digest.
    :param now: seconds.
    :returns: whether anything was.
    """
    if (
        request not in table.crash_sequences
        and request not in table.quarantines
    ):
        return False
    table.cleared[request] = now
    return True


def _add_suspects(
    table: CrashTable,
    known: Crash,
    crash: ServerCrash,
    now: float,
) -> bool:
    before = set(known.sent_at)
    for suspect in crash.suspects:
        # Of several sends the first may have ended it, and was there before
        # what a later one seems to follow.
        sent_at = now - suspect.sent_age_s
        first_at = known.sent_at.get(suspect.request, sent_at)
        known.sent_at[suspect.request] = min(first_at, sent_at)
    if len(known.sent_at) > MAX_SUSPECTS:
        ranked = rank_suspects(table, known)
        known.sent_at = {name: known.sent_at[name] for name in ranked}
    return not before.issuperset(known.sent_at)


def rank_suspects(
    table: CrashTable,
    crash: Crash,
    count: int = MAX_SUSPECTS,
) -> list[str]:
    """Rank who may have ended a server.

    :param table: what is known.
    :param crash: the end of the server.
    :param count: how many are wanted.
    :returns: requests, the likeliest first.
    """
    sent_at = crash.sent_at
    ranked = sorted(
        sent_at,
        key=lambda name: (table.count_crashes(name), sent_at[name]),
        reverse=True,
    )
    return ranked[:count]
