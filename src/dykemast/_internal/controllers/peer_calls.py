"""Calls that other routers may make to this one."""

from dykemast._internal.controllers.configuration import (
    ConfigurationFollower,
)
from dykemast._internal.controllers.keepers import Keepers
from dykemast._internal.controllers.news import GossipExchange
from dykemast._internal.network import ledger_codec
from dykemast._internal.network.peer_server import PeerCalls
from dykemast._internal.path.parts import Parts


def make_peer_calls(
    parts: Parts,
    keepers: Keepers,
    news: GossipExchange,
    follower: ConfigurationFollower,
) -> PeerCalls:
    """Connect the calls of other routers to the components that serve them.

    :param parts: leases, lending and bills.
    :param keepers: writes intents.
    :param news: handles gossip messages.
    :param follower: serves revisions.
    :returns: the calls.
    """

    async def hold_bills(entries: bytes) -> bool:
        return parts.bills.keep(ledger_codec.decode_intents(entries))

    async def recall(budget: str) -> None:
        parts.leases.recall(budget)

    return PeerCalls(
        exchange=news.handle_gossip,
        commit=keepers.serve,
        lend=parts.lending.lend,
        hold_bills=hold_bills,
        newer_revision=follower.give_newer,
        recall=recall,
    )
