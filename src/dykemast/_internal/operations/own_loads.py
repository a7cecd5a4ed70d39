"""Requests of this router that run at backend servers."""

import collections

from dykemast._internal.models.gossip import ServerLoad


class OwnLoads:
    """Requests of this router whose response is not complete yet."""

    def __init__(self) -> None:
        """Start without requests."""
        self._running: collections.Counter[str] = collections.Counter()
        self._unread: collections.Counter[str] = collections.Counter()

    def begin(self, server: str, unread: int) -> None:
        """Count a request that is being sent.

        :param server: id of the backend server.
        :param unread: prompt tokens that the server still has to prefill.
        """
        self._running[server] += 1
        self._unread[server] += unread

    def end_prefill(self, server: str, unread: int) -> None:
        """Record that the prefill of a prompt has ended or was abandoned.

        :param server: id of the backend server.
        :param unread: the tokens that were passed to ``begin``.
        """
        self._unread[server] -= unread

    def end(self, server: str) -> None:
        """Record that a request has ended, after ``end_prefill``.

        :param server: id of the backend server.
        """
        self._running[server] -= 1
        if not self._running[server]:
            self._running.pop(server)
            self._unread.pop(server)

    def get_load(self, server: str) -> ServerLoad:
        """Get the load that this router puts on one server.

        :param server: its id.
        :returns: the load.
        """
        running = self._running.get(server, 0)
        return ServerLoad(server, running, self._unread.get(server, 0))

    def export_all(self) -> tuple[ServerLoad, ...]:
        """Export the load that this router puts on all servers, for peers.

        :returns: one load for each backend server in use.
        """
        return tuple(self.get_load(server) for server in self._running)
