"""Group commit: many intents, one conditional update.

Whoever keeps an object gathers intents while a write is on its way, merges
them with a pure function and writes once. A conflict or a lost answer leads
to a fresh read and a new merge; that is safe because merging an intent twice
is the same as once.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import logbook

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.rate_limiter import RateLimiter

_log = logbook.Logger('commit')

#: Intents in one write at the most.
MAX_BATCH: Final = 256
#: Writes tried for one batch at the most.
MAX_TRIES: Final = 6
#: Seconds after which a waiting intent is no longer written.
INTENT_LIFETIME: Final = 5.0
#: Seconds before a write is tried again.
RETRY_DELAY: Final = 0.02


class Merge(NamedTuple):
    """A batch merged with the state of an object.

    :param dirty: whether there is anything to write.
    :param acks: an answer for each intent.
    :param save: writes the merged state; raises when that failed.
    """

    dirty: bool
    acks: list[Any]
    save: Callable[[], Awaitable[None]]


class LedgerCallbacks(NamedTuple):
    """How the objects of one kind are read and merged.

    :param load: reads the newest state; called again after a failure.
    :param merge: merges a batch with that state, without input or output.
    """

    load: Callable[[], Awaitable[None]]
    merge: Callable[[list[Any]], Merge]


class _Waiting(NamedTuple):
    intent: Any
    done: asyncio.Future[Any]
    deadline: float

    def answer(self, ack: Any) -> None:
        """Tell that it is written, unless nobody waits any more."""
        if not self.done.done():
            self.done.set_result(ack)

    def fail(self, error: PlatformError) -> None:
        """Tell that it is not known to be written."""
        if not self.done.done():
            self.done.set_exception(error)


class GroupCommit:
    """Queue of intents before one object.

    :param name: name of the object, for logs.
    :param ledger: how to read and merge it.
    :param pause: seconds between two writes, which bounds their rate.
    """

    def __init__(
        self, name: str, ledger: LedgerCallbacks, pause: float
    ) -> None:
        """Start with an empty queue and an unknown state."""
        self._name = name
        self._ledger = ledger
        self._rate_limiter = RateLimiter(pause)
        self._queue: asyncio.Queue[_Waiting] = asyncio.Queue(MAX_BATCH * 4)
        self._loaded = False

    async def submit(self, intents: list[Any]) -> list[Any]:
        """Have intents written.

        :param intents: what to merge into the object.
        :returns: the answer to each, once it is durable.
        :raises PlatformError: when that could not be reached in time.
        """
        loop = asyncio.get_running_loop()
        deadline = read_clock() + INTENT_LIFETIME
        waits = []
        for intent in intents:
            waiting = _Waiting(intent, loop.create_future(), deadline)
            self._offer(waiting)
            waits.append(waiting.done)
        return list(await asyncio.gather(*waits))

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty() and len(batch) < MAX_BATCH:
                batch.append(self._queue.get_nowait())
            await self._write_batch(_drop_old(batch))
            await asyncio.sleep(self._rate_limiter.record_write())

    def _offer(self, waiting: _Waiting) -> None:
        try:
            self._queue.put_nowait(waiting)
        except asyncio.QueueFull:
            full = PlatformError(f'{self._name}: too many intents wait.')
            waiting.fail(full)

    async def _write_batch(self, batch: list[_Waiting]) -> None:
        try:
            acks = await self._try_writes(batch)
        except PlatformError as error:
            failure = error
        except Exception as error:
            # Who waits for an answer would wait for ever, and the batches
            # after this one need not meet the same.
            self._loaded = False
            failure = PlatformError(f'{type(error).__name__}: {error}')
        else:
            for written, ack in zip(batch, acks, strict=True):
                written.answer(ack)
            return
        _log.warning('commit: {} not written: {}', self._name, failure)
        for failed in batch:
            failed.fail(failure)

    async def _try_writes(self, batch: list[_Waiting]) -> list[Any]:
        for attempt in range(MAX_TRIES):
            try:
                return await self._write_once(batch)
            except PlatformError as error:
                self._loaded = False
                _log.debug('commit: {} again: {}', self._name, error)
                await asyncio.sleep(RETRY_DELAY * attempt)
        raise PlatformError(f'{self._name}: gave up after {MAX_TRIES} tries.')

    async def _write_once(self, batch: list[_Waiting]) -> list[Any]:
        if not self._loaded:
            await self._ledger.load()
            self._loaded = True
        intents = [waiting.intent for waiting in batch]
        return await write_once(self._ledger, intents)


async def write_once(ledger: LedgerCallbacks, intents: list[Any]) -> list[Any]:
    """Merge intents with the state as read, and write it.

    :param ledger: how to merge and save.
    :param intents: what to merge.
    :returns: the answer to each.
    :raises PlatformError: when the write failed or its answer was lost.
    """
    merge = ledger.merge(intents)
    if merge.dirty:
        await merge.save()
    return merge.acks


def _drop_old(batch: list[_Waiting]) -> list[_Waiting]:
    # After a freeze an intent may be minutes old; its sender has long acted
    # on its failure, so it must not be written any more.
    now = read_clock()
    for waiting in batch:
        if waiting.deadline < now:
            waiting.fail(PlatformError('commit: intent is too old.'))
    return [young for young in batch if young.deadline >= now]
