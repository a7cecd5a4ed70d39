"""Rules on halls, cold servers and stranded budgets, broken on purpose."""

from typing import Final

from tools.mutation import Mutation

_INTERNAL: Final = 'dykemast/_internal'

#: Mutations of these rules.
HALL_MUTATIONS: Final = (
    Mutation(
        'send to halls that are being emptied',
        'a hall that is emptied gets nothing new',
        f'{_INTERNAL}/serving/knowledge/backends.py',
        'if server.hall not in board.evacuations.halls',
        'if server.hall not in board.leaving',
        'test_halls',
    ),
    Mutation(
        'take older word of halls that are emptied',
        'a hall that is emptied gets nothing new',
        f'{_INTERNAL}/serving/knowledge/evacuations.py',
        'return received.position > known.position',
        'return True',
        'test_halls',
    ),
    Mutation(
        'send to a cold server at any time',
        'a cold server gets no more than it bears',
        f'{_INTERNAL}/operations/shared_rate_limiter.py',
        'wait = max(0, sent_at + share.interval - now)',
        'wait = 0 if share.interval < now else sent_at',
        'test_cold_fuzz',
    ),
    Mutation(
        'let a shorter rest replace a longer one',
        'a server that asks for rest is left alone',
        f'{_INTERNAL}/operations/backpressure_state.py',
        'max(\n'
        '            until, self.backoff_until.get(server, until)\n'
        '        )',
        'until',
        'test_send_checks',
    ),
    Mutation(
        'send what was chosen before a server asked for rest',
        'a server that asks for rest is left alone',
        f'{_INTERNAL}/serving/sending/send_checks.py',
        'if board.backpressure.get_backoff(name, read_clock()):',
        'if board.backpressure.get_backoff(name, math.inf):',
        'test_send_checks',
    ),
    Mutation(
        'write a request without a last check',
        'what a server asks for holds until the bytes go out',
        f'{_INTERNAL}/serving/sending/server_connections.py',
        'pre_send_check.get()()',
        'pre_send_check.get()',
        'test_upstreams',
    ),
    Mutation(
        'let another server speak for the one at its address',
        'a server that leaves gets nothing new',
        f'{_INTERNAL}/serving/knowledge/backpressure.py',
        'if head.misdirected:',
        'if head.misdirected and not head.signed:',
        'test_lapsed_leavers',
    ),
    Mutation(
        'forget that a server leaves when its entry lapses',
        'a server that leaves gets nothing new',
        f'{_INTERNAL}/serving/knowledge/backends.py',
        'if board.backpressure.delisted.relist(server):',
        'if board.backpressure.delisted.relist(server) and server.leaving:',
        'test_lapsed_leavers',
    ),
    Mutation(
        'keep to a limit without regard to other routers',
        'a server gets no more than its limit',
        f'{_INTERNAL}/operations/shared_rate_limiter.py',
        'math.inf if share.standby_rank > 0 and',
        'math.inf if share.standby_rank < 0 and',
        'test_limit_fuzz',
    ),
    Mutation(
        'take older word of a limit',
        'a server gets no more than its limit',
        f'{_INTERNAL}/operations/server_limits.py',
        'if known is None or known.answered_at < answered_at:',
        'if known is None or known.answered_at > answered_at:',
        'test_known_limits',
    ),
    Mutation(
        'take an entry that is read again for a new one',
        'a cold server gets no more than it bears',
        f'{_INTERNAL}/serving/knowledge/server_entries.py',
        'return known.revision != stored.revision',
        'return bool(stored.revision)',
        'test_cold_entries',
    ),
    Mutation(
        'let the home of a route bind alone',
        'requests stay in their homes',
        f'{_INTERNAL}/serving/knowledge/backends.py',
        'and all(regions.get(server.hall) in home for home in allowed_regions)',
        'and any(regions.get(server.hall) in home for home in allowed_regions)',
        'test_halls',
    ),
    Mutation(
        'stop without returning what was borrowed',
        'tokens do not hang on one router',
        f'{_INTERNAL}/serving/tokens/budget_upkeep.py',
        'await asyncio.gather(*returns)',
        'await asyncio.sleep(len(tuple(returns)) * float())',
        'test_returned_loans',
    ),
    Mutation(
        'choose a keeper among those that are heard at the start',
        'tokens do not hang on one router',
        f'{_INTERNAL}/serving/tokens/budget_owners.py',
        'peers = board.peers.values() if is_new else list_live_peers(board)',
        'peers = list_live_peers(board) if is_new else list_live_peers(board)',
        'test_budget_owners',
    ),
    Mutation(
        'leave a budget to a keeper that cannot write',
        'tokens do not hang on one router',
        f'{_INTERNAL}/serving/tokens/token_source.py',
        'return peer is not None and peer.budget_write_failed',
        'return peer is None',
        'test_stranded_budgets',
    ),
)
