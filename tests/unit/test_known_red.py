"""Only the tests that are listed may fail."""

import tempfile
import unittest
from pathlib import Path

from tests.lib.known_red import find_unknown, read_known


def fail() -> None:
    raise AssertionError('on purpose')


def run_failing(name: str) -> unittest.TestResult:
    case = unittest.FunctionTestCase(fail)
    case.id = lambda: name
    outcome = unittest.TestResult()
    case.run(outcome)
    return outcome


def test_a_failure_that_is_not_listed_fails_the_run() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'KNOWN-RED.txt'
        path.write_text('tests.unit.a: a fault, issue 1\n\n')
        known = read_known(path)
    assert known == {'tests.unit.a': 'a fault, issue 1'}
    assert find_unknown(run_failing('tests.unit.b'), known) == ['tests.unit.b']
    assert not find_unknown(run_failing('tests.unit.a'), known)


def test_without_a_list_none_may_fail() -> None:
    assert not read_known(Path('/nowhere'))
    assert find_unknown(run_failing('x'), {}) == ['x']
