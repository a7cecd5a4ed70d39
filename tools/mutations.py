"""Rules of the product, each broken on purpose in one place."""

from typing import Final

from tools.crash_mutations import CRASH_MUTATIONS
from tools.fleet_mutations import FLEET_MUTATIONS
from tools.hall_mutations import HALL_MUTATIONS
from tools.link_mutations import LINK_MUTATIONS
from tools.load_mutations import LOAD_MUTATIONS
from tools.mutation import Mutation
from tools.serving_mutations import SERVING_MUTATIONS
from tools.soak_mutations import SOAK_MUTATIONS
from tools.stop_mutations import STOP_MUTATIONS
from tools.version_mutations import VERSION_MUTATIONS

_INTERNAL: Final = 'dykemast/_internal'

_OVERSPEND: Final = 'spend never exceeds the budget'
_LEASES: Final = 'test_lease_fuzz'
_JOURNAL: Final = 'test_journal_fuzz'
_MESSAGES: Final = 'test_lease_messages'
_DEATH: Final = 'test_lease_death'

_LEDGER: Final = 'test_ledger_fuzz'
_ALLOWANCE: Final = f'{_INTERNAL}/operations/allowance.py'
_ROWS: Final = f'{_INTERNAL}/operations/ledger_rows.py'

#: Rules of the budgets on the users' platform.
LEDGER_MUTATIONS: Final = (
    Mutation(
        'use a row before the store has confirmed it',
        _OVERSPEND,
        _ALLOWANCE,
        'self.limit = min(self.limit, limit)',
        'self.limit = limit',
        _LEDGER,
    ),
    Mutation(
        'lend and use the tokens as well',
        _OVERSPEND,
        _ALLOWANCE,
        'self.lent += given',
        'self.lent += 0',
        _LEDGER,
    ),
    Mutation(
        'remember a row that its router has written since',
        _OVERSPEND,
        f'{_INTERNAL}/operations/ledger_eras.py',
        'earlier=known.earlier and known.earlier.replace_row(name, row),',
        'earlier=known.earlier,',
        'test_tokens_given_up',
    ),
    Mutation(
        'charge an ended router with what it wrote down only',
        _OVERSPEND,
        f'{_INTERNAL}/models/budget_ledger.py',
        'closed=self.closed + sum(row.limit for row in ended)',
        'closed=self.closed + sum(row.spent for row in ended)',
        _LEDGER,
    ),
    Mutation(
        'grant more than is free in the store',
        _OVERSPEND,
        _ROWS,
        'min(free, request.pending)',
        'request.pending',
        _LEDGER,
    ),
    Mutation(
        'let an older configuration raise a lowered budget',
        _OVERSPEND,
        _ROWS,
        'if terms.version < ledger.version:',
        'if terms.version < 0:',
        _LEDGER,
    ),
)

