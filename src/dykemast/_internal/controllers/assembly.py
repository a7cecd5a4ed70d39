"""Composition of a router."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.controllers import (
    configuration,
    instances,
    keepers,
    load_reports,
    news,
    reclaims,
    request_parts,
    sessions,
)
from dykemast._internal.controllers.ledger_kinds import make_kinds
from dykemast._internal.controllers.peer_calls import make_peer_calls
from dykemast._internal.controllers.retention import Retention
from dykemast._internal.network.revision_store import RevisionStore
from dykemast._internal.path.parts import Parts


class Assembly(NamedTuple):
    """Components of a router.

    :param parts: shared components of the requests.
    :param sessions: connections to other processes.
    :param keepers: access to the shards.
    :param news: gossip with other routers.
    :param follower: applies new configurations.
    :param store: store of configuration revisions.
    """

    parts: Parts
    sessions: sessions.Sessions
    keepers: keepers.Keepers
    news: news.GossipExchange
    follower: configuration.ConfigurationFollower
    store: RevisionStore

    def list_loops(self) -> list[Callable[[], Any]]:
        """List the background loops of a router.

        :returns: functions that run until cancelled.
        """
        board = self.parts.board
        platform = self.sessions.platform
        return [
            self.parts.leases.run,
            self.parts.bills.run,
            instances.InstanceLister(board, platform).run,
            self.news.run,
            self.follower.follow_platform,
            self.follower.follow_peers,
            load_reports.LoadReader(board, self.sessions.backends).run,
            reclaims.Reclaims(
                board, platform, self.keepers, self.parts.leases
            ).run,
            Retention(board, platform, self.keepers).run,
        ]

    def list_peer_calls(self) -> Any:
        """Make the calls that other routers may make.

        :returns: the calls.
        """
        return make_peer_calls(
            self.parts, self.keepers, self.news, self.follower
        )


def assemble(board: Blackboard, chance: random.Random) -> Assembly:
    """Make the components of a router without starting any.

    :param board: shared state of the router.
    :param chance: source of randomness.
    :returns: the components.
    """
    opened = sessions.open_sessions(board.settings)
    window = board.settings.get('retry_window', 0)
    kinds = make_kinds(opened.platform, window)
    ways = keepers.Keepers(board, opened.peers, kinds)
    store = RevisionStore(opened.platform)
    return Assembly(
        parts=request_parts.make_parts(board, opened, ways, chance),
        sessions=opened,
        keepers=ways,
        news=news.GossipExchange(board, opened.peers),
        follower=configuration.ConfigurationFollower(
            board, store, opened.peers
        ),
        store=store,
    )
