"""Refusals: their codes, and what callers are told."""

import enum
from typing import Any, NamedTuple

import msgspec

from dykemast._internal.exceptions import DykemastError


class _Reason(NamedTuple):
    status: int
    text: str


class RefusalCode(enum.Enum):
    """Why a request is not served.

    Statuses 429 and 503 tell that it has not run and will not; 502 and 504
    leave that open.
    """

    malformed = _Reason(400, 'The request is malformed.')
    wrong_key = _Reason(401, 'The key is not known.')
    budget_spent = _Reason(402, 'The rest of the budget cannot hold it.')
    no_route = _Reason(404, 'There is no such route.')
    too_large = _Reason(413, 'The body is too large.')
    budget_held = _Reason(429, 'Other requests hold the rest of the budget.')
    budget_away = _Reason(503, 'The budget cannot be read now.')
    no_configuration = _Reason(503, 'No configuration is known yet.')
    no_server = _Reason(503, 'No backend server can take it now.')
    stopping = _Reason(503, 'This router is about to end.')
    upstream_failed = _Reason(
        502, 'The backend server failed; it may have run.'
    )
    too_late = _Reason(504, 'Its time is over; it may have run.')


class RefusedError(DykemastError):
    """A request is not served.

    :param code: why.
    :param details: what decided it, for the log.
    :param retry_after: seconds after which it may come back; None for never.
    """

    def __init__(
        self,
        code: RefusalCode,
        details: dict[str, Any] | None = None,
        retry_after: float | None = None,
    ) -> None:
        """Keep the reason."""
        super().__init__(code.value.text)
        self.code = code
        self.details = details or {}
        self.retry_after = retry_after

    def encode(self) -> tuple[list[tuple[bytes, bytes]], bytes]:
        """Make the answer to the caller.

        :returns: header fields and body.
        """
        document = {'code': self.code.name, 'message': self.code.value.text}
        body = msgspec.json.encode({'error': document})
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
        ]
        if self.retry_after is not None:
            text = f'{self.retry_after:.2f}'
            headers.append((b'retry-after', text.encode()))
        return headers, body
