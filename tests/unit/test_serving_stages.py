"""Packages of ``serving`` import only packages of earlier stages."""

import re
from pathlib import Path

SERVING = (
    Path(__file__).parents[2] / 'src' / 'dykemast' / '_internal' / 'serving'
)
#: Each may import those before it.
STAGES = (
    'state',
    'requests',
    'knowledge',
    'members',
    'admission',
    'tokens',
    'sending',
    'parts',
    'choice',
    'relay',
    'process',
)
IMPORT = re.compile(r'from dykemast\._internal\.serving\.(\w+)')


def find_stage(path: Path) -> str:
    """Return the stage of a module."""
    return path.relative_to(SERVING).parts[0].removesuffix('.py')


def test_each_module_has_its_stage() -> None:
    found = {find_stage(path) for path in SERVING.rglob('*.py')}
    assert found == {'__init__', *STAGES}


def test_stages_use_only_those_before_them() -> None:
    wrong = [
        (path.name, used)
        for path in SERVING.rglob('*.py')
        for used in IMPORT.findall(path.read_text())
        if STAGES.index(used) > STAGES.index(find_stage(path))
    ]
    assert not wrong


def test_each_stage_documents_its_input_and_output() -> None:
    packages = SERVING.glob('*/__init__.py')
    assert [
        package
        for package in packages
        if not re.search('In: .*Out: ', package.read_text(), re.S)
    ] == []
