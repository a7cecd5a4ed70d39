"""Background loops that detect server crashes and sync their records."""

from functools import partial

from dykemast._internal.serving.knowledge import crash_records, crash_writes
from dykemast._internal.serving.knowledge.watches import watch_kind
from dykemast._internal.serving.process.assembly import Assembly
from dykemast._internal.serving.relay.crash_watch import watch_breaks
from dykemast._internal.utils.supervision import BackgroundLoop


def list_crash_loops(assembly: Assembly) -> list[BackgroundLoop]:
    """List the background loops for server crashes.

    :param assembly: the assembled process.
    :returns: the loops, not started.
    """
    board = assembly.parts.board
    store = assembly.upkeep.store
    records = crash_records.make_updater(board)
    watch = partial(watch_kind, board, store, records)
    return [
        BackgroundLoop(
            'read_records',
            partial(crash_records.read_records, board, store, records),
        ),
        BackgroundLoop(f'follow_kind:{records.kind}', watch),
        BackgroundLoop(
            'write_records',
            partial(crash_writes.write_records, board, store),
        ),
        BackgroundLoop('watch_breaks', partial(watch_breaks, assembly.parts)),
    ]
