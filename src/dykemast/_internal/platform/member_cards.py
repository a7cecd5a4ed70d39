"""Decoding of the store entries of routers."""

import msgspec

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.platform.endpoints import decode_endpoint
from dykemast._internal.platform.store_types import StoreObject


def decode_card(stored: StoreObject) -> PeerCard:
    """Decode a router's entry.

    :param stored: the object; its name is the router's instance.
    :returns: the card.
    :raises InvalidDataError: when the entry does not describe this router.
    """
    try:
        card = _decode(stored)
    except ValueError as error:
        raise InvalidDataError(
            f'invalid router entry {stored.name}: {error}'
        ) from error
    if card.instance != stored.name:
        text = f'entry {stored.name} describes instance {card.instance}.'
        raise InvalidDataError(text)
    return card


def _decode(stored: StoreObject) -> PeerCard:
    card = msgspec.convert(stored.spec, PeerCard)
    for port in (card.caller_port, card.peer_port):
        decode_endpoint(f'{card.host}:{port}')
    return card
