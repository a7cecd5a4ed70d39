"""Which part of a router is given which others."""

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
    """Parts of a router.

    :param parts: what requests meet.
    :param sessions: with everybody else.
    :param keepers: way to the shards.
    :param news: exchange with other routers.
    :param follower: brings configurations into force.
    :param store: revisions.
    """

    parts: Parts
    sessions: sessions.Sessions
    keepers: keepers.Keepers
    news: news.News
    follower: configuration.ConfigurationFollower
    store: RevisionStore

    def list_loops(self) -> list[Callable[[], Any]]:
        """List the loops that a router runs.

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
        """List what other routers may call.

        :returns: the calls.
        """
        return make_peer_calls(
            self.parts, self.keepers, self.news, self.follower
        )


def assemble(board: Blackboard, chance: random.Random) -> Assembly:
    """Put a router together; nothing runs yet.

    :param board: the blackboard.
    :param chance: source of randomness.
    :returns: its parts.
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
        news=news.News(board, opened.peers),
        follower=configuration.ConfigurationFollower(
            board, store, opened.peers
        ),
        store=store,
    )
