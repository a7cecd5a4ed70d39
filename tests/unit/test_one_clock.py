"""All times of the program are read from one clock.

The monotonic clock does not count the time of a suspension, and times from
different clocks cannot be compared, so only one module reads the clock. The
wall clock is only for people and for other organisations: it may jump by hours.
"""

import asyncio
import re
from pathlib import Path

from dykemast._internal.utils import clock

SOURCES = Path(__file__).parents[2] / 'src' / 'dykemast'
CLOCK = '_internal/utils/clock.py'
OTHER_CLOCKS = re.compile(
    r'time\.monotonic|import monotonic|perf_counter|oop\(?\)?\.time\('
    r'|clock_gettime'
)
WALL_CLOCK = re.compile(r'time\.time\(|datetime\.now|read_time_of_day')
#: Modules that may read the wall clock: logs, and dates that operators and
#: callers see from ``dykemast router``.
WALL_CLOCK_MODULES = frozenset(
    (
        '_internal/utils/events.py',
        '_internal/controllers/retention.py',
        '_internal/network/journal_ledger.py',
        '_internal/path/jobs.py',
        '_internal/path/claims.py',
        '_internal/path/admission.py',
    )
)


def find_users(pattern: re.Pattern[str]) -> set[str]:
    return {
        str(path.relative_to(SOURCES))
        for path in SOURCES.rglob('*.py')
        if pattern.search(path.read_text())
    }


def test_one_module_reads_the_clock() -> None:
    assert find_users(OTHER_CLOCKS) == {CLOCK}


def test_the_wall_clock_is_only_for_display() -> None:
    assert find_users(WALL_CLOCK) == {CLOCK, *WALL_CLOCK_MODULES}


def test_the_clock_and_timers_count_suspensions() -> None:
    assert clock.COUNTS_SUSPENSION
    loop = clock.open_loop()
    before = clock.read_clock()
    assert before <= loop.time() <= clock.read_clock()
    assert isinstance(loop, asyncio.AbstractEventLoop)
    loop.close()
