"""Recording of server crashes and of runs that clear a request."""

from typing import Final

from dykemast._internal.models.crashes import ServerCrash
from dykemast._internal.operations.crash_table import Crash, CrashTable
from dykemast._internal.operations.request_identity import is_part

#: Suspects kept per crash: this many requests, and as many parts of prompts.
#: Those already suspected for other crashes come first, then the most recently
#: sent ones, since a request that crashes its server has just started.
MAX_SUSPECTS: Final = 64


def record_crash(table: CrashTable, crash: ServerCrash, now: float) -> bool:
    """Record the crash of a server.

    :param table: the crash table; earlier reports of the same crash keep their
        times.
    :param crash: the crash.
    :param now: seconds on the monotonic clock.
    :returns: whether the report contained anything new.
    """
    reported = Crash(now - crash.age, crash.service)
    known = table.crashes.setdefault(crash.server, reported)
    if crash.suspects and not known.sent_at:
        # So far only a refused connection indicated the crash. That may be
        # late, or it may date from before the server started to listen.
        known.ended_at = reported.ended_at
    known.others = max(known.others, crash.others)
    _clear_sound_parts(table, known.ended_at, crash)
    refuted = crash.refuted and not known.refuted
    known.refuted = known.refuted or crash.refuted
    return _add_suspects(table, known, crash, now) or refuted


def refute_crash(table: CrashTable, server: str) -> bool:
    """Record a response from a server that was assumed to have crashed.

    :param table: the crash table.
    :param server: incarnation name of the server.
    :returns: whether the crash was not refuted before.
    """
    crash = table.crashes.get(server)
    if crash is None or crash.refuted:
        return False
    crash.refuted = True
    return True


def clear_suspect(table: CrashTable, request: str, now: float) -> bool:
    """Clear a request of all crashes up to now.

    :param table: the crash table.
    :param request: digest of the request.
    :param now: seconds on the monotonic clock.
    :returns: whether the request was a suspect.
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
    previous = set(known.sent_at)
    for suspect in crash.suspects:
        # The first of several sends may have caused the crash, and it was
        # running before any crash that a later send appears to follow.
        sent_at = now - suspect.sent_age_s
        first_at = known.sent_at.get(suspect.request, sent_at)
        known.sent_at[suspect.request] = min(first_at, sent_at)
    if len(known.sent_at) > MAX_SUSPECTS:
        ranked = rank_suspects(table, known)
        known.sent_at = {name: known.sent_at[name] for name in ranked}
    return not previous.issuperset(known.sent_at)


def _clear_sound_parts(
    table: CrashTable, ended_at: float, crash: ServerCrash
) -> None:
    """Clear the parts of prompts that ran soundly just before a crash."""
    for suspect in crash.suspects:
        name = suspect.request
        if table.was_sound(name, ended_at):
            cleared_at = table.cleared.get(name, ended_at)
            table.cleared[name] = max(cleared_at, ended_at)


def is_cleared(table: CrashTable, name: str, crash: Crash) -> bool:
    """Check whether a suspect of a crash has been cleared since.

    :param table: the crash table.
    :param name: name of the suspect.
    :param crash: the crash.
    :returns: whether it has.
    """
    return table.cleared.get(name, crash.ended_at - 1) >= crash.ended_at


def rank_suspects(
    table: CrashTable,
    crash: Crash,
    count: int = MAX_SUSPECTS,
) -> list[str]:
    """Rank the suspects of a crash.

    :param table: the crash table.
    :param crash: the crash.
    :param count: maximum number of requests to return, and of parts of prompts.
    :returns: names of those that have not been cleared, most likely first.
    """
    sent_at = crash.sent_at
    ranked = sorted(
        (name for name in sent_at if not is_cleared(table, name, crash)),
        key=lambda name: (table.count_crashes(name), sent_at[name]),
        reverse=True,
    )
    requests = [name for name in ranked if not is_part(name)]
    parts = [name for name in ranked if is_part(name)]
    return [*requests[:count], *parts[:count]]
