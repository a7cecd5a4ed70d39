"""Budgets of all workspaces, as the object store has them."""

import asyncio
from typing import NamedTuple

from dykemast._internal.exceptions import VersionConflictError
from dykemast._internal.platform.store_types import StoreObject

#: Time that a call takes each way.
STORE_S = 0.002


class Listing(NamedTuple):
    """What a listing finds."""

    found: list[StoreObject]


class BudgetStore:
    """Objects by workspace; writes are conditional."""

    def __init__(self) -> None:
        self._stored: dict[str, StoreObject] = {}

    async def read(self, workspace: str) -> StoreObject:
        """Read a budget; one that does not exist has revision 0."""
        await asyncio.sleep(2 * STORE_S)
        return self._stored.get(workspace, StoreObject(workspace, 0, {}))

    async def list_all(self) -> Listing:
        """List all budgets."""
        await asyncio.sleep(2 * STORE_S)
        return Listing(list(self._stored.values()))

    async def write(self, planned: StoreObject) -> StoreObject:
        """Replace a budget, if its revision is the expected one."""
        await asyncio.sleep(STORE_S)
        stored = self._stored.get(
            planned.name, StoreObject(planned.name, 0, {})
        )
        if planned.revision != stored.revision:
            raise VersionConflictError('another version', stored)
        written = planned._replace(revision=stored.revision + 1)
        self._stored[planned.name] = written
        await asyncio.sleep(STORE_S)
        return written
