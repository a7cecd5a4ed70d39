"""Whether a request may be sent once more, or when its caller may come back."""

import math
import random
from typing import Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.serving.admission.checks import NO_SERVER_RETRY_S
from dykemast._internal.serving.admission.trials import is_on_trial
from dykemast._internal.serving.choice.candidates import compute_min_wait
from dykemast._internal.serving.choice.outcomes import get_retry_budget
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import read_clock

#: Seconds that have to be left for another try to make sense.
MIN_TIME_LEFT_S: Final = 0.05
#: Servers tried for one request at most, those included that were not there:
#: a few times what routes allow.
MAX_SENDS: Final = 5
#: Seconds after which a caller is told to come back at least, and times by
#: which it may be told to come back later than a server may get its request.
MIN_RETRY_AFTER_S: Final = 0.01
MAX_RETRY_AFTER_FACTOR: Final = 1.25


def may_retry(exchange: Exchange, sends: int, error: UpstreamError) -> bool:
    """Tell whether a request may be sent once more.

    :param exchange: the request.
    :param sends: how often it was sent.
    :param error: how the last send failed.
    :returns: whether it may.
    """
    if not _is_allowed(exchange, sends, error):
        return False
    if error.unconnected:
        # Nothing arrived anywhere, so there is nothing to repeat.
        return True
    return _spend_allowance(exchange)


def has_time(admitted: AdmittedRequest) -> bool:
    """Tell whether another try makes sense.

    :param admitted: the request.
    :returns: whether it does.
    """
    return admitted.deadline - read_clock() >= MIN_TIME_LEFT_S


def compute_retry_after(exchange: Exchange) -> float:
    """Measure when a caller may come back whose request no server takes now.

    :param exchange: the request.
    :returns: seconds until a server may get it, where all are held back.
    """
    wait = compute_min_wait(exchange.parts, exchange.admitted)
    if not wait or math.isinf(wait):
        return NO_SERVER_RETRY_S
    # All who wait for that moment would else come back together.
    return max(wait, MIN_RETRY_AFTER_S) * random.uniform(
        1, MAX_RETRY_AFTER_FACTOR
    )


def _is_allowed(exchange: Exchange, sends: int, error: UpstreamError) -> bool:
    admitted = exchange.admitted
    if error.sent and not admitted.is_repeatable():
        return False
    if error.broken and is_on_trial(exchange.parts.board, exchange.identity):
        # One more server may end under it: its caller has to ask anew.
        return False
    return has_time(admitted) and _has_sends_left(admitted, sends, error)


def _has_sends_left(
    admitted: AdmittedRequest, sends: int, error: UpstreamError
) -> bool:
    if error.unconnected or error.absent:
        # The server that was meant did not get it.
        return sends < MAX_SENDS
    return sends < admitted.route.max_workers


def _spend_allowance(exchange: Exchange) -> bool:
    parts = exchange.parts
    allowance = get_retry_budget(parts, exchange.admitted.service.name)
    routers = 1 + len(parts.board.peers)
    return allowance.consume(read_clock(), routers)
