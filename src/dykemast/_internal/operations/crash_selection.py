"""Selection of the crashes to report to peers."""

from typing import Final

from dykemast._internal.models.crashes import ServerCrash, Suspect
from dykemast._internal.operations.crash_evidence import rank_suspects
from dykemast._internal.operations.crash_table import Crash, CrashTable

#: Crashes whose suspects have no other crash are reported for this long:
#: several times the propagation time in a large fleet.
SINGLE_CRASH_GOSSIP_S: Final = 15.0
#: At most 8 crashes with 16 suspects of either kind each are reported in one
#: message, about 8 KB. Those with the strongest evidence and the most recent
#: ones come first.
MAX_REPORTED_CRASHES: Final = 8
MAX_REPORTED_SUSPECTS: Final = 16
#: Decimal places of ages in seconds.
AGE_DECIMALS: Final = 3


def select_crashes(table: CrashTable, now: float) -> tuple[ServerCrash, ...]:
    """Select the crashes to report to peers.

    :param table: the crash table.
    :param now: seconds on the monotonic clock.
    :returns: the most significant crashes.
    """
    ranked = sorted(
        (
            (_rank_crash(table, crash), server)
            for server, crash in table.crashes.items()
            if _is_reportable(table, crash, now)
        ),
        reverse=True,
    )
    return tuple(
        _report_crash(table, server, now)
        for _, server in ranked[:MAX_REPORTED_CRASHES]
    )


def _rank_crash(table: CrashTable, crash: Crash) -> tuple[int, float]:
    return _count_most_crashes(table, crash), crash.ended_at


def _count_most_crashes(table: CrashTable, crash: Crash) -> int:
    return max(map(table.count_crashes, crash.sent_at), default=0)


def _is_reportable(table: CrashTable, crash: Crash, now: float) -> bool:
    return (
        now - crash.ended_at < SINGLE_CRASH_GOSSIP_S
        or _count_most_crashes(table, crash) > 1
    )


def _report_crash(table: CrashTable, server: str, now: float) -> ServerCrash:
    crash = table.crashes[server]
    return ServerCrash(
        server,
        round(now - crash.ended_at, AGE_DECIMALS),
        tuple(
            Suspect(name, round(now - crash.sent_at[name], AGE_DECIMALS))
            for name in rank_suspects(table, crash, MAX_REPORTED_SUSPECTS)
        ),
        crash.service,
        crash.others,
        crash.refuted,
    )
