"""Refusals: their codes, and the responses that callers get."""

import enum
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec

from dykemast._internal.exceptions import DykemastError


Headers = list[tuple[bytes, bytes]]


class _Reason(NamedTuple):
    status: int
    text: str


class RefusalCode(enum.Enum):
    """Why a request is not served.

    Statuses 429 and 503 promise that it has not run and will not; with 502 and
    504 it may have run.
    """

    malformed = _Reason(HTTPStatus.BAD_REQUEST, 'The request is malformed.')
    wrong_key = _Reason(HTTPStatus.UNAUTHORIZED, 'The key is not known.')
    budget_spent = _Reason(
        HTTPStatus.PAYMENT_REQUIRED, 'The rest of the budget cannot hold it.'
    )
    no_route = _Reason(HTTPStatus.NOT_FOUND, 'There is no such route.')
    too_large = _Reason(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'The body is too large.'
    )
    budget_held = _Reason(
        HTTPStatus.TOO_MANY_REQUESTS,
        'Other requests hold the rest of the budget.',
    )
    budget_away = _Reason(
        HTTPStatus.SERVICE_UNAVAILABLE, 'The budget cannot be read now.'
    )
    no_configuration = _Reason(
        HTTPStatus.SERVICE_UNAVAILABLE, 'No configuration is known yet.'
    )
    not_current = _Reason(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'What is known may be older than what is in force.',
    )
    overloaded = _Reason(
        HTTPStatus.SERVICE_UNAVAILABLE, 'This router has no time for it.'
    )
    no_server = _Reason(
        HTTPStatus.SERVICE_UNAVAILABLE, 'No backend server can take it now.'
    )
    version_unknown = _Reason(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'It is not known which version began this stream.',
    )
    quarantined = _Reason(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'Backend servers ended when they began to run this request.',
    )
    stopping = _Reason(
        HTTPStatus.SERVICE_UNAVAILABLE, 'This router is about to end.'
    )
    cut_by_stop = _Reason(
        HTTPStatus.BAD_GATEWAY, 'This router has ended; it may have run.'
    )
    upstream_failed = _Reason(
        HTTPStatus.BAD_GATEWAY, 'The backend server failed; it may have run.'
    )
    too_late = _Reason(
        HTTPStatus.GATEWAY_TIMEOUT, 'Its time is over; it may have run.'
    )


class RefusedError(DykemastError):
    """A request is not served.

    :param code: the reason, which callers see.
    :param details: further fields for the log.
    :param retry_after: seconds for the Retry-After header; None for no header.
    """

    def __init__(
        self,
        code: RefusalCode,
        details: dict[str, Any] | None = None,
        retry_after: float | None = None,
    ) -> None:
        """Make a refusal with the text of its code."""
        super().__init__(code.value.text)
        self.code = code
        self.details = details or {}
        self.retry_after = retry_after

    def encode(self) -> tuple[Headers, bytes]:
        """Encode the response to the caller.

        :returns: header fields and body.
        """
        document = {'code': self.code.name, 'message': self.code.value.text}
        body = msgspec.json.encode({'error': document})
        headers = [(b'content-type', b'application/json')]
        if self.retry_after is not None:
            text = f'{self.retry_after:.2f}'
            headers.append((b'retry-after', text.encode()))
        return headers, body
