"""Policies: short CEL expressions that operators submit.

CEL has no loops but its macros over lists; one macro inside another is
refused, so the work of a call is bounded by the length of its text times the
length of the longest list. Starlark was weighed and dropped: nothing bounds
the memory of one call (docs/design/policies.md).
"""

import functools
import re
from typing import Any, Final

import cel

from dykemast._internal.exceptions import DykemastError

#: Characters of one expression at most.
MAX_LENGTH: Final = 2000
#: Compiled expressions that are kept.
MAX_COMPILED: Final = 4096
# Any call that may bind a variable, so that macros of later versions of
# the library are met as well.
_MACRO: Final = re.compile(r'\.\s*\w+\s*\(\s*\w+\s*,')
_TEXTS: Final = re.compile(r'"(?:[^"\\]|\\.)*"|\'(?:[^\'\\]|\\.)*\'')
#: What ``cel`` raises for a text or a call that is wrong.
_CEL_ERRORS: Final = (ValueError, RuntimeError, TypeError, KeyError)


class PolicyError(DykemastError):
    """An expression of a policy is wrong or failed.

    :param field: the expression.
    """

    def __init__(self, field: str, text: str) -> None:
        """Keep the field."""
        super().__init__(text)
        self.field = field


@functools.lru_cache(maxsize=MAX_COMPILED)
def compile_expression(field: str, text: str) -> Any:
    """Check an expression and compile it.

    :param field: its name, for errors.
    :param text: the expression.
    :returns: the compiled program.
    :raises PolicyError: when it is not accepted.
    """
    if len(text) > MAX_LENGTH:
        raise PolicyError(field, f'longer than {MAX_LENGTH} characters.')
    if _nests_macros(text):
        raise PolicyError(field, 'a list macro inside another is refused.')
    try:
        return cel.compile(text)
    except _CEL_ERRORS as error:
        raise PolicyError(field, str(error)) from error


def run_expression(field: str, text: str, view: dict[str, Any]) -> Any:
    """Run an expression.

    :param field: its name, for errors.
    :param text: the expression.
    :param view: the names that it may use.
    :returns: what it gives.
    :raises PolicyError: when it fails.
    """
    program = compile_expression(field, text)
    try:
        return program.execute(view)
    except _CEL_ERRORS as error:
        raise PolicyError(field, f'{type(error).__name__} {error}') from error


def _nests_macros(text: str) -> bool:
    bare = _TEXTS.sub('""', text)
    return any(
        _MACRO.search(_cut_arguments(bare[macro.end() :]))
        for macro in _MACRO.finditer(bare)
    )


def _cut_arguments(text: str) -> str:
    """Cut a text at the parenthesis that closes the one before it."""
    depth = 1
    for index, sign in enumerate(text):
        if sign == '(':
            depth += 1
        elif sign == ')':
            depth -= 1
        if depth == 0:
            return text[:index]
    return text
