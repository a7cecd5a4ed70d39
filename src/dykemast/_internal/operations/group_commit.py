"""Group commit: one conditional update for many intents.

The owner of an object queues intents while a write is in progress, merges
them with a pure function and writes once. After a conflict or a lost answer
it reads and merges again, which is safe because merging is idempotent.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import logbook

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.rate_limiter import RateLimiter

_log = logbook.Logger('commit')

MAX_BATCH_INTENTS: Final = 256
#: Write attempts per batch.
MAX_ATTEMPTS: Final = 6
#: Time after which a queued intent is dropped.
INTENT_LIFETIME_S: Final = 5.0
#: Increase of the delay with each retry of a write.
RETRY_DELAY_S: Final = 0.02


class Merge(NamedTuple):
    """A batch merged with the state of an object.

    :param dirty: whether the merged state has to be written.
    :param acks: answer to each intent.
    :param save: writes the merged state; raises if that fails.
    """

    dirty: bool
    acks: list[Any]
    save: Callable[[], Awaitable[None]]


class LedgerCallbacks(NamedTuple):
    """Functions that read and merge the objects of one kind.

    :param load: reads the newest state; called again after a failure.
    :param merge: merges a batch with that state, without I/O.
    """

    load: Callable[[], Awaitable[None]]
    merge: Callable[[list[Any]], Merge]


class _Waiting(NamedTuple):
    intent: Any
    done: asyncio.Future[Any]
    deadline: float

    def answer(self, ack: Any) -> None:
        """Set the answer, unless the sender has stopped waiting."""
        if not self.done.done():
            self.done.set_result(ack)

    def fail(self, error: PlatformError) -> None:
        """Set the error of an intent that was not confirmed as written."""
        if not self.done.done():
            self.done.set_exception(error)


class GroupCommit:
    """Queue of intents for one object.

    :param name: name of the object, for logs.
    :param ledger: functions that read and merge it.
    :param pause: seconds between two writes, which bounds their rate.
    """

    def __init__(
        self, name: str, ledger: LedgerCallbacks, pause: float
    ) -> None:
        """Create an empty queue; the state is read before the first write."""
        self._name = name
        self._ledger = ledger
        self._rate_limiter = RateLimiter(pause)
        self._queue: asyncio.Queue[_Waiting] = asyncio.Queue(
            MAX_BATCH_INTENTS * 4
        )
        self._loaded = False

    async def submit(self, intents: list[Any]) -> list[Any]:
        """Queue intents and wait until they are written.

        :param intents: intents to merge into the object.
        :returns: the answer to each, once it is durable.
        :raises PlatformError: if an intent was not written in time.
        """
        loop = asyncio.get_running_loop()
        deadline = read_clock() + INTENT_LIFETIME_S
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
            while not self._queue.empty() and len(batch) < MAX_BATCH_INTENTS:
                batch.append(self._queue.get_nowait())
            await self._write_batch(_drop_expired(batch))
            await asyncio.sleep(self._rate_limiter.record_write())

    def _offer(self, waiting: _Waiting) -> None:
        try:
            self._queue.put_nowait(waiting)
        except asyncio.QueueFull:
            full = PlatformError(f'{self._name}: queue of intents is full')
            waiting.fail(full)

    async def _write_batch(self, batch: list[_Waiting]) -> None:
        try:
            acks = await self._try_writes(batch)
        except PlatformError as error:
            failure = error
        except Exception as error:
            # Without an answer the senders would wait forever, and later
            # batches may not raise the same error.
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
        for attempt in range(MAX_ATTEMPTS):
            try:
                return await self._write_once(batch)
            except PlatformError as error:
                self._loaded = False
                _log.debug('commit: retrying {}: {}', self._name, error)
                await asyncio.sleep(RETRY_DELAY_S * attempt)
        raise PlatformError(
            f'{self._name}: write failed after {MAX_ATTEMPTS} attempts'
        )

    async def _write_once(self, batch: list[_Waiting]) -> list[Any]:
        if not self._loaded:
            await self._ledger.load()
            self._loaded = True
        intents = [waiting.intent for waiting in batch]
        return await write_once(self._ledger, intents)


async def write_once(ledger: LedgerCallbacks, intents: list[Any]) -> list[Any]:
    """Merge intents with the state as read, and write it.

    :param ledger: functions that read and merge the object.
    :param intents: intents to merge.
    :returns: the answer to each.
    :raises PlatformError: if the write failed or its answer was lost.
    """
    merge = ledger.merge(intents)
    if merge.dirty:
        await merge.save()
    return merge.acks


def _drop_expired(batch: list[_Waiting]) -> list[_Waiting]:
    # After the process was suspended, an intent may be minutes old. Its
    # sender has already treated it as failed, so it must not be written.
    now = read_clock()
    for waiting in batch:
        if waiting.deadline < now:
            waiting.fail(PlatformError('commit: intent has expired'))
    return [valid for valid in batch if valid.deadline >= now]
