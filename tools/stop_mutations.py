"""Rules of planned stops and of what deaths cost, each broken on purpose."""

from typing import Final

from tools.mutation import Mutation

_INTERNAL: Final = 'dykemast/_internal'
_CUTS_NOTHING: Final = 'a planned stop cuts off no request'
_TOKENS: Final = 'tokens are given back'
_PLAN: Final = f'{_INTERNAL}/operations/planned_stop.py'
_STOP: Final = f'{_INTERNAL}/serving/process/planned_stop.py'
_OUTLASTS: Final = 'test_a_stream_that_outlasts'

#: Mutations of these rules.
STOP_MUTATIONS: Final = (
    Mutation(
        'admit whatever comes in a stop',
        _CUTS_NOTHING,
        _PLAN,
        'if deadline <= self.ends_by:',
        'if deadline:',
        'test_afterwards_only_what_ends',
    ),
    Mutation(
        'do not ask how long requests of a route take',
        _CUTS_NOTHING,
        f'{_INTERNAL}/serving/admission/in_progress.py',
        'usual = board.usual_times.find_usual(route, now, plan.ends_by - now)\n'
        '    details',
        'usual = 0.0\n    details',
        'test_stop_admission',
    ),
    Mutation(
        'take a router that has just started for one that knows its routes',
        _CUTS_NOTHING,
        f'{_INTERNAL}/operations/route_times.py',
        'if now - self._get_current(route, now).since < left:',
        'if not route:',
        'test_stop_admission',
    ),
    Mutation(
        'count requests that hang as if there were none',
        _CUTS_NOTHING,
        f'{_INTERNAL}/serving/admission/in_progress.py',
        'record_end(admitted.route.name, admitted.started, now)',
        'record_end(admitted.route.name, now, now)',
        'test_streams_are_not_cut_since_only',
    ),
    Mutation(
        'send again what cannot end in time',
        _CUTS_NOTHING,
        f'{_INTERNAL}/serving/relay/server_search.py',
        'in_progress.check_send(board, exchange.admitted)',
        'checks.check_evacuations(board)',
        'test_stop_sends',
    ),
    Mutation(
        'wait for callers that do not finish their bodies',
        _CUTS_NOTHING,
        f'{_INTERNAL}/serving/admission/in_progress.py',
        'return board.inflight > unread or board.tunnels > 0',
        'return board.inflight > 0 or board.tunnels > 0',
        'test_unread_bodies',
    ),
    Mutation(
        'take the longest request for the longest that there is',
        _CUTS_NOTHING,
        _PLAN,
        'MARGIN_FACTOR * usual',
        'usual',
        'test_streams_that_take_longer',
    ),
    Mutation(
        'wait for the end with admission open',
        _CUTS_NOTHING,
        _STOP,
        'board.stop_plan = plan.close()',
        'board.stop_plan = plan',
        'test_nothing_is_taken_while',
    ),
    Mutation(
        'do not wait for what was let in last',
        _CUTS_NOTHING,
        _STOP,
        'wait_until(lambda _: not in_progress.is_busy(board), plan.ends_by),',
        'asyncio.sleep(0),',
        'test_a_router_that_is_never_idle',
    ),
    Mutation(
        'count a stop from when it is seen',
        _CUTS_NOTHING,
        f'{_INTERNAL}/operations/event_loop_monitor.py',
        'return self._stalled_at',
        'return now',
        'test_a_stop_that_is_seen_late',
    ),
    Mutation(
        'give what is in progress the time until the latest kill',
        _CUTS_NOTHING,
        _PLAN,
        'ends_by = since + max(0, stop_timeout - END_TIME_S)',
        'ends_by = now + max(0, stop_timeout - END_TIME_S)',
        'test_a_stop_seen_late',
    ),
    Mutation(
        'give tokens back once, whatever comes of it',
        _TOKENS,
        _STOP,
        'while not await budget_upkeep.return_spare(runtime.assembly.upkeep):',
        'if not await budget_upkeep.return_spare(runtime.assembly.upkeep):',
        'test_tokens_go_back_though',
    ),
    Mutation(
        'give nothing back of requests that are cut off',
        _TOKENS,
        _STOP,
        'if waited_for:',
        'if not plan:',
        _OUTLASTS,
    ),
    Mutation(
        'write a row twice at the same time',
        'spend never exceeds the budget',
        f'{_INTERNAL}/serving/tokens/ledger_writer.py',
        'async with account.write_lock:',
        'if account:',
        'test_ledger_writer',
    ),
    Mutation(
        'keep spare as if nothing had been lost',
        'deaths strand a bounded part of a budget',
        f'{_INTERNAL}/operations/spare_size.py',
        'LOSS_SHARE * ledger.prepaid - ledger.closed_spare',
        'LOSS_SHARE * ledger.prepaid',
        'test_deaths_of_all_routers',
    ),
    Mutation(
        'keep spare as if no other row had any',
        'deaths strand a bounded part of a budget',
        f'{_INTERNAL}/operations/spare_size.py',
        'free = most - ledger.count_spare() + row.count_spare()',
        'free = most',
        'test_ledger_fuzz',
    ),
    Mutation(
        'lend as if there were no other borrowers',
        'deaths strand a bounded part of a budget',
        f'{_INTERNAL}/operations/spare_size.py',
        'wanted = max(1, spare, SPARE_DEMAND_S * demand)',
        'wanted = max(1, spare)',
        'test_loans',
    ),
)
