"""What routers tell each other of requests that end servers."""

import operator
from typing import Final

from dykemast._internal.models.crashes import (
    Acquittal,
    CrashNews,
    Quarantine,
)
from dykemast._internal.operations.crash_ends import DIGITS, tell_ends
from dykemast._internal.operations.crash_evidence import note_crash
from dykemast._internal.operations.crash_table import CrashTable, Sentence

#: Requests that are told of at once, of those that are cleared and of those in
#: quarantine; the newest come first, and the store keeps all of the latter.
MAX_REQUESTS: Final = 64
#: Seconds by which word of the same run may differ that came over others.
SAME_RUN: Final = 1.0


def tell_crashes(table: CrashTable, now: float) -> CrashNews:
    """Tell others what is known.

    :param table: what is known.
    :param now: seconds.
    :returns: the news, bounded.
    """
    return CrashNews(
        tell_ends(table, now),
        _tell_acquittals(table, now),
        _tell_quarantines(table, now),
    )


def take_crashes(table: CrashTable, news: CrashNews, now: float) -> bool:
    """Take what a peer tells.

    :param table: what is known.
    :param news: the news.
    :param now: seconds.
    :returns: whether any of it was new.
    """
    changes = [note_crash(table, one, now) for one in news.crashes]
    changes += [_take_acquittal(table, one, now) for one in news.acquittals]
    changes += [take_quarantine(table, one, now) for one in news.quarantines]
    return any(changes)


def take_quarantine(table: CrashTable, told: Quarantine, now: float) -> bool:
    """Take a quarantine that another router decided.

    :param table: what is known.
    :param told: the quarantine.
    :param now: seconds.
    :returns: whether it is new.
    """
    decided_at = now - told.age
    known = table.sentences.get(told.request)
    if known and known.strikes >= told.strikes:
        return False
    if table.acquitted.get(told.request, decided_at - 1) >= decided_at:
        return False
    until = now + told.seconds
    table.sentences[told.request] = Sentence(decided_at, until, told.strikes)
    return True


def _tell_acquittals(table: CrashTable, now: float) -> tuple[Acquittal, ...]:
    newest = sorted(
        table.acquitted.items(), key=operator.itemgetter(1), reverse=True
    )
    return tuple(
        Acquittal(request, round(now - cleared_at, DIGITS))
        for request, cleared_at in newest[:MAX_REQUESTS]
    )


def _take_acquittal(table: CrashTable, told: Acquittal, now: float) -> bool:
    cleared_at = now - told.age
    known = table.acquitted.get(told.request)
    if known is not None and known >= cleared_at - SAME_RUN:
        return False
    table.acquitted[told.request] = cleared_at
    return True


def _tell_quarantines(table: CrashTable, now: float) -> tuple[Quarantine, ...]:
    newest = sorted(
        table.sentences.items(),
        key=lambda pair: pair[1].decided_at,
        reverse=True,
    )
    return tuple(
        Quarantine(
            request,
            round(now - sentence.decided_at, DIGITS),
            round(max(0, sentence.until - now), DIGITS),
            sentence.strikes,
        )
        for request, sentence in newest[:MAX_REQUESTS]
    )
