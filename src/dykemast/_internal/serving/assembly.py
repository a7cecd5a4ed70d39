"""Parts of the program, put together."""

from typing import NamedTuple

from dykemast._internal.network.platform_session import PlatformSession
from dykemast._internal.operations.allowance_terms import Identity
from dykemast._internal.operations.server_trust import ServerTrust
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.budget_upkeep import Upkeep
from dykemast._internal.serving.budgets import Budgets
from dykemast._internal.serving.gossip import Gossip
from dykemast._internal.serving.ledger_writer import LedgerWriter
from dykemast._internal.serving.loads import make_loads
from dykemast._internal.serving.meters import make_meters
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.peer_news import NewsDesk
from dykemast._internal.serving.token_search import TokenSearch
from dykemast._internal.serving.upstream import Upstreams


class Assembly(NamedTuple):
    """All parts of the program.

    :param parts: those that requests need.
    :param upkeep: those that budgets need.
    :param session: transport to the object store.
    :param store: the object store.
    :param desk: news of this router.
    :param gossip: exchange of news.
    """

    parts: Parts
    upkeep: Upkeep
    session: PlatformSession
    store: ObjectStore
    desk: NewsDesk
    gossip: Gossip


def assemble(board: ServingBoard) -> Assembly:
    """Put the parts together; nothing runs yet.

    :param board: the blackboard.
    :returns: the parts.
    """
    session = PlatformSession(f'http://{board.settings.store}')
    store = ObjectStore(session)
    loads = make_loads()
    desk = NewsDesk(board, loads)
    gossip = Gossip(board, desk)
    writer = LedgerWriter(board, store)
    search = TokenSearch(board, writer, gossip)
    identity = Identity(board.settings.name, board.incarnation)
    budgets = Budgets(identity, search)
    parts = Parts(
        board=board,
        budgets=budgets,
        loads=loads,
        trust=ServerTrust(),
        retries={},
        upstreams=Upstreams(),
        meters=make_meters(),
    )
    upkeep = Upkeep(board, store, budgets, writer, search)
    return Assembly(parts, upkeep, session, store, desk, gossip)
