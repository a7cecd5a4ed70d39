"""Loops that run as long as the program does."""

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
from dykemast._internal.serving.tokens import budget_upkeep
from dykemast._internal.serving.process.crash_loops import list_crash_loops
from dykemast._internal.serving.process.assembly import Assembly
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.process.description import describe_state
from dykemast._internal.serving.process.clock_watch import watch_clock
from dykemast._internal.serving.knowledge.follower import Follower
from dykemast._internal.serving.knowledge.followers import follow_kind
from dykemast._internal.serving.knowledge.freshness import (
    Checked,
    keep_fresh,
)
from dykemast._internal.serving.process.loop_ends import tell_end
from dykemast._internal.serving.process.reload import follow_settings
from dykemast._internal.utils.events import LineHandler, make_logger
from dykemast._internal.utils.supervision import Loop, start_loops

_log = make_logger('router')

#: Seconds that the configuration and the list of backend servers may be old
#: before they are read. To that come 0.1 s until it is seen, 0.3 s for a
#: connection that is silent and 0.1 s for the answer: together less than the
#: 2 s that users allow.
CONFIGURATION_AGE: Final = 1.4
SERVERS_AGE: Final = 1.4
#: The same for halls that are emptied, as a part of what is promised: each read
#: is a priced call.
EVACUATIONS_SHARE: Final = 0.8
#: Seconds between two lines on the state of the router.
STATE_PAUSE: Final = 10.0


def start_first_loops(
    board: ServingBoard,
    lines: LineHandler,
) -> list[asyncio.Task[None]]:
    """Start the loops that run before the program has any parts.

    :param board: the blackboard.
    :param lines: log lines to be written.
    :returns: their tasks.
    """
    first = (
        Loop('write_lines', lines.write_lines),
        Loop('follow_settings', partial(follow_settings, board)),
    )
    return start_loops(first, board.loops, tell_end)


def list_loops(assembly: Assembly) -> list[Loop]:
    """List the loops of the program.

    :param assembly: its parts.
    :returns: the loops; none runs yet.
    """
    board = assembly.parts.board
    store = assembly.upkeep.store
    checked = _list_checked(board)
    return [
        *(_make_read_loop(board, store, one) for one in checked),
        *(_make_watch_loop(board, store, one.follower) for one in checked),
        *list_crash_loops(assembly),
        Loop('forget_lapsed', partial(backends.forget_lapsed, board)),
        Loop('forget_gone', partial(forget_gone, assembly.parts)),
        Loop('keep_listed', partial(members.keep_listed, board, store)),
        Loop(
            'spread_news',
            partial(gossip.spread_news, board, assembly.links.gossip),
        ),
        Loop(
            'follow_table',
            partial(budget_upkeep.follow_table, assembly.upkeep),
        ),
        Loop(
            'review_rows',
            partial(budget_upkeep.review_rows, assembly.upkeep),
        ),
        Loop('watch_loop', partial(watch_clock, board)),
        Loop('log_state', partial(_log_state, assembly)),
    ]


def _list_checked(board: ServingBoard) -> list[Checked]:
    checked = [
        Checked(configuration.make_follower(board), CONFIGURATION_AGE),
        Checked(server_entries.make_follower(board), SERVERS_AGE),
    ]
    promised = board.settings.bounds.evacuate_time
    if promised is not None:
        halls = evacuations.make_follower(board)
        checked.append(Checked(halls, EVACUATIONS_SHARE * promised))
    return checked


def _make_read_loop(
    board: ServingBoard,
    store: ObjectStore,
    checked: Checked,
) -> Loop:
    kind = checked.follower.kind
    return Loop(
        f'keep_fresh:{kind}', partial(keep_fresh, board, store, checked)
    )


def _make_watch_loop(
    board: ServingBoard,
    store: ObjectStore,
    follower: Follower,
) -> Loop:
    name = f'follow_kind:{follower.kind}'
    return Loop(name, partial(follow_kind, board, store, follower))


async def _log_state(assembly: Assembly) -> None:
    while True:
        await asyncio.sleep(STATE_PAUSE)
        state = describe_state(assembly.parts)
        _log('state', **state, store_calls=assembly.upkeep.store.calls)
