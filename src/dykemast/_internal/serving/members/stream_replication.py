"""Replication of where streams began to other routers.

A router that dies takes what it alone knows with it.
"""

import asyncio
from typing import Final

from dykemast._internal.operations import replicated_origins
from dykemast._internal.serving.knowledge import origin_search
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.members.stream_outboxes import StreamOutboxes
from dykemast._internal.serving.members.stream_replicas import list_replicas
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('streams')

#: Seconds for which the first event of a stream waits for a replica: a part of
#: the delay that users allow for an event.
MAX_WAIT_S: Final = 0.04
#: Seconds between two checks for streams without replicas.
CHECK_INTERVAL_S: Final = 0.5


class StreamReplication:
    """Replicates the origins of this router's streams to other routers.

    :param board: shared state of the router.
    :param gossip: calls the other routers.
    """

    def __init__(self, board: ServingBoard, gossip: Gossip) -> None:
        """Create it; nothing is sent yet."""
        self._board = board
        self._outboxes = StreamOutboxes(board, gossip)

    async def replicate(self, key: str) -> None:
        """Replicate the origin of a stream, and wait a little for one replica.

        :param key: key of the stream.
        """
        sent = self._post(key)
        try:
            for done in asyncio.as_completed(sent, timeout=MAX_WAIT_S):
                if await done:
                    return
        except TimeoutError:
            _log('stream_not_replicated', key=key, replicas=len(sent))

    async def replicate_rest(self) -> None:
        """Replicate what began before there were several versions.

        Runs forever.
        """
        board = self._board
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            # Drops the expired ones, also where nothing is written.
            board.origins.export(read_clock())
            if origin_search.has_several_origins(board):
                for stream in replicated_origins.list_unreplicated(
                    board.origins, read_clock()
                ):
                    self._post(stream.key)
            self._outboxes.flush()

    def record_end(self, key: str) -> None:
        """Tell the replicas of a stream that it ended, with the next call.

        :param key: key of the stream.
        """
        for peer in list_replicas(self._board, key):
            self._outboxes.post_end(peer, key)

    def _post(self, key: str) -> list[asyncio.Future[bool]]:
        """Send a stream to its replicas.

        :returns: for each replica, whether it has the stream.
        """
        board = self._board
        stream = replicated_origins.describe_replica(
            board.origins, key, read_clock()
        )
        if stream is None:
            return []
        peers = list_replicas(board, key)
        return [self._outboxes.post(peer, stream) for peer in peers]
