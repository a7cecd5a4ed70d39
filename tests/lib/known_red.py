"""Tests with a known failure, as listed in ``KNOWN-RED.txt``.

One line each: the test's name, a colon, the cause and the issue. They run
like all others and are printed; no other test may fail.
"""

import unittest
from pathlib import Path

PATH = Path(__file__).parent.parent.parent / 'KNOWN-RED.txt'


def read_known(path: Path = PATH) -> dict[str, str]:
    """Read the tests that may fail, with the reasons."""
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    pairs = (line.partition(':') for line in lines)
    return {name.strip(): cause.strip() for name, _, cause in pairs}


def find_unknown(
    outcome: unittest.TestResult,
    known: dict[str, str],
) -> list[str]:
    """Find the failed tests that are not listed."""
    broken = [*outcome.failures, *outcome.errors]
    failed = [case.id() for case, _ in broken]
    return [name for name in failed if name not in known]
