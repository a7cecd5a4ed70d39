"""Hedged reads: a second read starts when the first one is late."""

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
    """Read, and start a second read if the first one does not complete in time.

    :param read: starts the first read.
    :param read_again: starts the second read.
    :param delay_s: seconds to wait before the second read starts.
    :returns: result of the first read that succeeds.
    :raises Exception: error of the last read, when all failed.
    """
    reads = {asyncio.create_task(read())}
    with _cancelling(reads):
        completed, _ = await asyncio.wait(reads, timeout=delay_s)
        if not completed:
            reads.add(asyncio.create_task(read_again()))
        return await _wait_first(reads)


@contextlib.contextmanager
def _cancelling(reads: _Tasks[_Answer]) -> Iterator[None]:
    """Cancel all reads that have not completed on exit."""
    try:
        yield
    finally:
        for read in reads:
            read.cancel()


async def _wait_first(reads: _Tasks[_Answer]) -> _Answer:
    """Wait for the first success; raise only when all reads have failed."""
    waiting = reads
    while True:
        completed, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        succeeded = [one for one in completed if not one.exception()]
        if succeeded or not waiting:
            return (succeeded or list(completed))[0].result()
