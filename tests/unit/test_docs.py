"""The pages say what the code does."""

import re
from pathlib import Path

from dykemast._internal.cli.exit_codes import (
    FAILED,
    INTERRUPTED,
    INVALID,
    REFUSED,
    STALE,
)
from dykemast._internal.models.requests import STATUSES
from dykemast._internal.models.settings import DEFAULT_SETTINGS, RouterSettings
from tests.lib.cases import find_cases
from tools.mutations import MUTATIONS

DOCS = Path(__file__).parents[2] / 'docs'
README = DOCS.parent / 'README.md'
#: A word as constants are written, of two parts at least.
#: Environment variables of libraries, which no source of ours names.
LIBRARY_VARIABLES = frozenset(('SHIV_ROOT',))
CONSTANT = re.compile(r'\b[A-Z]{2,}_[A-Z_]+\b')


def test_every_refusal_is_explained() -> None:
    page = (DOCS / 'api.md').read_text()
    rows = [f'| {status} | {code} |' for code, status in STATUSES.items()]
    assert [row for row in rows if row not in page] == []
    assert page.count('\n| 4') + page.count('\n| 5') == len(rows)


def test_every_setting_is_explained() -> None:
    page = (DOCS / 'operators.md').read_text()
    names = [f'| `{name}` |' for name in RouterSettings.__annotations__]
    assert [name for name in names if name not in page] == []
    shown = [f'| {default} |' for default in DEFAULT_SETTINGS.values()]
    assert [default for default in shown if default not in page] == []


def test_every_exit_code_is_explained() -> None:
    page = (DOCS / 'operators.md').read_text()
    for code in (FAILED, INVALID, STALE, REFUSED, INTERRUPTED):
        assert f'\n| {code} |' in page


def test_counts_on_the_pages_are_those_of_the_code() -> None:
    tests = find_cases([]).countTestCases()
    assert f'\n    {tests} passed, 0 failed, 0 skipped' in README.read_text()
    proofs = (DOCS / 'proofs.md').read_text()
    assert f'breaks each of {len(MUTATIONS)} ' in proofs


def test_pages_have_no_word_in_place_of_a_figure() -> None:
    # Such a word stands where the outcome of a run belongs.
    sources = ''.join(
        path.read_text()
        for folder in ('src', 'tools', 'tests/lib')
        for path in (DOCS.parent / folder).rglob('*.py')
    )
    pages = [README, *DOCS.rglob('*.md')]
    words = {
        word for page in pages for word in CONSTANT.findall(page.read_text())
    }
    words -= LIBRARY_VARIABLES
    assert [word for word in words if word not in sources] == []
