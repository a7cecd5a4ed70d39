"""Policies: short CEL expressions that operators submit.

CEL has no loops except macros over lists, and nested macros are refused, so the
work of an evaluation is bounded by the length of the expression times the
length of the longest list. Starlark has no bound on the memory of one call
(docs/design/policies.md).
"""

import functools
import re
from typing import Any, Final

import cel

from dykemast._internal.exceptions import DykemastError

#: Bound on the characters of one expression.
MAX_CHARACTERS: Final = 2000
#: Size of the cache of compiled expressions.
MAX_CACHED_EXPRESSIONS: Final = 4096
# Matches any call that may bind a variable, so that macros of later versions of
# the library are covered.
_MACRO: Final = re.compile(r'\.\s*\w+\s*\(\s*\w+\s*,')
_STRING_LITERALS: Final = re.compile(r'"(?:[^"\\]|\\.)*"|\'(?:[^\'\\]|\\.)*\'')
#: Exceptions of ``cel`` for an invalid expression or a failed evaluation.
_CEL_ERRORS: Final = (ValueError, RuntimeError, TypeError, KeyError)


class PolicyError(DykemastError):
    """An expression of a policy is invalid or failed.

    :param field: field of the policy that has the expression.
    """

    def __init__(self, field: str, text: str) -> None:
        """Make an error on one field."""
        super().__init__(text)
        self.field = field


@functools.lru_cache(maxsize=MAX_CACHED_EXPRESSIONS)
def compile_expression(field: str, text: str) -> Any:
    """Validate an expression and compile it.

    :param field: field of the policy, for errors.
    :param text: the expression.
    :returns: the compiled program.
    :raises PolicyError: when the expression is too long, nests macros or does
        not compile.
    """
    if len(text) > MAX_CHARACTERS:
        raise PolicyError(
            field, f'longer than {MAX_CHARACTERS} characters: got {len(text)}.'
        )
    if _nests_macros(text):
        raise PolicyError(field, 'a list macro inside another is refused.')
    try:
        return cel.compile(text)
    except _CEL_ERRORS as error:
        raise PolicyError(field, str(error)) from error


def evaluate_expression(field: str, text: str, view: dict[str, Any]) -> Any:
    """Evaluate an expression.

    :param field: field of the policy, for errors.
    :param text: the expression.
    :param view: variables that it may use.
    :returns: its value.
    :raises PolicyError: when it is invalid or fails.
    """
    program = compile_expression(field, text)
    try:
        return program.execute(view)
    except _CEL_ERRORS as error:
        raise PolicyError(field, f'{type(error).__name__} {error}') from error


def _nests_macros(text: str) -> bool:
    bare = _STRING_LITERALS.sub('""', text)
    return any(
        _MACRO.search(_cut_arguments(bare[macro.end() :]))
        for macro in _MACRO.finditer(bare)
    )


def _cut_arguments(text: str) -> str:
    """Truncate a text at the parenthesis that closes the one before it."""
    depth = 1
    for index, character in enumerate(text):
        if character == '(':
            depth += 1
        elif character == ')':
            depth -= 1
        if depth == 0:
            return text[:index]
    return text
