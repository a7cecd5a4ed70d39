"""The store as one router of a fleet reaches it."""

import asyncio
from collections.abc import Set
from typing import Any, Final

from dykemast._internal.exceptions import PlatformUnavailableError
from dykemast._internal.platform.store_types import StoreObject
from tests.unit.test_ledger_writer import LateStore

#: Seconds after which a call fails that the store does not answer.
STORE_TIMEOUT_S: Final = 0.5


class ReachedStore:
    """The store as one router reaches it.

    :param store: the store.
    :param name: the router.
    :param cut_off: routers that get no answer.
    """

    def __init__(self, store: LateStore, name: str, cut_off: Set[str]) -> None:
        self._store = store
        self._name = name
        self._cut_off = cut_off

    async def read(self, *words: Any) -> StoreObject:
        await self._check()
        return await self._store.read(*words)

    async def write(self, kind: str, planned: StoreObject) -> StoreObject:
        await self._check()
        return await self._store.write(kind, planned)

    async def _check(self) -> None:
        if self._name in self._cut_off:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise PlatformUnavailableError(f'{self._name}: no answer.')
