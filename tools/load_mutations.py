"""Rules of what is decided under load and in cuts, each broken on purpose."""

from typing import Final

from tools.mutation import Mutation

_INTERNAL: Final = 'dykemast/_internal'
_SERVED: Final = 'callers are served while tokens and engines are there'
_PARTITIONS: Final = 'test_network_partitions'

#: Mutations of these rules.
LOAD_MUTATIONS: Final = (
    Mutation(
        'keep asking an owner that does not reach the store',
        _SERVED,
        f'{_INTERNAL}/serving/tokens/token_source.py',
        'if is_owner_cut_off(account):',
        'if False:',
        'test_owners_without_store',
    ),
    Mutation(
        'tell an outage of the store as tokens in use',
        'callers are told what is true',
        f'{_INTERNAL}/serving/tokens/token_search.py',
        'if self.is_store_away() or is_owner_cut_off(account):',
        'if False:',
        'test_owners_without_store',
    ),
    Mutation(
        'admit what a full link cannot carry in time',
        _SERVED,
        f'{_INTERNAL}/operations/admission_limit.py',
        'self.limit = max(MIN_LIMIT, lowered)',
        'self.limit = math.inf',
        'test_full_links',
    ),
    Mutation(
        'refuse for a full link when servers are late',
        _SERVED,
        f'{_INTERNAL}/operations/admission_limit.py',
        'return fastest is not None and fastest > FULL_LINK_S',
        'return fastest is not None',
        'test_full_links',
    ),
    Mutation(
        'admit more while the link is still full',
        _SERVED,
        f'{_INTERNAL}/operations/admission_limit.py',
        'limit + RAISE_STEP * steps if full else limit',
        'limit',
        'test_admission_limit',
    ),
    Mutation(
        'weigh nobody whom a long prompt makes late',
        _SERVED,
        f'{_INTERNAL}/operations/server_choice.py',
        'return delayed * option.pause_risk * option.running',
        'return 0',
        'test_long_prompts',
    ),
    Mutation(
        'learn from usual pauses, too',
        _SERVED,
        f'{_INTERNAL}/operations/engine_pauses.py',
        'if not objective or pause < MIN_PAUSE_SHARE * objective:',
        'if not objective:',
        'test_engine_pauses',
    ),
    Mutation(
        'keep spare for half of a cut',
        _SERVED,
        f'{_INTERNAL}/operations/spare_size.py',
        'SPARE_DEMAND_S: Final = 9.0',
        'SPARE_DEMAND_S: Final = 4.0',
        _PARTITIONS,
    ),
    Mutation(
        'take the time before the first request for one without demand',
        _SERVED,
        f'{_INTERNAL}/operations/demand.py',
        'return self._decay(now) / self._window / part',
        'return self._decay(now) / self._window',
        _PARTITIONS,
    ),
    Mutation(
        'send callers round although all are short',
        _SERVED,
        f'{_INTERNAL}/operations/retry_after.py',
        'likely = len(able) > LIKELY_SHARE * len(others)',
        'likely = True',
        _PARTITIONS,
    ),
    Mutation(
        'take a contended budget for an outage',
        _SERVED,
        f'{_INTERNAL}/serving/tokens/ledger_writer.py',
        'except ContendedError as error:',
        'except KeyError as error:',
        'test_ledger_writer',
    ),
)
