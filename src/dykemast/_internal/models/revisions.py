"""Configuration that operators submit as one whole."""

from typing import Annotated, Final, Literal, NamedTuple

from pydantic import Field
from typing_extensions import NotRequired, TypedDict

_MAX_OUTPUT: Final = 1_000_000
_MAX_HORIZON: Final = 86400
_MAX_CONCURRENT: Final = 100_000

#: Names are used in object names and headers, so their letters are few.
Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]


class ServiceSpec(TypedDict):
    """A service that requests are routed to.

    :param name: role of its backend servers in the platform's list.
    :param kind: model engine, or plain service.
    :param fenced: whether its servers refuse old fencing numbers.
    :param call_tokens: tokens billed for a call of a plain service.
    :param worker_slots: requests that one server takes at a time.
    """

    __pydantic_config__ = {'extra': 'forbid'}

    name: Name
    kind: Literal['engine', 'plain']
    fenced: NotRequired[bool]
    call_tokens: NotRequired[Annotated[int, Field(ge=0)]]
    worker_slots: NotRequired[Annotated[int, Field(ge=1)]]


class ModelSpec(TypedDict):
    """A model that callers may name.

    :param name: as callers write it.
    :param service: engine service that serves it.
    :param max_tokens: output cap when the caller gives none, and at most.
    """

    __pydantic_config__ = {'extra': 'forbid'}

    name: Name
    service: Name
    max_tokens: Annotated[int, Field(ge=1, le=_MAX_OUTPUT)]


class WorkspaceSpec(TypedDict):
    """A workspace: whose requests draw on which budgets.

    :param name: unique.
    :param key_sha256: hash of its key, in hexadecimal.
    :param policy: name of its policy.
    :param lease_horizon: seconds of demand that leases cover.
    :param concurrent: requests in progress at one router at most.
    """

    __pydantic_config__ = {'extra': 'forbid'}

    name: Name
    key_sha256: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
    policy: Name
    lease_horizon: NotRequired[Annotated[float, Field(ge=1, le=_MAX_HORIZON)]]
    concurrent: NotRequired[Annotated[int, Field(ge=1, le=_MAX_CONCURRENT)]]


class PolicySpec(TypedDict):
    """A policy: short expressions over ``request``, ``budget`` and ``fleet``.

    :param name: unique.
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
    """All that operators decide, as they write it."""

    __pydantic_config__ = {'extra': 'forbid'}

    services: list[ServiceSpec]
    models: list[ModelSpec]
    workspaces: list[WorkspaceSpec]
    policies: list[PolicySpec]


class Head(NamedTuple):
    """Object that names the newest revision.

    :param number: grows by one with each revision.
    :param name: name of the revision's object; empty before the first.
    :param submissions: ids of the last submissions, newest last.
    """

    number: int = 0
    name: str = ''
    submissions: tuple[str, ...] = ()


class Revision(NamedTuple):
    """One accepted configuration.

    :param number: its place in the order.
    :param submission: id by which its submitter knows it again.
    :param configuration: what was submitted.
    """

    number: int
    submission: str
    configuration: Configuration
