"""Construction of the sources of tokens."""

from typing import NamedTuple

from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.tokens.ledger_writer import LedgerWriter
from dykemast._internal.serving.tokens.token_search import TokenSearch
from dykemast._internal.serving.tokens.token_source import TokenSource


class Sources(NamedTuple):
    """Sources of tokens.

    :param writer: obtains tokens from the store.
    :param search: obtains tokens from the store and other routers.
    """

    writer: LedgerWriter
    search: TokenSearch


def open_sources(
    board: ServingBoard,
    store: ObjectStore,
    gossip: Gossip,
) -> Sources:
    """Create the sources of tokens.

    :param board: the blackboard.
    :param store: the object store.
    :param gossip: calls other routers.
    :returns: the sources.
    """
    writer = LedgerWriter(board, store)
    source = TokenSource(board, writer, gossip)
    return Sources(writer, TokenSearch(source, writer))
