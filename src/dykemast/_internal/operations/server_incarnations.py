"""Names for the incarnations of a backend server.

A server that crashed may restart under the same id, with empty state. Routers
keep all state of a server, and exchange it, under the name of one incarnation,
so that state of an earlier incarnation never applies to the next one.

The order of entries in the store decides which incarnation is the newest, and
``born`` does not: if the clock of the server steps back, a later incarnation
has an earlier ``born``.
"""

from dykemast._internal.models.backend import BackendServer


def name_incarnation(
    server: BackendServer,
    revision: int,
    previous: BackendServer | None,
) -> str:
    """Compute the name of the incarnation that an entry lists.

    :param server: the server, as decoded from its entry.
    :param revision: store revision at which the entry was written.
    :param previous: the incarnation that was listed under its id before.
    :returns: the name; that of ``previous`` for the same incarnation.
    """
    if server.born is not None:
        return f'{server.server_id}/{server.born}'
    if previous is None:
        return server.server_id
    if _has_restarted(server.sequence, previous.sequence):
        return f'{server.server_id}/r{revision}'
    return previous.name


def _has_restarted(sequence: int | None, previous: int | None) -> bool:
    """Check whether a heartbeat count was reset by a restart."""
    if sequence is None or previous is None:
        return False
    return sequence < previous
