"""Find the tests: plain functions named ``test_...`` in test files.

A coroutine function runs in an event loop of its own. Stateful tests of
hypothesis are found by their ``TestCase``.
"""

import asyncio
import functools
import importlib
import inspect
import pkgutil
import unittest
from collections.abc import Iterator
from typing import Any

from tests import functional, unit


def find_cases(names: list[str]) -> unittest.TestSuite:
    """Find tests whose full name contains one of ``names``."""
    suite = unittest.TestSuite()
    for package in (unit, functional):
        for found in pkgutil.iter_modules(package.__path__):
            module = importlib.import_module(f'{package.__name__}.{found.name}')
            suite.addTests(_find_in(module, names))
    return suite


def _find_in(module: Any, names: list[str]) -> Iterator[unittest.TestCase]:
    for name, found in inspect.getmembers(module):
        full = f'{module.__name__}.{name}'
        if not names or any(part in full for part in names):
            yield from _wrap(name, found, full)


def _wrap(name: str, found: Any, full: str) -> Iterator[unittest.TestCase]:
    if name.startswith('test_') and inspect.isfunction(found):
        yield _make_case(found, full)
    elif inspect.isclass(found) and issubclass(found, unittest.TestCase):
        yield from unittest.defaultTestLoader.loadTestsFromTestCase(found)


def _make_case(function: Any, full: str) -> unittest.TestCase:
    run = function
    if inspect.iscoroutinefunction(function):
        run = functools.partial(_run_in_loop, function)
        functools.update_wrapper(run, function)
    case = unittest.FunctionTestCase(run, description=full)
    case.id = lambda: full
    return case


def _run_in_loop(function: Any) -> None:
    asyncio.run(function())
