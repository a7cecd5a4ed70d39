"""In-memory platform with faults that a test chooses for each call."""

from collections import deque
from collections.abc import Coroutine
from typing import Any, NamedTuple

from dykemast._internal.exceptions import (
    PlatformUnavailableError,
    VersionConflictError,
)
from dykemast._internal.network.platform import Listed, Stored


def drive(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends."""
    try:
        work.send(None)
    except StopIteration as end:
        return end.value
    raise RuntimeError('it waits')


class Write(NamedTuple):
    """A write that has not taken effect yet."""

    name: str
    body: bytes
    version: int


class FakePlatform:
    """Versioned objects, and faults of the next writes."""

    def __init__(self) -> None:
        self.store: dict[str, Stored] = {}
        self.faults: deque[str] = deque()
        self.late: list[Write] = []
        self._mark = 0

    async def read(self, name: str) -> Stored:
        return self.store.get(name, Stored(b'', 0))

    async def list_objects(self, prefix: str) -> list[Listed]:
        return [
            Listed(name, stored.version)
            for name, stored in sorted(self.store.items())
            if name.startswith(prefix)
        ]

    async def write(self, name: str, body: bytes, version: int) -> int:
        fault = self.faults.popleft() if self.faults else ''
        if fault == 'drop':
            raise PlatformUnavailableError('dropped')
        if fault == 'late':
            self.late.append(Write(name, body, version))
            raise PlatformUnavailableError('late')
        mark = self.apply(Write(name, body, version))
        if fault == 'lose':
            raise PlatformUnavailableError('lost')
        return mark

    async def delete(self, name: str, version: int) -> None:
        assert self.store.pop(name).version == version

    def apply(self, write: Write) -> int:
        """Apply a write if its version is still the current one."""
        before = self.store.get(write.name, Stored(b'', 0))
        if before.version != write.version:
            raise VersionConflictError('other version')
        self._mark += 1
        self.store[write.name] = Stored(write.body, self._mark)
        return self._mark
