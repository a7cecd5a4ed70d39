"""Backend servers of the users' services, as the store lists them."""

from typing import NamedTuple

from dykemast._internal.models.deployment import Endpoint


class BackendServer(NamedTuple):
    """One start of one backend server.

    :param name: names this start and no other; all that is known of a server
        is kept under it.
    :param server_id: its id, which it may keep when it starts again.
    :param service: the service it runs.
    :param endpoint: its address; another service may get it later.
    :param hall: where it stands.
    :param slots: requests that it works on at once.
    :param leaving: whether it will end soon.
    :param born: Unix milliseconds of its start, where it tells them.
    :param sequence: count of its heartbeats since its start.
    :param cold_left_s: seconds for which it was still cold when it told.
    """

    name: str
    server_id: str
    service: str
    endpoint: Endpoint
    hall: str
    slots: int
    leaving: bool
    born: int | None = None
    sequence: int | None = None
    cold_left_s: float = 0


class Evacuations(NamedTuple):
    """Halls whose backend servers get no new requests.

    :param revision: of the store, at which this was so; 0 for unknown.
    :param halls: the halls.
    """

    revision: int = 0
    halls: frozenset[str] = frozenset()


class Backpressure(NamedTuple):
    """What one answer of a backend server asks for.

    :param limit: requests a second that the server takes from all routers
        together; None for any number.
    :param leaving: whether it is about to end and takes no new requests.
    :param rest: seconds for which it wants nothing from this router.
    """

    limit: float | None = None
    leaving: bool = False
    rest: float = 0


class ServerLimit(NamedTuple):
    """What the newest answer of a backend server that is known of said.

    :param server: its id.
    :param rate: requests a second that it takes from all routers; 0 when it
        names no limit any more.
    :param age: seconds since the answer came.
    """

    server: str
    rate: float
    age: float
