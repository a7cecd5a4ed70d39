"""Retry rules, and retry-after times for callers."""

import math
import random
from typing import Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.serving.admission.checks import NO_SERVER_RETRY_S
from dykemast._internal.serving.admission.trials import list_on_trial
from dykemast._internal.serving.choice.candidates import compute_min_wait
from dykemast._internal.serving.choice.outcomes import get_retry_budget
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')

#: A retry with less time left would not complete.
MIN_TIME_LEFT_S: Final = 0.05
#: Maximum number of sends of one request, including those to servers that
#: refused the connection: several times what routes allow.
MAX_SENDS: Final = 5
#: Bounds of the retry-after time: its minimum, and the largest factor by which
#: it may exceed the time until a server can take the request.
MIN_RETRY_AFTER_S: Final = 0.01
MAX_RETRY_AFTER_FACTOR: Final = 1.25


def may_retry(exchange: Exchange, sends: int, error: UpstreamError) -> bool:
    """Check whether a request may be sent again, if there is a server for it.

    :param exchange: the request.
    :param sends: number of sends so far.
    :param error: the error of the last send.
    :returns: whether a retry is allowed.
    """
    admitted = exchange.admitted
    if error.sent and not admitted.is_repeatable():
        return False
    return has_time_left(admitted) and sends < MAX_SENDS


def may_try_another(
    exchange: Exchange, servers: int, error: UpstreamError
) -> bool:
    """Check whether a retry may go to a server that was not tried.

    :param exchange: the request.
    :param servers: number of servers that were tried.
    :param error: the error of the last send.
    :returns: whether it may.
    """
    if error.broken and list_on_trial(exchange.parts.board, exchange.identity):
        # A retry may crash another server. The caller has to repeat the
        # request.
        return False
    # If the chosen server did not receive the request, it does not count.
    return (
        error.unconnected
        or error.absent
        or servers < exchange.admitted.route.max_workers
    )


def spend_allowance(exchange: Exchange, error: UpstreamError) -> bool:
    """Take a retry from the allowance of the service.

    :param exchange: the request.
    :param error: the error of the last send.
    :returns: whether there was one.
    """
    if error.unconnected:
        # No server received the request, so this is not a repeat.
        return True
    parts = exchange.parts
    allowance = get_retry_budget(parts, exchange.admitted.service.name)
    routers = 1 + len(parts.board.peers)
    allowed = allowance.consume(read_clock(), routers)
    if not allowed:
        _log(
            'retry_not_allowed',
            request=exchange.admitted.request.request_id,
            service=exchange.admitted.service.name,
        )
    return allowed


def has_time_left(admitted: AdmittedRequest) -> bool:
    """Check whether enough time is left for a retry.

    :param admitted: the request.
    :returns: whether there is.
    """
    return admitted.deadline - read_clock() >= MIN_TIME_LEFT_S


def compute_retry_after(exchange: Exchange) -> float:
    """Compute the retry-after time when no server can take a request.

    :param exchange: the request.
    :returns: seconds until a server may take it, if all are held back for some
        time.
    """
    wait = compute_min_wait(exchange.parts, exchange.admitted)
    if not wait or math.isinf(wait):
        return NO_SERVER_RETRY_S
    # Jitter: otherwise all callers that wait for that moment return together.
    return max(wait, MIN_RETRY_AFTER_S) * random.uniform(
        1, MAX_RETRY_AFTER_FACTOR
    )
