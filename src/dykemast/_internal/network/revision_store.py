"""Revisions of the configuration, as objects of the platform.

A revision is one object that never changes; a small head object names the
newest. The conditional update of the head decides between operators.
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
#: Start of the names of revisions.
REVISIONS: Final = 'configuration/revisions/'
#: Submissions that the head remembers.
MAX_REMEMBERED_SUBMISSIONS: Final = 32
#: Times that a submission is tried when answers are lost.
MAX_ATTEMPTS: Final = 4


class RevisionStore:
    """Reads and writes revisions.

    :param platform: session with the platform.
    """

    def __init__(self, platform: Platform) -> None:
        """Keep the session."""
        self._platform = platform
        self._known = Revision(0, '', _empty())

    async def read_head(self) -> Head:
        """Read which revision is the newest.

        :returns: the head.
        :raises PlatformError: when it could not be read.
        """
        stored = await self._platform.read(HEAD)
        return _decode_head(stored.body)

    async def read_newest(self) -> Revision:
        """Read the newest revision.

        :returns: the revision; number 0 when there is none.
        :raises PlatformError: when it could not be read.
        """
        head = await self.read_head()
        if head.number > self._known.number:
            stored = await self._platform.read(head.name)
            self._known = msgspec.json.decode(stored.body, type=Revision)
        return self._known

    async def wait_change(self, mark: int) -> Change:
        """Wait until the head changes.

        :param mark: from the last change; 0 at first.
        :returns: what changed, possibly nothing.
        """
        return await self._platform.watch(HEAD, mark)

    async def submit(
        self,
        configuration: Configuration,
        base: int,
        submission: str,
    ) -> int:
        """Make a configuration the newest revision.

        :param configuration: checked before.
        :param base: number of the revision that it was made from.
        :param submission: id by which a repeat is known.
        :returns: the new revision's number.
        :raises StaleRevisionError: when another one came in between.
        :raises PlatformError: when the platform is away.
        """
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._try_submit(configuration, base, submission)
            except (VersionConflictError, PlatformUnavailableError) as error:
                # The head tells on the next try whether it took effect.
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
        # The name is never used twice: one that lost the race for the head
        # stays behind and nobody reads it.
        name = '{}{:08d}-{}'.format(
            REVISIONS, revision.number, uuid.uuid4().hex
        )
        await self._platform.write(name, msgspec.json.encode(revision), 0)
        return name


def _explain_stale(newest: int, base: int) -> str:
    return (
        f'Revision {newest} is in force, and yours was made from {base}. '
        'Read it, bring in your change, and submit again.'
    )


def _decode_head(body: bytes) -> Head:
    return msgspec.json.decode(body, type=Head) if body else Head()


def _empty() -> Configuration:
    return Configuration(services=[], models=[], workspaces=[], policies=[])
