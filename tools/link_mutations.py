"""Rules on links to servers and on brittle servers, broken on purpose."""

from typing import Final

from tools.mutation import Mutation

_INTERNAL: Final = 'dykemast/_internal'
_SENDING: Final = f'{_INTERNAL}/serving/sending'

#: Mutations of these rules.
LINK_MUTATIONS: Final = (
    Mutation(
        'never take all links of a service for broken',
        'callers of routers without links are served',
        f'{_INTERNAL}/operations/server_links.py',
        'needed = 1 if self.isolated_since else min(MIN_BROKEN_LINKS, listed)',
        'needed = MIN_BROKEN_LINKS + listed',
        'test_server_links',
    ),
    Mutation(
        'ask no peer when a connection fails',
        'callers of routers without links are served',
        f'{_SENDING}/upstream_connections.py',
        'tunnel = await self._replace_link(outgoing, error)',
        'raise _make_unconnected(error, absent=False) from error',
        'test_callers_of_a_router_whose_links_are_refused',
    ),
    Mutation(
        'ask a peer that paused only once',
        'callers of routers without links are served',
        f'{_SENDING}/peer_tunnels.py',
        'return None, silent',
        'return None, []',
        'test_a_peer_that_pauses',
    ),
    Mutation(
        'never return to a server whose link broke',
        'callers of routers without links are served',
        f'{_INTERNAL}/serving/relay/attempts.py',
        'return await find_survivor(exchange, list_survivors)',
        'return None',
        'test_streams_return_to_the_only_server',
    ),
    Mutation(
        'be ready before the crashes are read',
        'a router is ready only when it can serve',
        f'{_INTERNAL}/serving/process/entry.py',
        'if not (has_read and is_crash_table_current(board)):',
        'if not has_read:',
        'test_a_router_that_has_not_read_the_crashes',
    ),
    Mutation(
        'believe each refusal of a connection',
        'sound servers are not told as crashed',
        f'{_SENDING}/tunnel_targets.py',
        'if await direct_links.has_other_link(board, server):',
        'if server:',
        'test_a_refusal_says',
    ),
    Mutation(
        'let each router fill a brittle server',
        'brittle servers reject few requests',
        f'{_INTERNAL}/operations/shared_rate_limiter.py',
        'share = slots // len(routers) + int(rank < remainder)',
        'share = slots + remainder',
        'test_slot_shares',
    ),
    Mutation(
        'exceed the share whatever peers report',
        'brittle servers reject few requests',
        f'{_SENDING}/send_checks.py',
        'if running < FREE_SHARE * server.slots:',
        'if running >= 0:',
        'test_brittle_servers_reject_few',
    ),
    Mutation(
        'check suspected links as briefly as others',
        'callers of a router without links are served',
        f'{_SENDING}/direct_links.py',
        'LONG_STAY_S: Final = 0.5',
        'LONG_STAY_S: Final = 0.05',
        'test_callers_are_served_though_links_that_open_are_reset_later',
    ),
    Mutation(
        'read bytes that are no part of a body without end',
        'a response without end is closed',
        f'{_SENDING}/server_connections.py',
        'if self._framing_bytes > MAX_FRAMING_BYTES:',
        'if self._framing_bytes < 0:',
        'test_a_later_chunk_extension_without_end',
    ),
    Mutation(
        'hold as many long responses as arrive',
        'a response without end is closed',
        f'{_SENDING}/upstream_response.py',
        'if self.held + size > MAX_BUFFERED_BYTES:',
        'if size > MAX_BUFFERED_BYTES:',
        'test_many_bodies_without_end',
    ),
)
