"""Storage of configuration revisions as platform objects.

A revision is an immutable object; a small head object names the newest one.
The conditional update of the head resolves races between operators.
"""

import uuid
from typing import Final

import msgspec

from dykemast._internal.exceptions import (
    PlatformUnavailableError,
    StaleRevisionError,
    VersionConflictError,
)
from dykemast._internal.models.revisions import (
    Configuration,
    Head,
    Revision,
)
from dykemast._internal.network.platform import Change, Platform

#: Name of the head object.
HEAD: Final = 'configuration/head'
#: Prefix of the names of revisions.
REVISIONS: Final = 'configuration/revisions/'
#: Number of submission ids in the head, by which repeats are recognized.
MAX_REMEMBERED_SUBMISSIONS: Final = 32
#: Attempts to submit when responses are lost or another write comes first.
MAX_ATTEMPTS: Final = 4


class RevisionStore:
    """Reads and writes revisions.

    :param platform: session with the platform.
    """

    def __init__(self, platform: Platform) -> None:
        """Initialize the store with an empty cached revision."""
        self._platform = platform
        self._known = Revision(0, '', _empty())

    async def read_head(self) -> Head:
        """Read the head, which names the newest revision.

        :returns: the head.
        :raises PlatformError: when the read fails.
        """
        stored = await self._platform.read(HEAD)
        return _decode_head(stored.body)

    async def read_newest(self) -> Revision:
        """Read the newest revision.

        :returns: the revision; number 0 when none exists.
        :raises PlatformError: when the read fails.
        """
        head = await self.read_head()
        if head.number > self._known.number:
            stored = await self._platform.read(head.name)
            self._known = msgspec.json.decode(stored.body, type=Revision)
        return self._known

    async def wait_change(self, mark: int) -> Change:
        """Wait until the head changes.

        :param mark: mark of the previous change; 0 initially.
        :returns: the change; without names when the watch timed out.
        """
        return await self._platform.watch(HEAD, mark)

    async def submit(
        self,
        configuration: Configuration,
        base: int,
        submission: str,
    ) -> int:
        """Make a configuration the newest revision.

        :param configuration: a configuration that was checked.
        :param base: number of the revision that it is based on.
        :param submission: idempotency key of the submission.
        :returns: the new revision's number.
        :raises StaleRevisionError: when the base is not the newest revision.
        :raises PlatformError: when the platform is unavailable.
        """
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._try_submit(configuration, base, submission)
            except (VersionConflictError, PlatformUnavailableError) as error:
                # The next attempt sees in the head whether the write succeeded.
                failure = error
        raise failure

    async def _try_submit(
        self,
        configuration: Configuration,
        base: int,
        submission: str,
    ) -> int:
        stored = await self._platform.read(HEAD)
        head = _decode_head(stored.body)
        if submission in head.submissions:
            return head.number
        if head.number != base:
            raise StaleRevisionError(_explain_stale(head.number, base))
        name = await self._write_revision(
            Revision(base + 1, submission, configuration)
        )
        known = (*head.submissions, submission)[-MAX_REMEMBERED_SUBMISSIONS:]
        body = msgspec.json.encode(Head(base + 1, name, known))
        await self._platform.write(HEAD, body, stored.version)
        return base + 1

    async def _write_revision(self, revision: Revision) -> str:
        # Names are unique: a revision that loses the race for the head remains
        # as an object that is never read.
        name = '{}{:08d}-{}'.format(
            REVISIONS, revision.number, uuid.uuid4().hex
        )
        await self._platform.write(name, msgspec.json.encode(revision), 0)
        return name


def _explain_stale(newest: int, base: int) -> str:
    return (
        f'the newest revision is {newest}, but the submission is based on '
        f'{base}. Merge your change into revision {newest} and submit again.'
    )


def _decode_head(body: bytes) -> Head:
    return msgspec.json.decode(body, type=Head) if body else Head()


def _empty() -> Configuration:
    return Configuration(services=[], models=[], workspaces=[], policies=[])
