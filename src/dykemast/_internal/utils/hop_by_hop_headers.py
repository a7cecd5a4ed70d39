"""Header fields that concern one connection only."""

from typing import Final

#: No program passes them on; RFC 9110 and what HTTP clients send besides.
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
