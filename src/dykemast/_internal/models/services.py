"""Services of a deployment and what bounds requests to them."""

from typing import NamedTuple


class Engine(NamedTuple):
    """Model engines of a service.

    :param slots: requests that one runs at once.
    :param cache_tokens: tokens that its key-value cache holds.
    :param tokens_per_event: tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """One service.

    :param name: its name.
    :param max_connections: connections that one server takes from all.
    :param engine: set where model engines run it.
    :param cold_rate: requests a second that a cold server bears; 0 where it
        bears what others do.
    """

    name: str
    max_connections: int
    engine: Engine | None
    cold_rate: float = 0

    def get_tokens_per_event(self) -> int:
        """Tell how many tokens an event of a stream holds.

        :returns: tokens; 1 where the configuration says nothing.
        """
        return self.engine.tokens_per_event if self.engine else 1


class RequestLimits(NamedTuple):
    """What callers may send.

    :param header_bytes: of all header fields.
    :param body_bytes: of a body.
    :param header_timeout_s: seconds for the header fields to arrive.
    :param idle_timeout_s: seconds that a connection may rest.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
