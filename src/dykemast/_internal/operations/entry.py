"""Choice of the addresses that a caller should use."""

from typing import Final, NamedTuple

from typing_extensions import TypedDict

from dykemast._internal.models.fleet import PeerCard

#: Bounds the size of an answer.
MAX_ADDRESSES: Final = 8


class Address(TypedDict):
    """One address for callers.

    :param address: URL without a path.
    :param hall: hall of the router.
    """

    address: str
    hall: str


class EntryAnswer(TypedDict):
    """Answer of ``GET /v1/entry``.

    :param addresses: in the order of preference.
    :param keep_seconds: seconds for which the answer may be cached.
    """

    addresses: list[Address]
    keep_seconds: float


class _Rank(NamedTuple):
    elsewhere: bool
    inflight: int


def make_entry(cards: list[PeerCard], hall: str, keep: float) -> EntryAnswer:
    """Choose the addresses for a caller: own hall first, then by load.

    :param cards: this router and the reachable peers.
    :param hall: hall of this router.
    :param keep: seconds for which the answer may be cached.
    :returns: the answer, without routers that are stopping.
    """
    staying = [card for card in cards if not card.leaving]
    ranked = sorted(
        staying, key=lambda card: _Rank(card.hall != hall, card.inflight)
    )
    addresses = [
        Address(
            address=f'http://{card.host}:{card.caller_port}', hall=card.hall
        )
        for card in ranked[:MAX_ADDRESSES]
    ]
    return EntryAnswer(addresses=addresses, keep_seconds=keep)
