"""Hop-by-hop header fields."""

from typing import Final

#: Not forwarded: those of RFC 9110, and others that HTTP clients send.
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
