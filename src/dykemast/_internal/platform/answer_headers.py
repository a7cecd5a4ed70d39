"""Header fields of backend servers' answers."""

from typing import Any, Final

from dykemast._internal.models.forwarding import AnswerHead
from dykemast._internal.platform import names
from dykemast._internal.utils.hop_fields import HOP_FIELDS

#: How the client library decodes fields; bytes that are no UTF-8 survive it.
_ENCODING: Final = 'utf-8'
_ERRORS: Final = 'surrogateescape'
#: Answer of a server that is not the one that was meant.
_MISDIRECTED: Final = 421


def decode_answer(status: int, fields: Any) -> AnswerHead:
    """Decode the head of a backend server's answer.

    :param status: HTTP status.
    :param fields: its header fields.
    :returns: the head.
    """
    headers = [
        (_encode(name.lower()), _encode(text))
        for name, text in fields.items()
        if name.lower() not in HOP_FIELDS
    ]
    return AnswerHead(
        status=status,
        request_id=fields.get(names.ATTEMPT_ID, ''),
        signed=names.SIGNATURE in fields,
        not_run=names.NOT_RUN in fields or status == _MISDIRECTED,
        misdirected=status == _MISDIRECTED,
        headers=headers,
        delimited='content-length' in fields or 'transfer-encoding' in fields,
    )


def _encode(text: str) -> bytes:
    return text.encode(_ENCODING, _ERRORS)
