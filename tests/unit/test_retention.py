"""Old segments are added to the sums once; old retries are refused."""

import msgspec
from starlette.datastructures import Headers

from dykemast._internal.exceptions import PlatformUnavailableError
from dykemast._internal.models.journal import Entry, EntryKind, Segment
from dykemast._internal.network.journal_totals import (
    TOTALS,
    Sum,
    decode_totals,
    drop_oldest,
)
from dykemast._internal.path.retry_age import is_too_old
from tests.lib.fake_platform import FakePlatform, drive

SHARD = 'journal/0'


def make_platform() -> FakePlatform:
    """Create two sealed segments with two bills each, and an open one."""
    platform = FakePlatform()
    for number in range(3):
        entries = [
            Entry(f'k{number}', EntryKind.claimed, 'r', at=number),
            Entry(f'k{number}', EntryKind.finished, 'r', 'b', 5, at=number),
            Entry(f'l{number}', EntryKind.finished, 'q', 'b', 7, at=number),
        ]
        body = msgspec.json.encode(Segment(entries, sealed=number < 2))
        drive(platform.write(f'{SHARD}/0000000{number}', body, 0))
    return platform


def read_sums(platform: FakePlatform) -> dict[str, Sum]:
    return decode_totals(drive(platform.read(TOTALS + SHARD))).sums


def test_old_segments_are_summed_once() -> None:
    platform = make_platform()
    assert drive(drop_oldest(platform, SHARD, 1))
    assert not drive(drop_oldest(platform, SHARD, 1))
    assert read_sums(platform) == {'b': Sum(2, 12)}


def test_open_segment_stays_however_old() -> None:
    platform = make_platform()
    for _ in range(4):
        drive(drop_oldest(platform, SHARD, 9))
    assert read_sums(platform) == {'b': Sum(4, 24)}
    assert f'{SHARD}/00000002' in platform.store


def test_lost_answer_does_not_sum_twice() -> None:
    platform = make_platform()
    platform.faults.append('lose')
    try:
        drive(drop_oldest(platform, SHARD, 1))
    except PlatformUnavailableError:
        assert drive(drop_oldest(platform, SHARD, 1))
    assert read_sums(platform) == {'b': Sum(2, 12)}


def test_retry_past_the_window_is_refused() -> None:
    none = Headers({})
    # The timestamp in the key is 5,000,000 ms.
    key = '0000004c-4b40-7000-8000-000000000000'
    assert is_too_old(none, key, 5001)
    assert not is_too_old(none, key, 4999)
    assert is_too_old(Headers({'x-first-sent': '10'}), 'any', 11)
    assert not is_too_old(none, 'any', 11)
