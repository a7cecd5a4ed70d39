"""What is believed about other routers, from news that lag."""

import math
from typing import Final

from dykemast._internal.blackboard import Blackboard, Fleet, PeerView
from dykemast._internal.models.fleet import PeerCard

#: Seconds without a heartbeat after which a peer is taken for unreachable.
PEER_TIMEOUT: Final = 4.0


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
    """Take in news of a peer; older news changes nothing.

    :param fleet: section of the blackboard, changed in place.
    :param card: the peer's card.
    :param beat: its heartbeat count; counts of one incarnation only grow.
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
    """Note that a peer did not answer; it counts as unreachable for now.

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
    """List the peers that can be expected to answer.

    One that was heard of lately may have ended since: the platform drops an
    instance from its list only then, and nobody calls it any more to find out.

    :param fleet: section of the blackboard.
    :param now: seconds.
    :returns: their cards.
    """
    return [
        view.card
        for name, view in fleet.peers.items()
        if now - view.heard_at < PEER_TIMEOUT
        and name not in fleet.missing_since
    ]


def list_cards(board: Blackboard, now: float) -> list[PeerCard]:
    """List this router and the peers that can be expected to answer.

    :param board: the blackboard.
    :param now: seconds.
    :returns: their cards, this router's own first.
    """
    return [make_card(board), *list_peers(board.fleet, now)]


def list_owners(board: Blackboard, now: float) -> list[str]:
    """List the routers over which duties are spread.

    :param board: the blackboard.
    :param now: seconds.
    :returns: instance ids, this router's own among them unless it stops.
    """
    cards = list_cards(board, now)
    staying = [card.instance for card in cards if not card.leaving]
    return staying or [board.settings['instance']]
