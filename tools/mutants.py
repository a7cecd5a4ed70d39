"""Break one rule after the other and see that a test notices.

Works on a copy of the source; ``make mutants`` exits 0 only when each
broken rule made its test fail.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

from tools.mutation import Mutation
from tools.mutations import MUTATIONS

#: Mutants that are tried at the same time.
WORKERS: Final = 6
#: Examples that each stateful test tries.
EXAMPLES: Final = '600'
_SOURCE: Final = Path(__file__).parent.parent / 'src'


def break_rule(mutation: Mutation, folder: str) -> None:
    """Write a copy of the source with one rule broken.

    :param mutation: the rule.
    :param folder: where to write it.
    :raises ValueError: when the text to replace is not there once.
    """
    if count_places(mutation) != 1:
        raise ValueError(f'{mutation.name}: its text is not there once.')
    shutil.copytree(_SOURCE, folder, dirs_exist_ok=True)
    path = Path(folder) / mutation.path
    path.write_text(path.read_text().replace(mutation.old, mutation.new))


def count_places(mutation: Mutation) -> int:
    """Count the places in the source that a mutation would replace.

    :param mutation: the rule.
    :returns: how many; 0 when there is no such file, too.
    """
    path = _SOURCE / mutation.path
    return path.read_text().count(mutation.old) if path.exists() else 0


def is_caught(mutation: Mutation) -> bool:
    """Run a mutation's test against the broken copy.

    :param mutation: the rule.
    :returns: whether the test failed.
    """
    with tempfile.TemporaryDirectory() as folder:
        break_rule(mutation, folder)
        environment = {
            **os.environ,
            'PYTHONPATH': folder,
            'EXAMPLES': EXAMPLES,
            # That it fails suffices; the smallest example does not matter.
            'NO_SHRINK': '1',
        }
        run = subprocess.run(
            [sys.executable, '-m', 'tests', mutation.test],
            env=environment,
            capture_output=True,
            check=False,
        )
    # A test that could not run at all has noticed nothing.
    return b' 0 failed' not in run.stdout and b'AssertionError' in run.stderr


def choose(words: list[str]) -> list[Mutation]:
    """Choose mutations by parts of their names.

    :param words: the parts; none for all.
    :returns: the mutations.
    """
    return [
        mutation
        for mutation in MUTATIONS
        if not words or any(part in mutation.name for part in words)
    ]


def _show(mutation: Mutation, found: bool) -> None:
    word = 'caught' if found else 'MISSED'
    sys.stdout.write(f'{word}  {mutation.name} ({mutation.test})\n')


def main() -> None:
    """Run the program."""
    chosen = choose(sys.argv[1:])
    with ThreadPoolExecutor(WORKERS) as pool:
        caught = list(pool.map(is_caught, chosen))
    for mutation, found in zip(chosen, caught, strict=True):
        _show(mutation, found)
    sys.stdout.write(f'{sum(caught)} of {len(chosen)} caught\n')
    sys.exit(not all(caught))


if __name__ == '__main__':
    main()
