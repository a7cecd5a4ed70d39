"""Connections that one caller keeps."""

import random

from tests.lib.deployment import Deployment
from tests.soak.entries import EntryBook
from tests.soak.exchange import Connection, is_usable

#: Share of requests for which a caller takes a connection that is open.
KEPT_SHARE = 0.8


class Kept:
    """At most one connection to each router.

    :param deployment: whose routers.
    :param chance: draws which is used.
    :param entries: tells where to go.
    :param sticks: whether connections are used that the entry's last answer
        does not name.
    :param home: router that is preferred while it takes connections.
    """

    def __init__(
        self,
        deployment: Deployment,
        chance: random.Random,
        entries: EntryBook,
        *,
        sticks: bool,
        home: str = '',
    ) -> None:
        self._deployment = deployment
        self._chance = chance
        self._entries = entries
        self._sticks = sticks
        self._home = home
        self._open: dict[str, Connection] = {}

    def choose_router(self) -> str:
        """Choose where to send the next request; empty if nobody is known."""
        named = self._entries.list_names()
        for router in tuple(self._open):
            unnamed = not self._sticks and router not in named
            if unnamed or not is_usable(self._open[router]):
                self.drop(router)
        if self._home in named:
            return self._home
        if self._open and self._chance.random() < KEPT_SHARE:
            return self._chance.choice(list(self._open))
        return self._chance.choice(named) if named else ''

    def open_to(self, router: str) -> Connection:
        """Find the connection to a router, or make one that is not open."""
        host = self._deployment.find_host(router)
        made = Connection(host, self._deployment.ports['caller'])
        return self._open.setdefault(router, made)

    def drop(self, router: str) -> None:
        if router in self._open:
            self._open.pop(router).close()

    def fail(self, router: str) -> None:
        """Use the entry's answer without a router that was not reached."""
        self.drop(router)
        self._entries.pass_over(router)

    def close(self) -> None:
        for router in tuple(self._open):
            self.drop(router)
