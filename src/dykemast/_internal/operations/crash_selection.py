"""Which ends of servers others are told of."""

from typing import Final

from dykemast._internal.models.crashes import ServerCrash, Suspect
from dykemast._internal.operations.crash_evidence import rank_suspects
from dykemast._internal.operations.crash_table import Crash, CrashTable

#: Seconds for which others are told of an end none of whose suspects has
#: another: some times what news take to reach all routers of a large fleet.
SINGLE_CRASH_GOSSIP_S: Final = 15.0
#: Ends, and suspects of each, that are told at once, together some 4 KB at the
#: worst; the most suspicious and the newest come first.
MAX_REPORTED_CRASHES: Final = 8
MAX_REPORTED_SUSPECTS: Final = 16
#: Digits of ages, in seconds.
AGE_DECIMALS: Final = 3


def select_crashes(table: CrashTable, now: float) -> tuple[ServerCrash, ...]:
    """Tell others of ends of servers.

    :param table: what is known.
    :param now: seconds.
    :returns: the ends that matter most.
    """
    ranked = sorted(
        (
            (_rank_end(table, crash), server)
            for server, crash in table.crashes.items()
            if _is_worth_telling(table, crash, now)
        ),
        reverse=True,
    )
    return tuple(
        _tell_end(table, server, now)
        for _, server in ranked[:MAX_REPORTED_CRASHES]
    )


def _rank_end(table: CrashTable, crash: Crash) -> tuple[int, float]:
    return _count_most(table, crash), crash.ended_at


def _count_most(table: CrashTable, crash: Crash) -> int:
    return max(map(table.count_crashes, crash.sent_at), default=0)


def _is_worth_telling(table: CrashTable, crash: Crash, now: float) -> bool:
    return (
        now - crash.ended_at < SINGLE_CRASH_GOSSIP_S
        or _count_most(table, crash) > 1
    )


def _tell_end(table: CrashTable, server: str, now: float) -> ServerCrash:
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
