"""Wiring of the program's parts."""

from functools import partial
from typing import NamedTuple

from dykemast._internal.network.platform_session import PlatformSession
from dykemast._internal.operations.allowance_terms import Identity
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.knowledge.origin_search import OriginSearch
from dykemast._internal.serving.knowledge.store_answers import make_era_check
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.tokens.budgets import Budgets
from dykemast._internal.serving.state.loads import Loads, make_loads
from dykemast._internal.serving.tokens.upkeep import Upkeep
from dykemast._internal.serving.parts import Parts, make_parts
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.members.gossip_messages import GossipMessages
from dykemast._internal.serving.members.stream_replicas import (
    ask_broken,
    ask_replicas,
)
from dykemast._internal.serving.members.stream_replication import (
    StreamReplication,
)
from dykemast._internal.serving.tokens.ledger_writer import LedgerWriter
from dykemast._internal.serving.tokens.token_search import TokenSearch
from dykemast._internal.serving.tokens.token_source import TokenSource


class PeerLinks(NamedTuple):
    """Objects that connect a router with others.

    :param messages: builds and applies gossip messages.
    :param gossip: calls other routers.
    """

    messages: GossipMessages
    gossip: Gossip


class Assembly(NamedTuple):
    """All parts of the program.

    :param parts: parts that serve requests.
    :param upkeep: parts that maintain budgets.
    :param links: connections to other routers.
    """

    parts: Parts
    upkeep: Upkeep
    links: PeerLinks


def assemble(board: ServingBoard) -> Assembly:
    """Wire the parts together, without starting any.

    :param board: the blackboard.
    :returns: the parts.
    """
    store = _open_store(board)
    loads = make_loads()
    links = _link_peers(board, loads)
    upkeep = _make_upkeep(board, store, links)
    parts = make_parts(
        board,
        upkeep.budgets,
        loads,
        StreamReplication(board, links.gossip),
        _make_search(board, store, links.gossip),
    )
    return Assembly(parts, upkeep, links)


def _open_store(board: ServingBoard) -> ObjectStore:
    endpoint = board.settings.store
    session = PlatformSession(f'http://{endpoint}')
    return ObjectStore(session, make_era_check(board))


def _make_upkeep(
    board: ServingBoard,
    store: ObjectStore,
    links: PeerLinks,
) -> Upkeep:
    writer = LedgerWriter(board, store)
    source = TokenSource(board, writer, links.gossip)
    search = TokenSearch(source, writer)
    identity = Identity(board.settings.name, board.incarnation)
    budgets = Budgets(identity, search)
    return Upkeep(board, store, budgets, writer, search)


def _make_search(
    board: ServingBoard, store: ObjectStore, gossip: Gossip
) -> OriginSearch:
    return OriginSearch(
        board,
        store,
        partial(ask_replicas, board, gossip),
        partial(ask_broken, board, gossip),
    )


def _link_peers(board: ServingBoard, loads: Loads) -> PeerLinks:
    """Make the objects that connect routers; no connection is opened yet."""
    messages = GossipMessages(board, loads)
    return PeerLinks(messages, Gossip(board, messages))
