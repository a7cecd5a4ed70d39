"""Questions of callers where to go, and their answers."""

from typing import Any, NamedTuple
from urllib.parse import parse_qs

import msgspec

from dykemast._internal.models.deployment import Endpoint


class EntryQuestion(NamedTuple):
    """What a caller asks addresses for.

    :param host: host name; empty when there is none.
    :param region: of the caller; empty when it does not say.
    """

    host: str
    region: str


def decode_entry_question(scope: Any) -> EntryQuestion:
    """Decode what a caller asks addresses for.

    :param scope: ASGI scope.
    :returns: the question.
    """
    query = parse_qs(scope['query_string'].decode('latin-1'))
    host = query.get('name', [''])[0]
    return EntryQuestion(host.lower(), query.get('region', [''])[0])


def encode_entry(addresses: list[Endpoint], ttl: float) -> bytes:
    """Make the answer that tells callers which addresses to use.

    :param addresses: the addresses.
    :param ttl: seconds for which the answer may be kept.
    :returns: the JSON document.
    """
    texts = [str(address) for address in addresses]
    return msgspec.json.encode({'addresses': texts, 'ttlS': ttl})
