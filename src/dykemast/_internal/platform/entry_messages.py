"""Queries of callers for router addresses, and their responses."""

from typing import Any, NamedTuple
from urllib.parse import parse_qs

import msgspec

from dykemast._internal.models.deployment import Endpoint


class EntryQuestion(NamedTuple):
    """Query of a caller for router addresses.

    :param host: requested host name; empty when not given.
    :param region: region of the caller; empty when not given.
    """

    host: str
    region: str


def decode_entry_question(scope: Any) -> EntryQuestion:
    """Decode a query for router addresses.

    :param scope: ASGI scope.
    :returns: the decoded query.
    """
    query = parse_qs(scope['query_string'].decode('latin-1'))
    host = query.get('name', [''])[0]
    return EntryQuestion(host.lower(), query.get('region', [''])[0])


def encode_entry(addresses: list[Endpoint], ttl: float) -> bytes:
    """Encode the response that lists router addresses.

    :param addresses: addresses that the caller may use.
    :param ttl: seconds for which the caller may cache the response.
    :returns: the JSON document.
    """
    texts = [str(address) for address in addresses]
    return msgspec.json.encode({'addresses': texts, 'ttlS': ttl})
