"""Entries of routers in the store."""

import msgspec

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.platform.endpoints import decode_endpoint
from dykemast._internal.platform.store_types import StoreObject


def decode_card(stored: StoreObject) -> PeerCard:
    """Decode a router's entry.

    :param stored: the object; its name is the router's instance.
    :returns: the card.
    :raises NotUsableError: when it names no router.
    """
    try:
        card = _decode(stored)
    except ValueError as error:
        raise InvalidDataError(f'no router: {error}') from error
    if card.instance != stored.name:
        raise InvalidDataError(f'it tells of {card.instance}.')
    return card


def _decode(stored: StoreObject) -> PeerCard:
    card = msgspec.convert(stored.spec, PeerCard)
    for port in (card.caller_port, card.peer_port):
        decode_endpoint(f'{card.host}:{port}')
    return card
