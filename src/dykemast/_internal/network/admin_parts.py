"""What the administration API needs of the router."""

from collections.abc import Callable
from typing import NamedTuple

from starlette.requests import Request

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.controllers.keepers import Keepers
from dykemast._internal.network.platform import Platform
from dykemast._internal.network.revision_store import RevisionStore
from dykemast._internal.utils.keys import hash_bearer, digests_match


class AdminParts(NamedTuple):
    """Parts of the router.

    :param board: the blackboard; only read.
    :param platform: session with the platform.
    :param store: revisions.
    :param keepers: way to the budget shards.
    :param render: writes the metrics.
    """

    board: Blackboard
    platform: Platform
    store: RevisionStore
    keepers: Keepers
    render: Callable[[], bytes]


def has_operator_key(parts: AdminParts, request: Request) -> bool:
    """Tell whether a request carries the operators' key.

    :param parts: parts of the router.
    :param request: the request.
    :returns: whether it does.
    """
    known = parts.board.settings['operator_key_sha256']
    return digests_match(hash_bearer(request.headers), known)
