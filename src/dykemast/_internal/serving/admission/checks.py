"""Checks of this router's state that precede the admission of a request."""

from collections import Counter
from typing import Any, Final

from dykemast._internal.operations.freshness import Freshness
from dykemast._internal.serving.knowledge.backends import (
    list_allowed,
    list_usable,
)
from dykemast._internal.serving.knowledge.backpressure import (
    describe_backpressure,
)
from dykemast._internal.serving.knowledge.cache_freshness import (
    get_configuration_freshness,
    get_evacuations_freshness,
    get_servers_freshness,
)
from dykemast._internal.serving.members.load_measurement import (
    has_peer_with_capacity,
)
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock

#: Retry-After when the cached data is too old: a read of the store takes less,
#: and other routers are likely to have newer data.
STALE_RETRY_S: Final = 0.2
#: Retry-After while the store is unavailable, which lasts for seconds.
UNAVAILABLE_RETRY_S: Final = 2.0
#: Retry-After of an overloaded router while others have capacity: the caller
#: may try another router at once.
OTHER_ROUTER_RETRY_S: Final = 0.05
#: Retry-After when the other routers are overloaded as well: several times
#: what the event loop takes to catch up.
ALL_OVERLOADED_RETRY_S: Final = 0.5
#: Retry-After while the link is full: callers send the bodies of their next
#: tries over it as well, wherever those are served.
FULL_LINK_RETRY_S: Final = 2.5
#: Retry-After when backend servers exist but none is allowed: the evacuation of
#: a hall lasts longer than most callers wait.
EVACUATION_RETRY_S: Final = 2.0
#: Retry-After when there are no backend servers at all, as after a start.
NO_SERVER_RETRY_S: Final = 0.4


def check_preconditions(board: ServingBoard) -> None:
    """Check that this router is not overloaded and its data is recent.

    :param board: the blackboard.
    :raises RefusedError: when it is overloaded, or its data is too old.
    """
    _check_overload(board)
    _check_data_age(board)


def check_evacuations(board: ServingBoard) -> None:
    """Check that the list of evacuated halls is recent enough.

    :param board: the blackboard.
    :raises RefusedError: when it is too old.
    """
    known = get_evacuations_freshness(board)
    if not known.may_serve():
        raise refuse_for_now(known, of='evacuations')


def check_servers(board: ServingBoard, admitted: AdmittedRequest) -> None:
    """Check that a server may get a request, before tokens are reserved.

    :param board: the blackboard.
    :param admitted: the request.
    :raises RefusedError: when none may.
    """
    service = admitted.service.name
    regions = admitted.list_allowed_regions()
    if list_allowed(board, service, regions, admitted.server_version):
        return
    listed = bool(list_usable(board, service))
    raise RefusedError(
        RefusalCode.no_server,
        describe_restrictions(board, admitted),
        EVACUATION_RETRY_S if listed else NO_SERVER_RETRY_S,
    )


def describe_restrictions(
    board: ServingBoard, admitted: AdmittedRequest
) -> dict[str, Any]:
    """Describe what restricts the servers that may get a request.

    :param board: the blackboard.
    :param admitted: the request.
    :returns: fields for the log.
    """
    service = admitted.service.name
    usable = list_usable(board, service)
    return {
        **board.links.describe(service, read_clock()),
        'usable': len(usable),
        'wanted_version': admitted.server_version,
        'versions': dict(Counter(one.version for one in usable)),
        'held_back': describe_backpressure(board, usable),
        'emptied': sorted(board.evacuations.halls),
        'homes': [
            sorted(allowed_regions)
            for allowed_regions in admitted.list_allowed_regions()
        ],
    }


def refuse_for_now(known: Freshness, **details: Any) -> RefusedError:
    """Make a temporary refusal of what newer data might allow.

    :param known: freshness of the cached data.
    :param details: further fields for the log.
    :returns: the refusal, with a Retry-After.
    """
    retry_after = UNAVAILABLE_RETRY_S if known.store_away else STALE_RETRY_S
    shown = known._asdict()
    return RefusedError(
        RefusalCode.not_current, {**shown, **details}, retry_after
    )


def _check_overload(board: ServingBoard) -> None:
    # If admitted, a request would wait with all others until its caller leaves,
    # and delay streams, gossip messages and reads of the store, while other
    # routers have capacity.
    now = read_clock()
    is_late = board.watch.is_overloaded(now)
    if not is_late and board.admission_limit.admits(board.inflight, now):
        return
    elsewhere = has_peer_with_capacity(board)
    details = {
        **board.admission_limit.describe(now),
        'late_s': round(board.watch.measure_lateness(now), 3),
        'inflight': board.inflight,
        'elsewhere': elsewhere,
    }
    retry_after = OTHER_ROUTER_RETRY_S if elsewhere else ALL_OVERLOADED_RETRY_S
    raise RefusedError(
        RefusalCode.overloaded,
        details,
        retry_after if is_late else FULL_LINK_RETRY_S,
    )


def _check_data_age(board: ServingBoard) -> None:
    # A change that must be in force may be missing although the store
    # responds; other routers have it.
    for known in (
        get_configuration_freshness(board),
        get_servers_freshness(board),
    ):
        if not known.may_serve():
            raise refuse_for_now(known)
    check_evacuations(board)
