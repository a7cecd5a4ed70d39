"""Names for the incarnations of a backend server.

A server that crashed may restart under the same id, with empty state. Routers
keep all state of a server, and exchange it, under the name of one incarnation,
so that state of an earlier incarnation never applies to the next one.

The order of entries in the store decides which incarnation is the newest, and
``born`` does not: if the clock of the server steps back, a later incarnation
has an earlier ``born``. Entries of different eras of the store have no order:
the later one may come from the older copy that the store returned from.
"""

from dykemast._internal.models.backend import BackendServer


def name_incarnation(
    server: BackendServer,
    previous: BackendServer | None,
) -> str:
    """Compute the name of the incarnation that an entry lists.

    :param server: the server, as decoded from its entry.
    :param previous: the incarnation that was listed under its id before.
    :returns: the name; that of ``previous`` for the same incarnation.
    """
    if server.born is not None:
        return f'{server.server_id}/{server.born}'
    if previous is None:
        return server.server_id
    if _has_restarted(server, previous):
        # Revisions are given out again in another era.
        era = f'{server.era}.' if server.era else ''
        return f'{server.server_id}/r{era}{server.revision}'
    return previous.name


def is_later(server: BackendServer, previous: BackendServer) -> bool:
    """Tell whether an entry was certainly written after another one.

    :param server: the server, as decoded from the entry that was read later.
    :param previous: the server, as decoded from the other entry of its id.
    :returns: whether it was; False where it may come from an older copy.
    """
    return server.era == previous.era or server.revision > previous.revision


def may_be_copied(server: BackendServer, removed: BackendServer) -> bool:
    """Tell whether an entry may be one that the store lost the removal of.

    :param server: the server, as decoded from the entry.
    :param removed: the last server of its id whose entry went, with the era in
        which it did.
    :returns: whether it may; False if it was certainly written later.
    """
    if is_later(server, removed):
        return False
    if server.sequence is None or removed.sequence is None:
        return True
    # Counts of two starts cannot be compared.
    is_same_start = server.born == removed.born
    return not is_same_start or server.sequence <= removed.sequence


def _has_restarted(server: BackendServer, previous: BackendServer) -> bool:
    """Check whether a heartbeat count was reset by a restart."""
    if server.sequence is None or previous.sequence is None:
        return False
    is_lower = server.sequence < previous.sequence
    return is_lower and is_later(server, previous)
