"""Background loops that run as long as the program does."""

import asyncio
from functools import partial
from typing import Final

from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.choice.outcomes import forget_gone
from dykemast._internal.serving.knowledge import (
    backends,
    configuration,
    evacuations,
    server_entries,
)
from dykemast._internal.serving.members import gossip, members
from dykemast._internal.serving.sending.server_paths import watch_links
from dykemast._internal.serving.tokens import budget_upkeep
from dykemast._internal.serving.process.crash_loops import list_crash_loops
from dykemast._internal.serving.process.assembly import Assembly
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.process.description import describe_state
from dykemast._internal.serving.process.clock_watch import watch_clock
from dykemast._internal.serving.knowledge.updates import Updater
from dykemast._internal.serving.knowledge.watches import watch_kind
from dykemast._internal.serving.knowledge.periodic_reads import (
    PeriodicRead,
    read_periodically,
)
from dykemast._internal.serving.process.reload import follow_settings
from dykemast._internal.utils.events import LineHandler, make_logger
from dykemast._internal.utils.supervision import (
    BackgroundLoop,
    LoopFailure,
    start_loops,
)

_log = make_logger('router')
_log_loop = make_logger('loops')

#: Age at which the configuration and the list of backend servers are read
#: again, so that a read that is retried once still ends before users' limit.
CONFIGURATION_AGE_S: Final = 1.4
SERVERS_AGE_S: Final = 1.4
#: The same for evacuated halls, as a fraction of the time within which an
#: evacuation has to be in force: each read is a priced call.
EVACUATIONS_SHARE: Final = 0.8
STATE_LOG_INTERVAL_S: Final = 10.0


def start_first_loops(
    board: ServingBoard,
    lines: LineHandler,
) -> list[asyncio.Task[None]]:
    """Start the loops that run before the parts of the program exist.

    :param board: the blackboard.
    :param lines: handler of log lines.
    :returns: their tasks.
    """
    first = (
        BackgroundLoop('write_lines', lines.write_lines),
        BackgroundLoop('follow_settings', partial(follow_settings, board)),
    )
    return start_loops(first, board.loops, log_loop_failure)


def log_loop_failure(failure: LoopFailure) -> None:
    """Log the failure of a background loop.

    :param failure: the failure.
    """
    _log_loop(
        'loop_failed',
        loop=failure.loop,
        reason=failure.reason,
        calls=failure.calls,
        pause_s=round(failure.pause, 2),
    )


def list_loops(assembly: Assembly) -> list[BackgroundLoop]:
    """List the loops of the program.

    :param assembly: its parts.
    :returns: the loops, not yet started.
    """
    board = assembly.parts.board
    store = assembly.upkeep.store
    periodic_reads = _list_periodic_reads(board)
    return [
        *(_make_read_loop(board, store, one) for one in periodic_reads),
        *(
            _make_watch_loop(board, store, one.updater)
            for one in periodic_reads
        ),
        *list_crash_loops(assembly),
        BackgroundLoop(
            'forget_lapsed', partial(backends.remove_expired, board)
        ),
        BackgroundLoop('forget_gone', partial(forget_gone, assembly.parts)),
        BackgroundLoop(
            'keep_listed', partial(members.keep_registered, board, store)
        ),
        BackgroundLoop(
            'spread_news',
            partial(gossip.run_gossip, board, assembly.links.gossip),
        ),
        BackgroundLoop(
            'follow_table',
            partial(budget_upkeep.follow_table, assembly.upkeep),
        ),
        BackgroundLoop(
            'review_rows',
            partial(budget_upkeep.review_rows, assembly.upkeep),
        ),
        BackgroundLoop(
            'watch_links', partial(watch_links, assembly.parts.paths)
        ),
        BackgroundLoop('watch_loop', partial(watch_clock, board)),
        BackgroundLoop('log_state', partial(_log_state, assembly)),
    ]


def _list_periodic_reads(board: ServingBoard) -> list[PeriodicRead]:
    periodic_reads = [
        PeriodicRead(configuration.make_updater(board), CONFIGURATION_AGE_S),
        PeriodicRead(server_entries.make_updater(board), SERVERS_AGE_S),
    ]
    promised = board.settings.bounds.evacuate_time
    if promised is not None:
        halls = evacuations.make_updater(board)
        periodic_reads.append(PeriodicRead(halls, EVACUATIONS_SHARE * promised))
    return periodic_reads


def _make_read_loop(
    board: ServingBoard,
    store: ObjectStore,
    periodic_read: PeriodicRead,
) -> BackgroundLoop:
    kind = periodic_read.updater.kind
    return BackgroundLoop(
        f'keep_fresh:{kind}',
        partial(read_periodically, board, store, periodic_read),
    )


def _make_watch_loop(
    board: ServingBoard,
    store: ObjectStore,
    updater: Updater,
) -> BackgroundLoop:
    name = f'follow_kind:{updater.kind}'
    return BackgroundLoop(name, partial(watch_kind, board, store, updater))


async def _log_state(assembly: Assembly) -> None:
    while True:
        await asyncio.sleep(STATE_LOG_INTERVAL_S)
        state = describe_state(assembly.parts)
        _log('state', **state, store_calls=assembly.upkeep.store.calls)
