"""Background loops that sync records of server crashes and of streams."""

from functools import partial

from dykemast._internal.serving.knowledge import (
    crash_records,
    crash_writes,
    stream_writes,
    version_records,
)
from dykemast._internal.serving.knowledge.watches import watch_kind
from dykemast._internal.serving.process.assembly import Assembly
from dykemast._internal.serving.relay.crash_watch import watch_breaks
from dykemast._internal.utils.supervision import BackgroundLoop


def list_crash_loops(assembly: Assembly) -> list[BackgroundLoop]:
    """List the background loops for server crashes and for streams.

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
        BackgroundLoop(
            'keep_versions',
            partial(version_records.keep_versions, board, store),
        ),
        BackgroundLoop(
            'write_streams',
            partial(stream_writes.write_streams, board, store),
        ),
        BackgroundLoop(
            'replicate_streams', assembly.parts.replicas.replicate_rest
        ),
        BackgroundLoop(
            'remove_streams',
            partial(stream_writes.remove_unused, board, store),
        ),
        BackgroundLoop('watch_breaks', partial(watch_breaks, assembly.parts)),
    ]
