"""Reachability of other routers, from messages that may be late."""

import math
from typing import Final

from dykemast._internal.blackboard import Blackboard, Fleet, PeerView
from dykemast._internal.models.fleet import PeerCard

#: Seconds without a heartbeat after which a peer counts as unreachable.
PEER_TIMEOUT_S: Final = 4.0


def make_card(board: Blackboard) -> PeerCard:
    """Describe this router for its peers.

    :param board: the blackboard.
    :returns: its card.
    """
    settings = board.settings
    revision = board.rules.revision
    return PeerCard(
        instance=settings['instance'],
        incarnation=board.incarnation,
        hall=settings['hall'],
        host=settings['host'],
        caller_port=settings['caller_port'],
        peer_port=settings['peer_port'],
        revision=revision.number if revision else 0,
        inflight=board.traffic.inflight,
        leaving=board.traffic.leaving,
    )


def record_card(fleet: Fleet, card: PeerCard, beat: int, now: float) -> None:
    """Record the card of a peer, unless a newer one is known.

    :param fleet: section of the blackboard, changed in place.
    :param card: the peer's card.
    :param beat: its heartbeat count, which only grows for one incarnation.
    :param now: seconds.
    """
    known = fleet.peers.get(card.instance)
    if known and known.card.incarnation == card.incarnation:
        if beat <= known.beat:
            return
    elif known and _is_superseded(fleet, card):
        return
    fleet.peers[card.instance] = PeerView(card, beat, now)


def mark_unreachable(fleet: Fleet, instance: str) -> None:
    """Mark a peer that did not answer as unreachable until its next heartbeat.

    :param fleet: section of the blackboard, changed in place.
    :param instance: the peer's instance id.
    """
    view = fleet.peers.get(instance)
    if view:
        view.heard_at = -math.inf


def _is_superseded(fleet: Fleet, card: PeerCard) -> bool:
    newest = fleet.incarnations.get(card.instance)
    return newest is not None and newest != card.incarnation


def list_peers(fleet: Fleet, now: float) -> list[PeerCard]:
    """List the reachable peers.

    A peer with a recent heartbeat may have ended since. The platform removes
    an instance from its list only after it ended, and routers do not call it
    any more, so a missing entry is the only sign.

    :param fleet: section of the blackboard.
    :param now: seconds.
    :returns: their cards.
    """
    return [
        view.card
        for name, view in fleet.peers.items()
        if now - view.heard_at < PEER_TIMEOUT_S
        and name not in fleet.missing_since
    ]


def list_cards(board: Blackboard, now: float) -> list[PeerCard]:
    """List this router and the reachable peers.

    :param board: the blackboard.
    :param now: seconds.
    :returns: their cards, this router's own first.
    """
    return [make_card(board), *list_peers(board.fleet, now)]


def list_owners(board: Blackboard, now: float) -> list[str]:
    """List the routers that may own keys.

    :param board: the blackboard.
    :param now: seconds.
    :returns: instance ids of routers that are not stopping, or only this
        router's own if there is none.
    """
    cards = list_cards(board, now)
    staying = [card.instance for card in cards if not card.leaving]
    return staying or [board.settings['instance']]
