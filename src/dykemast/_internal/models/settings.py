"""Settings of one router process."""

from typing import Annotated, Final

from pydantic import Field
from typing_extensions import NotRequired, TypedDict

_MIN_SECRET_CHARACTERS: Final = 16
_MAX_SHARDS: Final = 4096
_DRAIN_TIMEOUT_S: Final = 120
_RETRY_WINDOW_S: Final = 3600

Port = Annotated[int, Field(ge=1, le=65535)]  # noqa: WPS432 - the TCP range


class RouterSettings(TypedDict):
    """Settings file of a router.

    :param instance: the platform's id of this instance.
    :param hall: hall of this instance.
    :param host: IP address to listen on.
    :param caller_port: port for callers.
    :param peer_port: port for other routers.
    :param admin_port: port of the administration API.
    :param platform: URL of the platform's object API.
    :param peer_key: secret shared by all routers.
    :param operator_key_sha256: SHA-256 hash of the operators' key, in
        hexadecimal.
    :param budget_shards: objects over which budgets are distributed; the same
        on all routers, and never changed once a budget exists.
    :param journal_shards: likewise for the journal.
    :param list_lag: maximum lag of the platform's list in seconds; the same on
        all routers, since it decides how long after a write the death of a
        router still counts as soon after it.
    :param keep_entry: TTL of entry responses in seconds.
    :param drain_timeout: seconds that a planned stop waits for requests.
    :param retry_window: seconds for which the journal keeps a key.
    :param log_level: minimum level that is logged.
    """

    __pydantic_config__ = {'extra': 'forbid'}

    instance: Annotated[str, Field(min_length=1, pattern='^[^/|]+$')]
    hall: Annotated[str, Field(min_length=1)]
    host: Annotated[str, Field(pattern=r'^[0-9a-f.:]+$')]
    caller_port: Port
    peer_port: Port
    admin_port: Port
    platform: Annotated[str, Field(pattern='^https?://')]
    peer_key: Annotated[str, Field(min_length=_MIN_SECRET_CHARACTERS)]
    operator_key_sha256: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
    budget_shards: NotRequired[Annotated[int, Field(ge=1, le=_MAX_SHARDS)]]
    journal_shards: NotRequired[Annotated[int, Field(ge=1, le=_MAX_SHARDS)]]
    list_lag: NotRequired[Annotated[float, Field(ge=0)]]
    keep_entry: NotRequired[Annotated[float, Field(ge=0)]]
    drain_timeout: NotRequired[Annotated[float, Field(ge=0)]]
    retry_window: NotRequired[Annotated[float, Field(ge=60)]]
    log_level: NotRequired[
        Annotated[str, Field(pattern='^(DEBUG|INFO|WARNING|ERROR)$')]
    ]


class OptionalSettings(TypedDict):
    """Defaults of the settings that are optional."""

    budget_shards: int
    journal_shards: int
    list_lag: float
    keep_entry: float
    drain_timeout: float
    retry_window: float
    log_level: str


#: Values of settings that the file does not contain.
DEFAULT_SETTINGS = OptionalSettings(
    budget_shards=4,
    journal_shards=4,
    list_lag=10,
    keep_entry=10,
    drain_timeout=_DRAIN_TIMEOUT_S,
    retry_window=_RETRY_WINDOW_S,
    log_level='INFO',
)
