"""Tell the starts of a backend server apart.

A server that crashed may start again under the id that it had, and then holds
and knows nothing of before. All that routers know of a server is kept under
the name of one start, and what they tell each other carries that name: word
of an earlier start changes nothing for the next one.

Which start is the newest is decided by the order in which the store took its
entries, never by ``born``: a clock that steps back at the server would make
the later start the older one.
"""

from dykemast._internal.models.backend import BackendServer


def name_incarnation(
    server: BackendServer,
    revision: int,
    before: BackendServer | None,
) -> str:
    """Name the start of a server that is listed.

    :param server: the server, as its entry says.
    :param revision: of the store, at which the entry was written.
    :param before: the start that was listed under its id.
    :returns: the name; that of ``before`` if it is the same start.
    """
    if server.born is not None:
        return f'{server.server_id}/{server.born}'
    if before is None:
        return server.server_id
    if _falls_back(server.sequence, before.sequence):
        return f'{server.server_id}/r{revision}'
    return before.name


def _falls_back(sequence: int | None, before: int | None) -> bool:
    """Tell whether a count shows that it began anew."""
    if sequence is None or before is None:
        return False
    return sequence < before
