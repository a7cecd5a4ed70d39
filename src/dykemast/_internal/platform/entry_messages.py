"""Questions of callers where to go, and their answers."""

from typing import Any
from urllib.parse import parse_qs

import msgspec

from dykemast._internal.models.deployment import Endpoint


def decode_entry_name(scope: Any) -> str:
    """Decode the host name that a caller asks addresses for.

    :param scope: ASGI scope.
    :returns: the name; empty when there is none.
    """
    query = parse_qs(scope['query_string'].decode('latin-1'))
    return query.get('name', [''])[0]


def encode_entry(addresses: list[Endpoint], ttl: float) -> bytes:
    """Make the answer that tells callers which addresses to use.

    :param addresses: the addresses.
    :param ttl: seconds for which the answer may be kept.
    :returns: the JSON document.
    """
    texts = [str(address) for address in addresses]
    return msgspec.json.encode({'addresses': texts, 'ttlS': ttl})
