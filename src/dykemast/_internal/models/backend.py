"""Backend servers of the users' services, as the store lists them."""

from typing import NamedTuple

from dykemast._internal.models.deployment import Endpoint


class BackendServer(NamedTuple):
    """One start of one backend server.

    :param name: fresh for each start.
    :param service: the service it runs.
    :param endpoint: its address; another service may get it later.
    :param hall: where it stands.
    :param slots: requests that it works on at once.
    :param leaving: whether it will end soon.
    """

    name: str
    service: str
    endpoint: Endpoint
    hall: str
    slots: int
    leaving: bool
