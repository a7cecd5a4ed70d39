"""Components of the router that the administration API uses."""

from collections.abc import Callable
from typing import NamedTuple

from starlette.requests import Request

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.controllers.keepers import Keepers
from dykemast._internal.network.platform import Platform
from dykemast._internal.network.revision_store import RevisionStore
from dykemast._internal.utils.keys import hash_bearer, digests_match


class AdminParts(NamedTuple):
    """Components used by the administration API.

    :param board: the blackboard; read only.
    :param platform: session with the platform.
    :param store: store of configuration revisions.
    :param keepers: access to the budget shards.
    :param render: renders the metrics.
    """

    board: Blackboard
    platform: Platform
    store: RevisionStore
    keepers: Keepers
    render: Callable[[], bytes]


def has_operator_key(parts: AdminParts, request: Request) -> bool:
    """Tell whether a request carries the operators' key.

    :param parts: shared components of the router.
    :param request: the request.
    :returns: whether the key matches.
    """
    known = parts.board.settings['operator_key_sha256']
    return digests_match(hash_bearer(request.headers), known)
