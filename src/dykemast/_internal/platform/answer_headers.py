"""Decoding of the response headers of backend servers."""

import math
from http import HTTPStatus
from typing import Any, Final

from dykemast._internal.models.backend import Backpressure
from dykemast._internal.models.forwarding import ResponseHead
from dykemast._internal.platform import names

#: Encoding of the HTTP client; it preserves bytes that are not UTF-8.
_ENCODING: Final = 'utf-8'
_ERRORS: Final = 'surrogateescape'
#: Status of a server that is not the intended one.
_MISDIRECTED: Final = 421
_LEAVING_VALUE: Final = '1'
#: Lowest request rate per server. Only a later response can lift a limit, so a
#: limit of zero would never end.
MIN_LIMIT_PER_S: Final = 0.1
#: Longest backoff that a response may request; an unbounded one could exclude
#: the server forever.
MAX_BACKOFF_S: Final = 600.0


def decode_answer(status: int, fields: Any) -> ResponseHead:
    """Decode the head of a backend server's response.

    :param status: HTTP status.
    :param fields: header fields of the response.
    :returns: the response head.
    """
    headers = [
        (_encode(name.lower()), _encode(text))
        for name, text in fields.items()
        if name.lower() not in names.HOP_BY_HOP_HEADERS
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
    limit = _parse_number(fields.get(names.LIMIT))
    rest = None
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        rest = _parse_number(fields.get(names.RETRY_AFTER))
    return Backpressure(
        limit=None if limit is None else max(MIN_LIMIT_PER_S, limit),
        leaving=fields.get(names.LEAVING, '').strip() == _LEAVING_VALUE,
        rest=min(MAX_BACKOFF_S, rest or 0),
        brittle=_parse_number(fields.get(names.BRITTLE)),
    )


def _parse_number(text: str | None) -> float | None:
    """Parse a finite number >= 0; return None for anything else."""
    try:
        number = float(text or '')
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None
