"""Fetch what a peer has in a newer version, by its gossip message."""

from collections.abc import Awaitable, Callable
from typing import Final

from dykemast._internal.exceptions import PeerError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.models.gossip import GossipMessage
from dykemast._internal.platform.configuration import CONFIGURATION_KIND
from dykemast._internal.platform.servers import EVACUATION_KIND, SERVER_KIND
from dykemast._internal.serving.knowledge import (
    cache_freshness,
    configuration,
    server_lists,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.state.quarantines import record_crash_answer
from dykemast._internal.utils.events import make_logger

_log = make_logger('gossip')

#: Seconds, enough for a large answer over a narrow link.
FETCH_TIMEOUT_S: Final = 1.0

#: Calls a peer; takes its card, the call's name, arguments and ``timeout``.
Call = Callable[..., Awaitable[bytes]]


async def fetch_newer(
    call: Call,
    board: ServingBoard,
    message: GossipMessage,
    asked_at: float,
) -> None:
    """Fetch the configuration and servers that are newer at a peer.

    :param call: calls a peer.
    :param board: the blackboard.
    :param message: the peer's answer.
    :param asked_at: seconds at which the request was sent.
    """
    card = message.card
    if card.revision > board.get_version():
        body = await _fetch(
            call, card, 'newer_configuration', board.get_version()
        )
        if body:
            configuration.apply_peer_copy(board, body, card.instance)
    if server_lists.is_behind(board, message.servers):
        known = board.server_state.position
        body = await _fetch(call, card, 'newer_servers', known)
        if body:
            server_lists.apply_peer_copy(board, body, card.instance)
    record_peer_ages(board, message, asked_at)
    record_crash_answer(board, message.crashes, asked_at)


def record_peer_ages(
    board: ServingBoard, message: GossipMessage, asked_at: float
) -> None:
    """Record when a peer listed the objects of which this router has a copy.

    :param board: the blackboard.
    :param message: the peer's answer.
    :param asked_at: seconds at which the request was sent.
    """
    peer_ages = message.ages
    if board.get_version() >= message.card.revision:
        # Otherwise the newer configuration has to be fetched first.
        kind = CONFIGURATION_KIND
        cache_freshness.record_peer_age(
            board, kind, peer_ages.get(kind), asked_at
        )
    if board.server_state.digest == message.servers.digest:
        cache_freshness.record_peer_age(
            board, SERVER_KIND, peer_ages.get(SERVER_KIND), asked_at
        )
    if board.evacuations.halls == message.evacuations.halls:
        kind = EVACUATION_KIND
        cache_freshness.record_peer_age(
            board, kind, peer_ages.get(kind), asked_at
        )


async def _fetch(call: Call, card: PeerCard, method: str, above: int) -> bytes:
    """Fetch a newer version; empty when there is none, or no answer."""
    try:
        return await call(card, method, above, timeout=FETCH_TIMEOUT_S)
    except PeerError as error:
        # Another peer has it as well, and periodic listings of the store
        # bound the delay.
        _log('not_fetched', peer=card.instance, what=method, reason=str(error))
        return b''
