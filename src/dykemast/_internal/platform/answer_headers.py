"""Header fields of backend servers' answers."""

import math
from http import HTTPStatus
from typing import Any, Final

from dykemast._internal.models.backend import Backpressure
from dykemast._internal.models.forwarding import ResponseHead
from dykemast._internal.platform import names
from dykemast._internal.utils.hop_by_hop_headers import HOP_BY_HOP_HEADERS

#: How the client library decodes fields; bytes that are no UTF-8 survive it.
_ENCODING: Final = 'utf-8'
_ERRORS: Final = 'surrogateescape'
#: Answer of a server that is not the one that was meant.
_MISDIRECTED: Final = 421
_LEAVING_VALUE: Final = '1'
#: Requests a second that a server gets at least: only its next answer can end
#: a limit, also one of zero.
MIN_LIMIT_PER_S: Final = 0.1
#: Seconds of rest that an answer may ask for: a server that asked for more
#: would get nothing for ever.
MAX_BACKOFF_S: Final = 600.0


def decode_answer(status: int, fields: Any) -> ResponseHead:
    """Decode the head of a backend server's answer.

    :param status: HTTP status.
    :param fields: its header fields.
    :returns: the head.
    """
    headers = [
        (_encode(name.lower()), _encode(text))
        for name, text in fields.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]
    return ResponseHead(
        status=status,
        request_id=fields.get(names.ATTEMPT_ID, ''),
        signed=names.SIGNATURE in fields,
        not_executed=names.NOT_RUN in fields or status == _MISDIRECTED,
        misdirected=status == _MISDIRECTED,
        headers=headers,
        delimited='content-length' in fields or 'transfer-encoding' in fields,
        backpressure=_decode_backpressure(status, fields),
    )


def _encode(text: str) -> bytes:
    return text.encode(_ENCODING, _ERRORS)


def _decode_backpressure(status: int, fields: Any) -> Backpressure:
    limit = _read_number(fields.get(names.LIMIT))
    rest = None
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        rest = _read_number(fields.get(names.RETRY_AFTER))
    return Backpressure(
        limit=None if limit is None else max(MIN_LIMIT_PER_S, limit),
        leaving=fields.get(names.LEAVING, '').strip() == _LEAVING_VALUE,
        rest=min(MAX_BACKOFF_S, rest or 0),
    )


def _read_number(text: str | None) -> float | None:
    """Read a number from 0 on; None for any other text, and for none."""
    try:
        number = float(text or '')
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None
