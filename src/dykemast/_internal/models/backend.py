"""Backend servers of the users' services, as the store lists them."""

from typing import NamedTuple

from dykemast._internal.models.deployment import Endpoint


class ServerEntry(NamedTuple):
    """What a backend server says of itself in the store.

    :param server_id: its id, which it may keep when it starts again.
    :param service: the service it runs.
    :param endpoint: its address; another service may get it later.
    :param hall: where it stands.
    :param slots: requests that it works on at once.
    :param leaving: whether it will end soon.
    :param born: Unix milliseconds of its start, where it tells them.
    :param sequence: count of its heartbeats since its start.
    """

    server_id: str
    service: str
    endpoint: Endpoint
    hall: str
    slots: int
    leaving: bool
    born: int | None = None
    sequence: int | None = None


class BackendServer(NamedTuple):
    """One start of one backend server.

    :param name: names this start and no other; all that is known of a server
        is kept under it.
    :param entry: what the server says of itself.
    """

    name: str
    entry: ServerEntry

    @property
    def endpoint(self) -> Endpoint:
        """Tell its address."""
        return self.entry.endpoint

    @property
    def service(self) -> str:
        """Tell the service it runs."""
        return self.entry.service

    @property
    def hall(self) -> str:
        """Tell where it stands."""
        return self.entry.hall

    @property
    def slots(self) -> int:
        """Tell how many requests it works on at once."""
        return self.entry.slots
