"""Wiring of the program's parts."""

from typing import NamedTuple

from dykemast._internal.network.platform_session import PlatformSession
from dykemast._internal.operations.allowance_terms import Identity
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.tokens.budgets import Budgets
from dykemast._internal.serving.state.loads import make_loads
from dykemast._internal.serving.tokens.upkeep import Upkeep
from dykemast._internal.serving.parts import Parts, make_parts
from dykemast._internal.serving.members.peer_links import PeerLinks, link_peers
from dykemast._internal.serving.tokens.budget_parts import open_sources


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
    endpoint = board.settings.store
    store = ObjectStore(PlatformSession(f'http://{endpoint}'))
    loads = make_loads()
    links = link_peers(board, loads)
    upkeep = _make_upkeep(board, store, links)
    return Assembly(make_parts(board, upkeep.budgets, loads), upkeep, links)


def _make_upkeep(
    board: ServingBoard,
    store: ObjectStore,
    links: PeerLinks,
) -> Upkeep:
    sources = open_sources(board, store, links.gossip)
    identity = Identity(board.settings.name, board.incarnation)
    budgets = Budgets(board, identity, sources.search)
    return Upkeep(board, store, budgets, sources.writer, sources.search)
