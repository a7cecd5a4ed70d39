"""Detect retries whose key the journal may have dropped.

The journal drops keys after the retry window. A caller that may retry for
longer states when it first sent a request: by a time-ordered key (UUID version
7) or by the header ``X-First-Sent`` in seconds since 1970.
"""

import contextlib
import uuid
from typing import Final

from starlette.datastructures import Headers

_TIME_ORDERED: Final = 7
#: Bits of a version 7 UUID below its timestamp.
_RANDOM_BITS: Final = 80
_MILLISECONDS: Final = 1000


def is_too_old(headers: Headers, key: str, oldest: float) -> bool:
    """Check whether a request may be a retry whose key was dropped.

    :param headers: of the request.
    :param key: its idempotency key.
    :param oldest: seconds since 1970; earlier keys may have been dropped.
    :returns: whether it was first sent before that; not when unknown.
    """
    sent = find_first_sent(headers, key)
    return sent is not None and sent < oldest


def find_first_sent(headers: Headers, key: str) -> float | None:
    """Find when a request was first sent.

    :param headers: of the request.
    :param key: its idempotency key.
    :returns: seconds since 1970, or ``None`` when not stated.
    """
    with contextlib.suppress(ValueError):
        return float(headers.get('x-first-sent', ''))
    with contextlib.suppress(ValueError):
        known = uuid.UUID(key)
        if known.version == _TIME_ORDERED:
            return (known.int >> _RANDOM_BITS) / _MILLISECONDS
    return None
