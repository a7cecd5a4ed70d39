"""Configuration that operators submit, and its revisions."""

from typing import Annotated, Final, Literal, NamedTuple

from pydantic import Field
from typing_extensions import NotRequired, TypedDict

_MAX_OUTPUT_TOKENS: Final = 1_000_000
_MAX_HORIZON_S: Final = 86400
_MAX_CONCURRENT_REQUESTS: Final = 100_000

#: Names are used in object names and headers, so few characters are allowed.
Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]


class ServiceSpec(TypedDict):
    """A service that requests are routed to.

    :param name: role of its backend servers in the platform's list.
    :param kind: model engine, or plain service.
    :param fenced: whether its servers reject outdated fencing tokens.
    :param call_tokens: tokens billed for a call of a plain service.
    :param worker_slots: concurrent requests of one server.
    """

    __pydantic_config__ = {'extra': 'forbid'}

    name: Name
    kind: Literal['engine', 'plain']
    fenced: NotRequired[bool]
    call_tokens: NotRequired[Annotated[int, Field(ge=0)]]
    worker_slots: NotRequired[Annotated[int, Field(ge=1)]]


class ModelSpec(TypedDict):
    """A model that callers may name.

    :param name: name in requests.
    :param service: engine service that serves it.
    :param max_tokens: maximum and default bound of output tokens.
    """

    __pydantic_config__ = {'extra': 'forbid'}

    name: Name
    service: Name
    max_tokens: Annotated[int, Field(ge=1, le=_MAX_OUTPUT_TOKENS)]


class WorkspaceSpec(TypedDict):
    """A workspace, whose budgets pay for its requests.

    :param name: unique name.
    :param key_sha256: SHA-256 hash of its key, in hexadecimal.
    :param policy: name of its policy.
    :param lease_horizon: seconds of demand that leases cover.
    :param concurrent: maximum of requests in progress at one router.
    """

    __pydantic_config__ = {'extra': 'forbid'}

    name: Name
    key_sha256: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
    policy: Name
    lease_horizon: NotRequired[Annotated[float, Field(ge=1, le=_MAX_HORIZON_S)]]
    concurrent: NotRequired[
        Annotated[int, Field(ge=1, le=_MAX_CONCURRENT_REQUESTS)]
    ]


class PolicySpec(TypedDict):
    """A policy: short expressions over ``request``, ``budget`` and ``fleet``.

    :param name: unique name.
    :param allow: whether the request may spend; a bool.
    :param models: models to try, in order; a list of names.
    :param budgets: budgets to draw on, in order; a list of names.
    :param priority: 0 to 9, 9 most urgent; an int.
    """

    __pydantic_config__ = {'extra': 'forbid'}

    name: Name
    allow: NotRequired[str]
    models: NotRequired[str]
    budgets: NotRequired[str]
    priority: NotRequired[str]


class Configuration(TypedDict):
    """The configuration as operators write it."""

    __pydantic_config__ = {'extra': 'forbid'}

    services: list[ServiceSpec]
    models: list[ModelSpec]
    workspaces: list[WorkspaceSpec]
    policies: list[PolicySpec]


class Head(NamedTuple):
    """Stored object that points to the newest revision.

    :param number: number of that revision; grows by one with each.
    :param name: name of the revision's object; empty before the first.
    :param submissions: ids of the last submissions, newest last.
    """

    number: int = 0
    name: str = ''
    submissions: tuple[str, ...] = ()


class Revision(NamedTuple):
    """An accepted configuration.

    :param number: revision number.
    :param submission: id by which its submitter recognizes it.
    :param configuration: the submitted configuration.
    """

    number: int
    submission: str
    configuration: Configuration
