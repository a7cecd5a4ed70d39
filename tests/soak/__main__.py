"""Run soak seeds: ``python -m tests.soak SEED...`` or ``--fresh N``."""

import argparse
import random
import sys

from tests.soak.plan import LAST_SEED
from tests.soak.run import run_seed
from tests.soak.sizes import SIZES

#: Lines of one seed that are shown; its folder has them all.
SHOWN = 12

if __name__ == '__main__':
    parser = argparse.ArgumentParser()
    parser.add_argument('seeds', nargs='*', type=int)
    parser.add_argument('--fresh', type=int, default=0)
    parser.add_argument('--size', choices=SIZES, default='small')
    options = parser.parse_args()
    drawn = random.sample(range(LAST_SEED), options.fresh)
    broken = 0
    for seed in (*options.seeds, *drawn):
        outcome = run_seed(seed, SIZES[options.size])
        broken += bool(outcome.broken)
        sys.stdout.write(f'seed {seed}: {outcome.summary}\n')
        for line in outcome.broken[:SHOWN]:
            sys.stdout.write(f'  BROKEN {line}\n')
        sys.stdout.flush()
    total = len(options.seeds) + options.fresh
    kept = total - broken
    sys.stdout.write(f'{kept} of {total} seeds kept the promises\n')
    sys.exit(bool(broken))
