"""Rules of large fleets on the users' platform, each broken on purpose."""

from typing import Final

from tools.mutation import Mutation

_INTERNAL: Final = 'dykemast/_internal'
_OTHERS_CARRY_MORE: Final = 'return has_free_peer(board)'
_RESERVE: Final = (
    'return 0 if urgent or is_large(self._board) else URGENT_RESERVE'
)

#: Mutations of these rules.
FLEET_MUTATIONS: Final = (
    Mutation(
        'drop entries that lapsed while the store was away',
        'servers that live are known',
        f'{_INTERNAL}/serving/knowledge/backends.py',
        'if gap < AWAY_GAP or name in board.leaving:',
        'if gap >= 0:',
        'test_server_lists',
    ),
    Mutation(
        'keep lapsed entries for ever',
        'servers that are gone get nothing',
        f'{_INTERNAL}/serving/knowledge/backends.py',
        'if until < now]',
        'if until < 0]',
        'test_server_lists',
    ),
    Mutation(
        'take an older list from a peer',
        'knowledge never goes back',
        f'{_INTERNAL}/serving/knowledge/server_lists.py',
        'if listing.revision > board.server_state.revision:',
        'if listing.revision:',
        'test_server_lists',
    ),
    Mutation(
        'let every router watch',
        'calls to the store stay few',
        f'{_INTERNAL}/serving/knowledge/followers.py',
        '[:MAX_WATCHERS]',
        '',
        'test_server_lists',
    ),
    Mutation(
        'tell callers of routers that get too much',
        'callers reach routers that carry them',
        f'{_INTERNAL}/operations/entry_choice.py',
        'if not one.strain.is_exceeded()] or options',
        '] or options',
        'test_entry_choice',
    ),
    Mutation(
        'tell callers of all weak routers',
        'callers reach routers that carry them',
        f'{_INTERNAL}/operations/entry_choice.py',
        'return sample(weak, min(wanted, most - strong, len(weak)))',
        'return sample(weak, min(most - strong, len(weak)))',
        'test_entry_choice',
    ),
    Mutation(
        'close connections though all get too much',
        'no work without use',
        f'{_INTERNAL}/serving/members/strain.py',
        _OTHERS_CARRY_MORE,
        'return True',
        'test_entry_choice',
    ),
    Mutation(
        'keep callers though others carry more',
        'callers reach routers that carry them',
        f'{_INTERNAL}/serving/members/strain.py',
        _OTHERS_CARRY_MORE,
        'return False',
        'test_entry_choice',
    ),
    Mutation(
        'believe relayed loads to be new',
        'loads are as old as they are',
        f'{_INTERNAL}/operations/peer_loads.py',
        'self.take(one.instance, one.loads, now - one.age)',
        'self.take(one.instance, one.loads, now)',
        'test_large_fleet',
    ),
    Mutation(
        'let relayed loads replace newer ones',
        'loads are as old as they are',
        f'{_INTERNAL}/operations/peer_loads.py',
        'if known is None or known.at < now:',
        'if True:',
        'test_large_fleet',
    ),
    Mutation(
        'never try a silent peer',
        'routers that are back are met',
        f'{_INTERNAL}/serving/members/gossip_partners.py',
        'count = max(1, room)',
        'count = max(0, room)',
        'test_large_fleet',
    ),
    Mutation(
        'believe for ever that a server is absent',
        'servers that live are used',
        f'{_INTERNAL}/operations/absent_servers.py',
        'return self._until.get(server, 0) > now',
        'return server in self._until',
        'test_large_fleet',
    ),
    Mutation(
        'count a server that is not there as a send',
        'no refusal while servers have room',
        f'{_INTERNAL}/serving/relay/retries.py',
        'if error.unconnected or error.absent:',
        'if error.unconnected:',
        'test_a_server_that_is_not_there',
    ),
    Mutation(
        'keep a reserve at each router of a large fleet',
        'tokens are usable',
        f'{_INTERNAL}/serving/tokens/budgets.py',
        _RESERVE,
        'return 0 if urgent else URGENT_RESERVE',
        'test_loans',
    ),
    Mutation(
        'keep no reserve anywhere',
        'urgent requests find tokens',
        f'{_INTERNAL}/serving/tokens/budgets.py',
        _RESERVE,
        'return 0',
        'test_loans',
    ),
    Mutation(
        'ask any routers for tokens',
        'tokens are usable',
        f'{_INTERNAL}/serving/tokens/loans.py',
        'lenders.sort(key=lambda card: -spare[card.instance])',
        'lenders.sort(key=id)',
        'test_loans',
    ),
    Mutation(
        'write an empty budget for each request',
        'calls to the store stay few',
        f'{_INTERNAL}/serving/tokens/accounts.py',
        'return read_clock() > self.written_at + EMPTY_TIME',
        'return True',
        'test_loans',
    ),
    Mutation(
        'forget that a smaller request was refused',
        'no search without use',
        f'{_INTERNAL}/serving/tokens/token_search.py',
        'if account.is_short_of(tokens):\n        # Fewer',
        'if account.is_short_of(-1):\n        # Fewer',
        'test_token_search',
    ),
    Mutation(
        'wait for tokens as long as the search takes',
        'a refusal comes at once',
        f'{_INTERNAL}/serving/tokens/token_search.py',
        'await asyncio.wait((search,), timeout=max(0, left))',
        'await asyncio.wait((search,))',
        'test_token_search',
    ),
    Mutation(
        'serve on when the caller has left',
        'nothing goes on for callers who left',
        f'{_INTERNAL}/serving/requests/responder.py',
        'serving.cancel()',
        'serving.done()',
        'test_a_request_that_waits',
    ),
    Mutation(
        'renew and close leases out of order',
        'leases are given back',
        f'{_INTERNAL}/controllers/lease_renewals.py',
        'async with self._turn:\n            await self._renew()',
        'await self._renew()',
        'test_lease_renewals',
    ),
)
