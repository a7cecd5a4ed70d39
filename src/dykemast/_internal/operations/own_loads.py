"""Requests that one router has at backend servers."""

import collections

from dykemast._internal.models.gossip import ServerLoad


class OwnLoads:
    """Requests of this router that are not answered whole yet."""

    def __init__(self) -> None:
        """Start with none."""
        self._running: collections.Counter[str] = collections.Counter()
        self._unread: collections.Counter[str] = collections.Counter()

    def begin(self, server: str, unread: int) -> None:
        """Note a request that is being sent.

        :param server: id of the backend server.
        :param unread: prompt tokens that it has to read.
        """
        self._running[server] += 1
        self._unread[server] += unread

    def end_prefill(self, server: str, unread: int) -> None:
        """Note that a prompt has been read, or given up.

        :param server: id of the backend server.
        :param unread: as it was given to ``begin``.
        """
        self._unread[server] -= unread

    def end(self, server: str) -> None:
        """Note that a request has ended; its reading has ended before.

        :param server: id of the backend server.
        """
        self._running[server] -= 1
        if not self._running[server]:
            self._running.pop(server)
            self._unread.pop(server)

    def get_load(self, server: str) -> ServerLoad:
        """Tell this router's requests at one server.

        :param server: its id.
        :returns: the load.
        """
        running = self._running.get(server, 0)
        return ServerLoad(server, running, self._unread.get(server, 0))

    def export_all(self) -> tuple[ServerLoad, ...]:
        """Tell all of this router's requests.

        :returns: a line for each backend server.
        """
        return tuple(self.get_load(server) for server in self._running)
