"""Services of a deployment and limits on requests to them."""

from typing import NamedTuple


class Engine(NamedTuple):
    """Model engines of a service.

    :param slots: requests that one engine runs concurrently.
    :param cache_tokens: size of its key-value cache in tokens.
    :param tokens_per_event: tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """One service.

    :param name: its name.
    :param max_connections: connections that one server accepts from all
        routers.
    :param engine: model engines of the service; None without engines.
    :param cold_rate: limit in requests per second for a cold server; 0 for no
        limit.
    :param health_path: path of the health check of its servers.
    """

    name: str
    max_connections: int
    engine: Engine | None
    cold_rate: float = 0
    health_path: str = '/'

    def get_tokens_per_event(self) -> int:
        """Get the number of tokens in one event of a stream.

        :returns: tokens; 1 if the service has no engine.
        """
        return self.engine.tokens_per_event if self.engine else 1


class RequestLimits(NamedTuple):
    """Limits on requests of callers.

    :param header_bytes: size of all header fields.
    :param body_bytes: size of a body.
    :param header_timeout_s: seconds for the header fields to arrive.
    :param idle_timeout_s: seconds that a connection may be idle.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
