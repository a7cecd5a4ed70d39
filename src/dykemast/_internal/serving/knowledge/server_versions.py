"""Versions of backend servers, which may differ within one service.

What two versions write does not fit together, so that a stream goes on only at
the version that began it.
"""

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.knowledge.cache_freshness import SEND_TIME_S
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock


def list_of_version(
    board: ServingBoard, service: str, version: str
) -> list[BackendServer]:
    """List the servers at which a stream of a version may go on.

    :param board: the blackboard.
    :param service: the service.
    :param version: the version.
    :returns: servers that certainly run it and accept new requests; if there
        are none, those that are leaving and still serve.
    """
    found = [
        server
        for server in board.servers.values()
        if (server.service, server.version) == (service, version)
        and may_resume_at(board, server)
    ]
    usable = [one for one in found if is_usable(board, one.name)]
    return usable or [one for one in found if is_still_serving(board, one.name)]


def is_usable(board: ServingBoard, name: str) -> bool:
    """Tell whether a listed server accepts new requests.

    :param board: the blackboard.
    :param name: name of its incarnation.
    :returns: whether it does.
    """
    if name in board.held_until and read_clock() < board.held_until[name]:
        return False
    return name not in board.leaving


def is_still_serving(board: ServingBoard, name: str) -> bool:
    """Tell whether a server that is leaving may get what cannot go elsewhere.

    :param board: the blackboard.
    :param name: name of its incarnation.
    :returns: whether it may.
    """
    return read_clock() < board.serving_until.get(name, 0)


def is_version_certain(board: ServingBoard, server: BackendServer) -> bool:
    """Tell whether a server runs the version that its entry tells.

    A process that starts under the id of one that crashed answers before its
    entry does, and may be of another version.

    :param board: the blackboard.
    :param server: the server, as it was listed when it was chosen.
    :returns: whether it does.
    """
    if server.name in board.crashes.crashes:
        return False
    listed = board.servers.get(server.name)
    if listed is None:
        started = board.server_starts.get(server.server_id)
        return started is None or started.name == server.name
    return listed.version == server.version


def may_resume_at(board: ServingBoard, server: BackendServer) -> bool:
    """Tell whether a stream of a server's version may go on there.

    Where a send broke, the server may have been started again at another
    version, also if it answers, unless other routers know of no other break.

    :param board: the blackboard.
    :param server: the server, as it was listed when it was chosen.
    :returns: whether it may.
    """
    if not is_version_certain(board, server):
        return False
    if not board.broken.times.may_have_restarted(server.name, read_clock()):
        return True
    return len(list_versions(board, server.service)) <= 1


def record_change(
    board: ServingBoard, server: BackendServer, before: BackendServer | None
) -> None:
    """Record the version of a listed server, and how long it still serves.

    :param board: the blackboard.
    :param server: the server.
    :param before: the server that was listed under its id before, perhaps an
        earlier incarnation; None if there was none.
    """
    now = read_clock()
    board.versions.record(server.service, [server.version], now)
    if before is None:
        return
    if (before.name, before.version) != (server.name, server.version):
        board.origins.forget_server(before.name)
    if before.name != server.name:
        board.crashes.record_restart(before.name, now)
        return
    has_said = before.leaving or server.name in board.leaving
    # One that announced it in an answer, to any router, gets nothing more.
    if server.leaving and not has_said:
        # The last moment at which its entry did not say so yet.
        current_at = board.last_read_at.get(SERVER_KIND, 0)
        board.serving_until[server.name] = (
            current_at + board.settings.bounds.leave_time - SEND_TIME_S
        )


def list_versions(board: ServingBoard, service: str) -> list[str]:
    """List the versions at which a stream that goes on may have begun.

    :param board: shared state of the router.
    :param service: the service.
    :returns: the versions, sorted.
    """
    since = read_clock() - board.stream_time_s
    return board.versions.list_versions(service, since)
