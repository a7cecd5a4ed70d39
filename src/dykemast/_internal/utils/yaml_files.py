"""Validation of YAML files against a TypedDict, with line numbers."""

import difflib
from pathlib import Path
from typing import Any, Final

import yaml
from pydantic import TypeAdapter, ValidationError

from dykemast._internal.exceptions import Finding, InvalidFileError
from dykemast._internal.utils.yaml_lines import (
    LineNumbers,
    find_line_numbers,
    find_line,
    format_path,
)

_UNKNOWN_KEY: Final = 'extra_forbidden'


def read_yaml(path: str, shape: Any) -> Any:
    """Read a YAML file and validate it.

    :param path: the file.
    :param shape: TypedDict that it must match.
    :returns: the document, as the TypedDict.
    :raises InvalidFileError: with all findings together.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidFileError([Finding(path, 0, '', str(error))]) from error
    return check_yaml(path, text, shape)


def check_yaml(path: str, text: str, shape: Any) -> Any:
    """Validate a YAML text.

    :param path: file name to show in findings.
    :param text: the document.
    :param shape: TypedDict that it must match.
    :returns: the document, as the TypedDict.
    :raises InvalidFileError: with all findings together.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        line = mark.line + 1 if mark else 0
        found = Finding(path, line, '', f'not YAML: {error}')
        raise InvalidFileError([found]) from error
    return _check_document(path, document, find_line_numbers(text), shape)


def _check_document(
    path: str, document: Any, lines: LineNumbers, shape: Any
) -> Any:
    try:
        return TypeAdapter(shape).validate_python(document, strict=True)
    except ValidationError as error:
        problems = error.errors()
    raise InvalidFileError(
        [_make_finding(path, lines, problem, shape) for problem in problems]
    )


def _make_finding(
    path: str, lines: LineNumbers, problem: Any, shape: Any
) -> Finding:
    place = problem['loc']
    text = _describe(problem, shape)
    return Finding(path, find_line(lines, place), format_path(place), text)


def _describe(problem: Any, shape: Any) -> str:
    if problem['type'] != _UNKNOWN_KEY:
        return '{}.'.format(problem['msg'])
    known = sorted(_list_keys(shape))
    key = str(problem['loc'][-1])
    near = difflib.get_close_matches(key, known, 1)
    hint = f' did you mean {near[0]!r}?' if near else ''
    return 'unknown key;{}'.format(hint or ' see docs/operators.md.')


def _list_keys(shape: Any) -> set[str]:
    schema = TypeAdapter(shape).json_schema()
    keys = set(schema.get('properties', ()))
    for part in schema.get('$defs', {}).values():
        keys.update(part.get('properties', ()))
    return keys
