"""A configuration file yields all its findings, each with line and field."""

from dykemast._internal.commands.check import check_files
from dykemast._internal.exceptions import InvalidFileError
from dykemast._internal.operations.findings import check_configuration

BROKEN = """\
services:
  - name: llm
    kind: engin
models:
  - name: tiny-1
    service: llm
    max_tokens: 0
    max_token: 5
workspaces: []
"""
UNKNOWN = """\
services: []
models:
  - {name: tiny-1, service: llm, max_tokens: 5}
  - {name: tiny-1, service: llm, max_tokens: 5}
workspaces: []
policies:
  - name: p
    allow: 1 +
"""


def find(text: str) -> list[str]:
    """Validate a configuration; return the text of each finding."""
    try:
        check_configuration('c.yaml', text)
    except InvalidFileError as error:
        return [str(finding) for finding in error.findings]
    return []


def test_findings_of_types_come_together() -> None:
    found = find(BROKEN)
    assert len(found) == 4
    assert found[0].startswith('c.yaml:3: services.0.kind: ')
    assert found[1].startswith('c.yaml:7: models.0.max_tokens: ')
    assert "did you mean 'max_tokens'?" in found[2]
    assert 'policies: Field required' in found[3]


def test_findings_across_sections_come_together() -> None:
    found = find(UNKNOWN)
    assert len(found) == 4
    assert found[0] == (
        'c.yaml:4: models.1.name: duplicate name "tiny-1" in models.'
    )
    assert 'c.yaml:3: models.0.service: "llm" is not one of' in found[1]
    assert found[3].startswith('c.yaml:8: policies.0.allow: ')


def test_invalid_yaml_is_one_finding() -> None:
    assert len(find('a: [1')) == 1
    assert 'not YAML' in find('a: [1')[0]


def test_missing_file_is_a_finding() -> None:
    try:
        check_files(['/nowhere/at/all.yaml'])
    except InvalidFileError as error:
        assert len(error.findings) == 1
    else:
        raise AssertionError('a missing file was accepted')