#: All mutations.
MUTATIONS: Final = (
    *LEDGER_MUTATIONS,
    *FLEET_MUTATIONS,
    *CRASH_MUTATIONS,
    *SERVING_MUTATIONS,
    *STOP_MUTATIONS,
    *LOAD_MUTATIONS,
    *HALL_MUTATIONS,
    *LINK_MUTATIONS,
    *VERSION_MUTATIONS,
    *SOAK_MUTATIONS,
    Mutation(
        'grant more than is free',
        _OVERSPEND,
        f'{_INTERNAL}/operations/lease_grant.py',
        'return min(wanted, before + count_free(budget))',
        'return wanted',
        _LEASES,
    ),
    Mutation(
        'use the whole lease at once',
        _OVERSPEND,
        f'{_INTERNAL}/operations/confirmed_lease.py',
        'if now < self._unlock_at:',
        'if now < 0:',
        _DEATH,
    ),
    Mutation(
        'forget armed levels that are not acknowledged',
        _OVERSPEND,
        f'{_INTERNAL}/operations/confirmed_lease.py',
        'armed = [plan.armed for plan in self._pending]',
        'armed: list[int] = []',
        _DEATH,
    ),
    Mutation(
        'forget returns that are not acknowledged',
        _OVERSPEND,
        f'{_INTERNAL}/operations/confirmed_lease.py',
        'kept = [plan.min_allotted for plan in self._pending]',
        'kept: list[int] = []',
        _MESSAGES,
    ),
    Mutation(
        'apply intents that come late',
        _OVERSPEND,
        f'{_INTERNAL}/operations/budget_shard.py',
        'return row.seq >= intent.seq',
        'return False',
        _MESSAGES,
    ),
    Mutation(
        'open a lease again that was closed',
        _OVERSPEND,
        f'{_INTERNAL}/operations/budget_shard.py',
        'return intent.seq > 1',
        'return False',
        _MESSAGES,
    ),
    Mutation(
        'charge only the armed part of any lost lease',
        _OVERSPEND,
        f'{_INTERNAL}/operations/reclaim.py',
        'return oldest is None or oldest <= limit',
        'return False',
        _DEATH,
    ),
    Mutation(
        'bound the age of an intent by its own version',
        _OVERSPEND,
        f'{_INTERNAL}/operations/reclaim.py',
        'if read.version < seen]',
        'if read.version >= seen]',
        _LEASES,
    ),
    Mutation(
        'take silence for death',
        _OVERSPEND,
        f'{_INTERNAL}/operations/reclaim.py',
        'if row.instance in known_processes.gone:',
        'if row.instance:',
        _DEATH,
    ),
    Mutation(
        'add a top-up again',
        _OVERSPEND,
        f'{_INTERNAL}/operations/budget_shard.py',
        'if intent.topup in budget.topups:',
        'if not intent.topup:',
        _LEASES,
    ),
    Mutation(
        'lend without counting it as spent',
        _OVERSPEND,
        f'{_INTERNAL}/operations/holder.py',
        'self.usage.spent += given',
        'self.usage.spent += 0',
        _LEASES,
    ),
    Mutation(
        'do not count open holds',
        _OVERSPEND,
        f'{_INTERNAL}/operations/usage.py',
        'return self.spent + self.held',
        'return self.spent',
        _LEASES,
    ),
    Mutation(
        'write a second outcome',
        'each request is billed exactly once',
        f'{_INTERNAL}/operations/journal_merge.py',
        'if record.finish:',
        'if record.finish and record.finish.run == entry.run:',
        _JOURNAL,
    ),
    Mutation(
        'claim what another attempt has claimed',
        'what may not be repeated runs at most once',
        f'{_INTERNAL}/operations/journal_merge.py',
        'record.claim.run != entry.run',
        'not entry.run',
        _JOURNAL,
    ),
    Mutation(
        'tell new entries by identity',
        'each request is billed exactly once',
        f'{_INTERNAL}/operations/journal_merge.py',
        'if ack is None:',
        'if ack is None or ack.entry is entry:',
        _JOURNAL,
    ),
    Mutation(
        'forget what the sealed segments say',
        'each request is billed exactly once',
        f'{_INTERNAL}/network/journal_ledger.py',
        'for entry in segment.entries:',
        'for entry in segment.entries * (not segment.sealed):',
        _JOURNAL,
    ),
    Mutation(
        'pass on the answer to another request',
        'a caller receives the answer to its own request only',
        f'{_INTERNAL}/network/backends.py',
        'if echoed != context.request:',
        'if not echoed:',
        'test_answer_to_another',
    ),
    Mutation(
        'call without a claim when the platform is away',
        'refused as not run means it did not run; at most once',
        f'{_INTERNAL}/path/claims.py',
        'raise RefusedError(refusal) from error',
        'return None',
        'test_an_order_is_refused',
    ),
    Mutation(
        'send new work to a server that leaves',
        'a leaving backend server receives no new work',
        f'{_INTERNAL}/path/candidates.py',
        'and instance.name not in board.fleet.leaving',
        'and instance.name',
        'test_leaving_worker',
    ),
    Mutation(
        'send callers to routers that the platform has dropped',
        'callers are served while a router is lost',
        f'{_INTERNAL}/operations/peers.py',
        'and name not in fleet.missing_since',
        'and name',
        'test_peers',
    ),
    Mutation(
        'stop at once',
        'a planned stop cuts off no request in flight',
        f'{_INTERNAL}/controllers/stopping.py',
        'await wait_until(is_over, plan.ends_by)',
        'await wait_until(is_over, 0)',
        'test_planned_stop',
    ),
    Mutation(
        'apply an older revision',
        'an accepted configuration never reverts',
        f'{_INTERNAL}/controllers/configuration.py',
        'if revision.number <= _number(self._board):',
        'if revision.number < 0:',
        'test_configuration',
    ),
    Mutation(
        'accept a submission made from an older revision',
        'an accepted configuration never reverts',
        f'{_INTERNAL}/network/revision_store.py',
        'if head.number != base:',
        'if head.number < base:',
        'test_configuration',
    ),
    Mutation(
        'keep bills in one memory only',
        'each request is billed exactly once',
        f'{_INTERNAL}/controllers/bills.py',
        'await self._keep_elsewhere(entry)',
        'await asyncio.sleep(0)',
        'test_work_goes_on',
    ),
    Mutation(
        'end a broken stream as whole',
        'a caller receives the whole answer',
        f'{_INTERNAL}/path/chat_answers.py',
        'raise\n    response.close()',
        'return\n    response.close()',
        'test_broken_stream',
    ),
)
