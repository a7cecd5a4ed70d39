"""Settings of one router process."""

from typing import Annotated, Final

from pydantic import Field
from typing_extensions import NotRequired, TypedDict

_MIN_SECRET: Final = 16
_MAX_SHARDS: Final = 4096
_DRAIN_TIMEOUT: Final = 120
_RETRY_WINDOW: Final = 3600

Port = Annotated[int, Field(ge=1, le=65535)]  # noqa: WPS432 - the TCP range


class RouterSettings(TypedDict):
    """What a router is told by its settings file.

    :param instance: the platform's id of this instance.
    :param hall: where it stands.
    :param host: IP number that it listens on.
    :param caller_port: port for callers.
    :param peer_port: port for other routers.
    :param admin_port: port of the administration API.
    :param platform: URL of the platform's object API.
    :param peer_key: secret shared by all routers.
    :param operator_key_sha256: hash of the operators' key, in hexadecimal.
    :param budget_shards: objects over which budgets are spread; the same on
        all routers, and never changed once a budget exists.
    :param journal_shards: likewise for the journal.
    :param list_lag: seconds by which the platform's list lags at most; the
        same on all routers, since it decides how long after a write a death
        still counts as soon after it.
    :param keep_entry: seconds that callers may keep an entry answer.
    :param drain_timeout: seconds that a planned stop waits for requests.
    :param retry_window: seconds for which the journal knows a key.
    :param log_level: least level that is logged.
    """

    __pydantic_config__ = {'extra': 'forbid'}

    instance: Annotated[str, Field(min_length=1, pattern='^[^/|]+$')]
    hall: Annotated[str, Field(min_length=1)]
    host: Annotated[str, Field(pattern=r'^[0-9a-f.:]+$')]
    caller_port: Port
    peer_port: Port
    admin_port: Port
    platform: Annotated[str, Field(pattern='^https?://')]
    peer_key: Annotated[str, Field(min_length=_MIN_SECRET)]
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


class Timing(TypedDict):
    """Defaults of the settings that are optional."""

    budget_shards: int
    journal_shards: int
    list_lag: float
    keep_entry: float
    drain_timeout: float
    retry_window: float
    log_level: str


#: What holds where the settings file is silent.
DEFAULT_SETTINGS = Timing(
    budget_shards=4,
    journal_shards=4,
    list_lag=10,
    keep_entry=10,
    drain_timeout=_DRAIN_TIMEOUT,
    retry_window=_RETRY_WINDOW,
    log_level='INFO',
)
