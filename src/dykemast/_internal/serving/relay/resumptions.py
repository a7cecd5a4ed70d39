"""Versions of the servers at which streams begin and may go on."""

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.streams import UNCERTAIN, Origin
from dykemast._internal.operations.stream_origins import (
    StreamOrigins,
    make_stream_key,
)
from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.knowledge import (
    cache_freshness,
    origin_search,
    server_versions,
)
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')


class StreamVersion:
    """The version that writes one stream.

    :param parts: shared components of the process.
    :param admitted: the request that begins or resumes the stream.
    """

    def __init__(self, parts: Parts, admitted: AdmittedRequest) -> None:
        """Create it for a stream that has no event of this request yet."""
        self._board = parts.board
        self._replicas = parts.replicas
        self._search = parts.origins
        self._is_resumable = admitted.route.resumable
        self._services = [share.service for share in admitted.route.shares]
        self._service = admitted.service.name
        self._deadline = admitted.deadline
        self._key = _find_stream_key(admitted)
        #: Whether the last event was delivered.
        self.is_whole = False

    async def find(self) -> str:
        """Find the version of the servers that may write the next events.

        :returns: the version that wrote the events before.
        :raises RefusedError: when it is not known.
        """
        origin = self._board.origins.find(self._key)
        if origin is None:
            raise RefusedError(RefusalCode.version_unknown)
        await self._search.confirm_servers(origin)
        if self._board.origins.find(self._key) != origin:
            raise RefusedError(RefusalCode.version_unknown)
        return origin.version

    async def confirm_servers(self, version: str) -> None:
        """Find out whether the servers that may write it were started again.

        :param version: the version that wrote the events before.
        """
        await self._search.confirm_servers(Origin(self._service, version))

    def record(self, server: BackendServer) -> None:
        """Record the server that writes the first event, or the next one.

        :param server: the server, as it was listed when it was chosen.
        """
        if not server_versions.is_version_certain(self._board, server):
            return
        origin = Origin(server.service, server.version)
        self._board.origins.record(
            self._key, origin, self._deadline, server.name
        )

    def check_server(self, server: BackendServer) -> None:
        """Check that the server that resumes the stream is of its version.

        What answers after a crash may be its next process, of another one.

        :param server: the server, as it was listed when it was chosen.
        :raises UpstreamError: if it crashed, or its entry changed.
        """
        if not server_versions.is_version_certain(self._board, server):
            text = f'server {server.name} may not run {server.version} any more'
            raise UpstreamError(text, sent=True)

    async def replicate(self, server: BackendServer) -> None:
        """Record the server that writes the first event, also at other routers.

        Where a stream of the route can only be of one version, no other router
        has to know.

        :param server: the server, as it was listed when it was chosen.
        """
        self.record(server)
        if self._is_resumable and origin_search.is_ambiguous(
            self._board, self._services
        ):
            await self._replicas.replicate(self._key)

    def end_send(self) -> None:
        """Record that no server writes the stream to this router any more."""
        if self._board.origins.end_send(
            self._key, read_clock(), whole=self.is_whole
        ):
            self._replicas.record_end(self._key)


async def restrict_resumption(
    exchange: Exchange, search: origin_search.OriginSearch
) -> Exchange:
    """Restrict a stream that its caller takes up to the version that began it.

    :param exchange: the request.
    :param search: finds where the stream began.
    :returns: the request; unchanged unless it resumes a stream.
    :raises RefusedError: when the version is not known, or no longer allowed.
    """
    request = exchange.admitted.request
    if not (request.last_event_id or request.first_request_id):
        return exchange
    key = (
        _find_stream_key(exchange.admitted) if request.first_request_id else ''
    )
    services = [share.service for share in exchange.admitted.route.shares]
    origin, how = await search.find(key, services)
    _log(
        'stream_taken_up',
        request=request.request_id,
        first_request=request.first_request_id,
        version=origin.version if origin else None,
        known_by=how,
        # A server that the list does not name yet may be of another version.
        servers_age_s=round(
            cache_freshness.compute_age(exchange.parts.board, SERVER_KIND), 3
        ),
    )
    if origin is None:
        if not request.last_event_id:
            return _begin_new_stream(exchange)
        raise _refuse_unknown(exchange)
    await search.confirm_servers(origin)
    if key and _is_uncertain(exchange.parts.board.origins, key):
        raise _refuse_unknown(exchange)
    return _restrict(exchange, origin, services)


def _is_uncertain(origins: StreamOrigins, key: str) -> bool:
    """Tell whether the origin of a stream is known to be uncertain."""
    return any(
        key in table and table[key].origin == UNCERTAIN
        for table in (origins.entries, origins.found)
    )


def _begin_new_stream(exchange: Exchange) -> Exchange:
    """Take a request for the first one of its stream.

    Its caller has no event, so that any version may begin the stream, and names
    this request when it takes the stream up.
    """
    admitted = exchange.admitted
    request = admitted.request._replace(first_request_id='')
    return exchange._replace(admitted=admitted._replace(request=request))


def _find_stream_key(admitted: AdmittedRequest) -> str:
    """Compute the key of the stream that a request begins or resumes.

    :param admitted: the request.
    :returns: the key.
    """
    workspace = admitted.workspace.name if admitted.workspace else ''
    request = admitted.request
    return make_stream_key(
        workspace, request.first_request_id or request.request_id
    )


def _restrict(
    exchange: Exchange, origin: Origin, services: list[str]
) -> Exchange:
    board, admitted = exchange.parts.board, exchange.admitted
    table = board.table
    if table is None or origin.service not in services:
        details = {'began_at': origin.service, 'services': services}
        raise RefusedError(RefusalCode.no_server, details)
    return exchange._replace(
        admitted=admitted._replace(
            service=table.services[origin.service],
            server_version=origin.version,
        )
    )


def _refuse_unknown(exchange: Exchange) -> RefusedError:
    board, admitted = exchange.parts.board, exchange.admitted
    exchange.parts.metrics.resumed_streams.inc({'by': 'unknown'})
    services = [share.service for share in admitted.route.shares]
    origins = origin_search.list_origins(board, services)
    return RefusedError(
        RefusalCode.version_unknown,
        {
            'first_request': admitted.request.first_request_id,
            'versions': sorted({one.version for one in origins}),
            'history_read': board.versions.is_complete,
        },
    )
