"""Backend servers of the users' services, as listed in the store."""

from typing import NamedTuple

from dykemast._internal.models.deployment import Endpoint


class BackendServer(NamedTuple):
    """One incarnation of one backend server.

    :param name: unique name of the incarnation; routers keep all state of a
        server under it.
    :param server_id: its id, which a later incarnation may reuse.
    :param service: name of its service.
    :param endpoint: its address, which another server may get later.
    :param hall: its hall.
    :param slots: requests that it runs concurrently.
    :param leaving: whether it will stop soon and takes no new requests.
    :param born: Unix milliseconds of its start; None if not reported.
    :param sequence: number of heartbeats since its start.
    :param cold_left_s: remaining seconds of its cold phase when its entry was
        written.
    :param version: version of its software; versions are not ordered. Servers
        without one are alike.
    :param era: era of the store in which its entry was read.
    :param revision: revision of the store at which its entry was written.
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
    version: str = ''
    era: int = 0
    revision: int = 0


class Evacuations(NamedTuple):
    """Halls whose backend servers get no new requests.

    :param position: position in the store's history of this state; 0 for
        unknown.
    :param halls: the halls.
    """

    position: int = 0
    halls: frozenset[str] = frozenset()


class Backpressure(NamedTuple):
    """Backpressure in one response of a backend server.

    :param limit: requests per second that the server accepts from all routers
        together; None for no limit.
    :param leaving: whether it will stop soon and takes no new requests.
    :param rest: backoff in seconds that it requests from this router.
    :param brittle: requests that it may reject in a second without crashing;
        None if it is not brittle.
    """

    limit: float | None = None
    leaving: bool = False
    rest: float = 0
    brittle: float | None = None


class ServerLimit(NamedTuple):
    """Rate limit in the newest known response of a backend server.

    :param server: name of its incarnation.
    :param rate: requests per second that it accepts from all routers; 0 when
        the limit has ended.
    :param age: seconds since the response arrived.
    """

    server: str
    rate: float
    age: float


class LongPauses(NamedTuple):
    """Recent long pauses of streams at an engine, as observed by one router.

    :param server: id of the engine.
    :param too_long: pauses that exceeded the objective of their route.
    :param in_time: pauses that did not.
    """

    server: str
    too_long: int
    in_time: int
