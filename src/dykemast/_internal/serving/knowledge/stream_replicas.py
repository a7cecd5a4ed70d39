"""Replicas of where the streams of other routers began."""

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.streams import (
    UNCERTAIN,
    ReplicatedStream,
    StreamBatch,
)
from dykemast._internal.operations.replicated_origins import (
    describe_replica,
    keep_found,
    keep_replica,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import pack, unpack

_log = make_logger('streams')


def keep_replicas(board: ServingBoard, body: bytes) -> int:
    """Keep replicas of the origins of streams that another router serves.

    :param board: shared state of the router.
    :param body: the packed batch.
    :returns: number of streams; 0 if it is invalid, which is logged.
    """
    try:
        batch = unpack(body, StreamBatch)
    except InvalidDataError as error:
        _log('streams_not_usable', name='peer', reason=str(error))
        return 0
    now = read_clock()
    for stream in batch.streams:
        keep_replica(board.origins, _check_version(board, stream), now)
    for key in batch.ended:
        board.origins.end_send(key, now, whole=True)
    return len(batch.streams)


def encode_stream(board: ServingBoard, key: str) -> bytes:
    """Encode the origin of a stream for another router.

    :param board: shared state of the router.
    :param key: key of the stream.
    :returns: the packed streams; none if it is not known.
    """
    stream = describe_replica(board.origins, key, read_clock())
    return pack([stream] if stream else [])


def apply_found(board: ServingBoard, body: bytes) -> bool:
    """Apply the origin of a stream that another router was asked for.

    :param board: shared state of the router.
    :param body: the packed streams.
    :returns: whether the other router knew it, or that it is not certain.
    """
    try:
        streams = unpack(body, list[ReplicatedStream])
    except InvalidDataError as error:
        _log('streams_not_usable', name='peer', reason=str(error))
        return False
    for stream in streams:
        found = _check_version(board, stream)
        keep_found(board.origins, found, read_clock())
    return bool(streams)


def _check_version(
    board: ServingBoard, stream: ReplicatedStream
) -> ReplicatedStream:
    """Check that the server of a stream is listed at the version that began it.

    Otherwise its entry changed, which the other router may not have heard.

    :returns: the stream; without a certain origin if the versions differ.
    """
    # The name of an incarnation is the id of its server, or begins with it.
    for server_id in (stream.server, stream.server.rpartition('/')[0]):
        started = board.server_starts.get(server_id)
        if started and started.version != stream.origin.version:
            return stream._replace(origin=UNCERTAIN)
    return stream
