"""Rules on the versions of servers and streams, broken on purpose."""

from typing import Final

from tools.mutation import Mutation

_INTERNAL: Final = 'dykemast/_internal'
_KNOWLEDGE: Final = f'{_INTERNAL}/serving/knowledge'
_ONE_VERSION: Final = 'a stream goes on at the version that began it'
_GOES_ON: Final = 'a stream goes on whose router is lost'

#: Mutations of these rules.
VERSION_MUTATIONS: Final = (
    Mutation(
        'go on at any server inside one answer',
        _ONE_VERSION,
        f'{_INTERNAL}/serving/relay/event_streams.py',
        'self._attempts.restrict(await self._version.find())',
        'await self._version.find()',
        'test_a_stream_whose_server_breaks_off',
    ),
    Mutation(
        'let callers take streams up at any server',
        _ONE_VERSION,
        f'{_INTERNAL}/serving/relay/resumptions.py',
        'server_version=origin.version,',
        'server_version=None,',
        'test_a_stream_taken_up_at_another_router',
    ),
    Mutation(
        'store no streams',
        'streams go on after a loss of all routers',
        f'{_KNOWLEDGE}/stream_writes.py',
        'await writer.write()',
        'writer.is_behind()',
        'test_streams_go_on_at_their_versions_after_a_loss',
    ),
    Mutation(
        'forget which versions a service had before the start',
        _ONE_VERSION,
        f'{_KNOWLEDGE}/version_records.py',
        'board.versions.record(found.name, versions, read_clock())',
        'read_clock()',
        'test_streams_do_not_go_on_at_a_version_that_replaces',
    ),
    Mutation(
        'believe the entry of a server that crashed',
        _ONE_VERSION,
        f'{_KNOWLEDGE}/server_versions.py',
        'if server.name in board.crashes.crashes:',
        'if not server.name:',
        'test_a_server_that_crashed_is_of_no_certain_version',
    ),
    Mutation(
        'keep the version of streams whose server was replaced',
        _ONE_VERSION,
        f'{_INTERNAL}/operations/stream_origins.py',
        'key for key, one in table.items() if one.server == server',
        'key for key, one in table.items() if one.server is None',
        'test_origin_search',
    ),
    Mutation(
        'let a request of another workspace name a stream',
        'a caller learns nothing of others',
        f'{_INTERNAL}/operations/stream_origins.py',
        'for text in (workspace, request_id):',
        'for text in (request_id,):',
        'test_stream_origins',
    ),
    Mutation(
        'pass the first event on before another router knows the stream',
        _GOES_ON,
        f'{_INTERNAL}/serving/relay/resumptions.py',
        'await self._replicas.replicate(self._key)',
        'return',
        'test_streams_that_just_began',
    ),
    Mutation(
        'wait for replicas as long as a peer is silent',
        _GOES_ON,
        f'{_INTERNAL}/serving/members/stream_replication.py',
        'asyncio.as_completed(sent, timeout=MAX_WAIT_S)',
        'asyncio.as_completed(sent)',
        'test_a_silent_replica',
    ),
    Mutation(
        'believe a replica of a stream whose server is of another version',
        _ONE_VERSION,
        f'{_KNOWLEDGE}/stream_replicas.py',
        'if started and started.version != stream.origin.version:',
        'if not stream:',
        'test_a_replica_is_uncertain',
    ),
    Mutation(
        'write again what was read in the store',
        'records of streams expire',
        f'{_INTERNAL}/operations/stream_origins.py',
        'is_exported: bool = False,',
        'is_exported: bool = True,',
        'test_what_was_read',
    ),
    Mutation(
        'find in the store what its router has forgotten',
        _ONE_VERSION,
        f'{_INTERNAL}/operations/stream_origins.py',
        'if known and UNCERTAIN not in known else None',
        'if known else None',
        'test_forgotten_origins',
    ),
    Mutation(
        'resume a stream where sends have just broken',
        _ONE_VERSION,
        f'{_KNOWLEDGE}/server_versions.py',
        'return len(list_versions(board, server.service)) <= 1',
        'return True',
        'test_resumed_streams',
    ),
    Mutation(
        'pass on what a crashed server resumes',
        _ONE_VERSION,
        f'{_INTERNAL}/serving/relay/event_streams.py',
        'if send.event_at is None and outgoing.resumes_stream():',
        'if send.event_at:',
        'test_resumed_streams',
    ),
    Mutation(
        'report no broken sends to other routers',
        _ONE_VERSION,
        f'{_KNOWLEDGE}/server_lists.py',
        '*board.broken.times.list_recent(read_clock()),',
        '',
        'test_resumed_streams',
    ),
    Mutation(
        'take no answer for a sound server',
        _ONE_VERSION,
        f'{_INTERNAL}/serving/members/stream_replicas.py',
        'return set().union(*reports) if reports else None',
        'return set().union(*reports)',
        'test_restart_reports',
    ),
)
