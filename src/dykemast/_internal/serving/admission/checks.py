"""Whether this router may let a request in, by what is known now."""

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

#: Seconds after which a caller may come back when what is known is too old: a
#: read takes less, and other routers are likely to know.
CURRENT_RETRY: Final = 0.2
#: The same while the store is away, which lasts for seconds.
AWAY_RETRY: Final = 2.0
#: Seconds after which a caller of an overloaded router may come back to
#: another one: at once.
ELSEWHERE_RETRY: Final = 0.05
#: The same when the others get too much as well: some times what it takes
#: until this loop is in time again.
CROWDED_RETRY: Final = 0.5
#: Seconds after which a caller may come back when the servers there are may not
#: get its request: halls are emptied for longer than most callers wait.
HALLS_RETRY: Final = 2.0
#: The same when there are no servers at all, as at a start.
NO_SERVER_RETRY_S: Final = 0.4


def check_preconditions(board: ServingBoard) -> None:
    """Check that this router has time, and knows enough, for a request.

    :param board: the blackboard.
    :raises RefusedError: when it does not.
    """
    _check_overload(board)
    _check_current(board)


def check_evacuations(board: ServingBoard) -> None:
    """Check that it is known which halls are being emptied.

    :param board: the blackboard.
    :raises RefusedError: when it is not.
    """
    known = get_evacuations_freshness(board)
    if not known.may_serve():
        raise refuse_for_now(known, of='evacuations')


def check_servers(board: ServingBoard, admitted: AdmittedRequest) -> None:
    """Check that a server may get a request, before anything is held for it.

    :param board: the blackboard.
    :param admitted: the request.
    :raises RefusedError: when none may.
    """
    service = admitted.service.name
    if list_allowed(board, service, admitted.list_allowed_regions()):
        return
    listed = bool(list_usable(board, service))
    raise RefusedError(
        RefusalCode.no_server,
        describe_restrictions(board, admitted),
        HALLS_RETRY if listed else NO_SERVER_RETRY_S,
    )


def describe_restrictions(
    board: ServingBoard, admitted: AdmittedRequest
) -> dict[str, Any]:
    """Describe what bounds the servers that may get a request.

    :param board: the blackboard.
    :param admitted: the request.
    :returns: fields for the log.
    """
    usable = list_usable(board, admitted.service.name)
    return {
        'usable': len(usable),
        'held_back': describe_backpressure(board, usable),
        'emptied': sorted(board.evacuations.halls),
        'homes': [
            sorted(allowed_regions)
            for allowed_regions in admitted.list_allowed_regions()
        ],
    }


def refuse_for_now(known: Freshness, **details: Any) -> RefusedError:
    """Refuse what better knowledge might allow.

    :param known: what is known.
    :param details: what decided it besides.
    :returns: the refusal; it tells when to come back.
    """
    retry_after = AWAY_RETRY if known.store_away else CURRENT_RETRY
    shown = known._asdict()
    return RefusedError(
        RefusalCode.not_current, {**shown, **details}, retry_after
    )


def _check_overload(board: ServingBoard) -> None:
    # Let in nevertheless, a request would wait with all others until its
    # caller leaves, and delay streams, news and reads of the store, while other
    # routers have time.
    now = read_clock()
    if not board.watch.is_overloaded(now):
        return
    elsewhere = has_peer_with_capacity(board)
    details = {
        'late_s': round(board.watch.measure_lateness(now), 3),
        'inflight': board.inflight,
        'elsewhere': elsewhere,
    }
    retry_after = ELSEWHERE_RETRY if elsewhere else CROWDED_RETRY
    raise RefusedError(RefusalCode.overloaded, details, retry_after)


def _check_current(board: ServingBoard) -> None:
    # A change that has to be in force may be missing although the store
    # answers; other routers have it.
    for known in (
        get_configuration_freshness(board),
        get_servers_freshness(board),
    ):
        if not known.may_serve():
            raise refuse_for_now(known)
    check_evacuations(board)
