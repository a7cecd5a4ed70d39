"""Run all tests: ``python -m tests [NAME...]``."""

import os
import sys
import unittest

from hypothesis import Phase, settings

from tests.lib.cases import find_cases
from tests.lib.known_red import find_unknown, read_known

settings.register_profile(
    'ci',
    # The same verdict every time, and nothing kept between runs.
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=int(os.environ.get('EXAMPLES', '60')),
    stateful_step_count=40,
    # Mutants only have to fail, not to fail in the smallest way.
    phases=set(Phase) - {Phase.shrink}
    if 'NO_SHRINK' in os.environ
    else set(Phase),
)
settings.load_profile('ci')

if __name__ == '__main__':
    suite = find_cases(sys.argv[1:])
    outcome = unittest.TextTestRunner(verbosity=2).run(suite)
    known = read_known()
    for name, cause in known.items():
        sys.stdout.write(f'known red: {name}: {cause}\n')
    failed = len(outcome.failures) + len(outcome.errors)
    passed = outcome.testsRun - failed
    sys.stdout.write(f'{passed} passed, {failed} failed, 0 skipped\n')
    sys.exit(bool(find_unknown(outcome, known)) or not passed)
