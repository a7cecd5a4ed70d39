"""Background tasks of ``dykemast router`` survive unexpected errors.

Guards against a loop that never runs again after an error while its router
stays ready, and against a shard writer that ends with its batch: callers that
wait for a claim or for tokens, then and later, would get no response (none
within 2 s).
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable
from typing import Any
from unittest import mock

from dykemast._internal.controllers import keepers, runtime
from dykemast._internal.controllers.instances import InstanceLister
from dykemast._internal.exceptions import PlatformError
from dykemast._internal.operations.group_commit import LedgerCallbacks, Merge
from tests.unit.test_configuration import make_board
from tools.polling import POLL

WAIT_TIMEOUT_S = 5
ANSWER_TIMEOUT_S = 2


@contextlib.asynccontextmanager
async def run_router(lister: Any) -> AsyncIterator[runtime.Runtime]:
    """Run the loops of a router with another poller of instances."""
    with (
        mock.patch.object(InstanceLister, 'run', lister),
        mock.patch.object(runtime, 'open_server', mock.AsyncMock()),
        mock.patch.object(runtime, 'open_listeners', mock.AsyncMock()),
    ):
        opened = await runtime.open_runtime(make_board(), random.Random(1))
        yield opened
    for task in opened.tasks:
        task.cancel()
    await asyncio.wait(opened.tasks)
    await opened.assembly.sessions.close()


async def wait_for(is_done: Callable[[], bool]) -> bool:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not is_done():
                await asyncio.sleep(POLL)
    return is_done()


async def test_a_loop_of_a_router_that_fails_runs_again() -> None:
    runs = []

    async def fail(_: InstanceLister) -> None:
        runs.append(len(runs))
        raise AttributeError('unexpected error')

    async with run_router(fail):
        assert await wait_for(lambda: len(runs) > 1)


def make_failing_ledger(_: str) -> LedgerCallbacks:
    """Make a ledger whose first merge fails unexpectedly."""
    errors = [AttributeError('unexpected error')]

    async def load() -> None:
        """Read nothing."""

    def merge(intents: list[Any]) -> Merge:
        if errors:
            raise errors.pop()
        return Merge(dirty=False, acks=intents, save=load)

    return LedgerCallbacks(load, merge)


async def test_shard_waiters_get_an_error_when_the_writer_fails() -> None:
    kind = keepers.LedgerKind(make_failing_ledger, list, 0)
    way = keepers.Keepers(make_board(), mock.Mock(), {'shard': kind})
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await way.commit_here('shard/0', ['first'])
    except PlatformError as error:
        assert 'AttributeError' in str(error)
    else:
        raise AssertionError('a write that failed was confirmed')
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        assert await way.commit_here('shard/0', ['second']) == ['second']
    way.close()
