"""Make a read once more when its answer is late."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, TypeVar

_Answer = TypeVar('_Answer')
_Read = Coroutine[Any, Any, _Answer]
_Tasks = set[asyncio.Task[_Answer]]


async def read_again_if_late(
    read: Callable[[], _Read[_Answer]],
    read_again: Callable[[], _Read[_Answer]],
    delay_s: float,
) -> _Answer:
    """Read, and read again beside it when there is no answer for a while.

    :param read: reads.
    :param read_again: reads in another way.
    :param delay_s: seconds to wait before the other way is tried, too.
    :returns: the first answer.
    :raises Exception: as the last one raised, when both failed.
    """
    reads = {asyncio.create_task(read())}
    with _cancelling(reads):
        completed, _ = await asyncio.wait(reads, timeout=delay_s)
        if not completed:
            reads.add(asyncio.create_task(read_again()))
        return await _wait_first(reads)


@contextlib.contextmanager
def _cancelling(reads: _Tasks[_Answer]) -> Iterator[None]:
    """Cancel what is not over in the end."""
    try:
        yield
    finally:
        for read in reads:
            read.cancel()


async def _wait_first(reads: _Tasks[_Answer]) -> _Answer:
    """Wait for an answer; a failure only counts when there is no other."""
    waiting = reads
    while True:
        completed, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        succeeded = [one for one in completed if not one.exception()]
        if succeeded or not waiting:
            return (succeeded or list(completed))[0].result()
