"""Messages to the routers that keep replicas of where streams began.

The streams that begin while a call is in progress go with the next one, so that
the number of calls does not grow with that of the streams.
"""

import asyncio
import collections
import dataclasses
from functools import partial

from dykemast._internal.exceptions import PeerError
from dykemast._internal.models.streams import ReplicatedStream, StreamBatch
from dykemast._internal.operations.replicated_origins import mark_replicated
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.state.board import Peer, ServingBoard
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import FAST_COMPRESSION, pack

_log = make_logger('streams')


@dataclasses.dataclass
class _Outbox:
    """What has not been sent to one peer yet.

    :param streams: streams by key; the last state of each counts.
    :param ended: keys of streams that ended.
    :param sent: completes with the call that carries them, with whether the
        peer has them.
    :param task: the call in progress; None while there is none.
    """

    streams: dict[str, ReplicatedStream] = dataclasses.field(
        default_factory=dict
    )
    ended: list[str] = dataclasses.field(default_factory=list)
    sent: asyncio.Future[bool] = dataclasses.field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    task: asyncio.Task[bool] | None = None


class StreamOutboxes:
    """Messages to peers, one call to each at a time.

    :param board: shared state of the router.
    :param gossip: calls the peers.
    """

    def __init__(self, board: ServingBoard, gossip: Gossip) -> None:
        """Create it without messages."""
        self._board = board
        self._gossip = gossip
        #: By instance.
        self._outboxes: collections.defaultdict[str, _Outbox] = (
            collections.defaultdict(_Outbox)
        )

    def post(
        self, peer: Peer, stream: ReplicatedStream
    ) -> asyncio.Future[bool]:
        """Send a stream to a peer.

        :param peer: the peer.
        :param stream: the stream.
        :returns: completes when the call ends, with whether the peer has it.
        """
        outbox = self._outboxes[peer.card.instance]
        outbox.streams[stream.key] = stream
        if stream.key in outbox.ended:
            outbox.ended.remove(stream.key)
        sent = outbox.sent
        self._start(peer, outbox)
        return sent

    def post_end(self, peer: Peer, key: str) -> None:
        """Tell a peer that a stream ended, with the next call.

        :param peer: the peer.
        :param key: key of the stream.
        """
        self._outboxes[peer.card.instance].ended.append(key)

    def flush(self) -> None:
        """Send what waits for a next call, and forget peers that are gone."""
        peers = self._board.peers
        for name, outbox in list(self._outboxes.items()):
            if name in peers and outbox.ended:
                self._start(peers[name], outbox)
            elif name not in peers and outbox.task is None:
                self._outboxes.pop(name)

    def _start(self, peer: Peer, outbox: _Outbox) -> None:
        """Send what waits, unless a call is in progress."""
        if outbox.task or not (outbox.streams or outbox.ended):
            return
        batch = StreamBatch(list(outbox.streams.values()), outbox.ended)
        ending = partial(self._end, peer, outbox, outbox.sent)
        outbox.streams = {}
        outbox.ended = []
        outbox.sent = asyncio.get_running_loop().create_future()
        outbox.task = asyncio.create_task(self._send(peer, batch))
        outbox.task.add_done_callback(ending)

    def _end(
        self,
        peer: Peer,
        outbox: _Outbox,
        sent: asyncio.Future[bool],
        task: asyncio.Task[bool],
    ) -> None:
        outbox.task = None
        if task.cancelled():
            sent.cancel()
            return
        error = task.exception()
        if error:
            instance = peer.card.instance
            _log('streams_not_sent', peer=instance, reason=repr(error))
        sent.set_result(error is None and task.result())
        self._start(peer, outbox)

    async def _send(self, peer: Peer, batch: StreamBatch) -> bool:
        body = pack(batch, FAST_COMPRESSION)
        # The peer may have started again since.
        card = self._board.peers.get(peer.card.instance, peer).card
        try:
            await self._gossip.call(card, 'keep_streams', body)
        except PeerError as error:
            _log(
                'streams_not_sent',
                peer=card.instance,
                streams=len(batch.streams),
                reason=str(error),
            )
            return False
        keys = [stream.key for stream in batch.streams]
        mark_replicated(self._board.origins, keys)
        return True
