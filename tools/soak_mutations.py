"""Rules whose break the soak sees, by its fixed seed, as callers would."""

from typing import Final

from tools.mutation import Mutation

_SERVING: Final = 'dykemast/_internal/serving'
_SOAK: Final = 'test_a_fixed_seed_keeps'

#: Mutations of these rules.
SOAK_MUTATIONS: Final = (
    Mutation(
        'let requests in until a stopping router ends',
        'a planned stop cuts off no request in flight',
        'dykemast/_internal/operations/planned_stop.py',
        'if deadline <= self.ends_by:',
        'if deadline:',
        'test_seeds_that_failed_once_keep',
    ),
    Mutation(
        'serve on after the caller has left',
        'nothing goes on for nobody',
        f'{_SERVING}/requests/responder.py',
        '(serving, disconnect), return_when=asyncio.FIRST_COMPLETED',
        '(serving,)',
        _SOAK,
    ),
    Mutation(
        'send to leaving servers, beside other faults',
        'leaving servers get nothing new',
        f'{_SERVING}/knowledge/backends.py',
        'if server.service == service and is_usable(board, server.name)',
        'if server.service == service',
        _SOAK,
    ),
    Mutation(
        'say of a run that it did not happen, beside other faults',
        'refused means not run',
        f'{_SERVING}/relay/attempts.py',
        'if not self.may_have_run:',
        'if self.tried:',
        _SOAK,
    ),
)
