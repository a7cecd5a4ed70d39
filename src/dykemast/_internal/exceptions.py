"""Errors of the program, in one tree.

Each message says what happened, why, and what to do about it.
"""

from typing import Any, NamedTuple


class Finding(NamedTuple):
    """One thing wrong in a file.

    :param path: the file.
    :param line: its line, from 1; 0 when unknown.
    :param field: dotted path of the field.
    :param text: what is wrong, and what would be right.
    """

    path: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        """Show as ``file:line: field: text``."""
        return f'{self.path}:{self.line}: {self.field}: {self.text}'


class DykemastError(Exception):
    """Base of all errors that the program raises on purpose."""


class InvalidFileError(DykemastError):
    """A settings or configuration file has findings.

    :param findings: all of them.
    """

    def __init__(self, findings: list[Finding]) -> None:
        """Keep the findings."""
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = findings


class PlatformError(DykemastError):
    """A call to the platform's object API failed."""


class VersionConflictError(PlatformError):
    """The object has another version: nothing was written.

    :param current: the object as it is, where the platform says so.
    """

    def __init__(self, text: str, current: Any = None) -> None:
        """Keep the object."""
        super().__init__(text)
        self.current = current


class PlatformUnavailableError(PlatformError):
    """No usable answer.

    :param refused: whether nothing was done; else a write may or may not
        have taken effect, or take effect later.
    """

    def __init__(self, text: str, *, refused: bool = False) -> None:
        """Keep whether the call was refused."""
        super().__init__(text)
        self.refused = refused


class MissingObjectError(PlatformError):
    """There is no object to replace: nothing was written."""


class HistoryLostError(PlatformError):
    """A watch cannot go on: list the objects again."""


class ContendedError(PlatformError):
    """Other routers wrote the object each time; the store is there."""


class InvalidBudgetError(PlatformError):
    """The row of a budget makes no sense; nothing may be consumed by it."""


class PeerError(DykemastError):
    """A call to another router failed or was refused."""


class InvalidDataError(DykemastError):
    """What another router sent, or the store holds, makes no sense."""


class ListenerEndedError(DykemastError):
    """A listener serves no more, though nobody closed it."""


class UpstreamError(DykemastError):
    """A backend server failed.

    :param sent: whether any byte of the order may have reached it, and it
        does not say that it did not run it.
    :param unconnected: whether there was not even a connection.
    :param absent: whether this shows that the server is no longer at its
        address: nobody listens there, or another server does.
    :param broken: whether its connection ended before the answer did.
    """

    def __init__(
        self,
        text: str,
        *,
        sent: bool,
        unconnected: bool = False,
        absent: bool = False,
        broken: bool = False,
    ) -> None:
        """Keep whether the order may have run."""
        super().__init__(text)
        self.sent = sent
        self.unconnected = unconnected
        self.absent = absent
        self.broken = broken


class BackpressureError(UpstreamError):
    """This router kept a request from a backend server; nothing went out."""

    def __init__(self, reason: str) -> None:
        """Keep the reason."""
        super().__init__(f'held back: {reason}', sent=False, unconnected=True)


class AdminError(DykemastError):
    """The administration API refused a command, or did not answer."""


class StaleRevisionError(DykemastError):
    """Another operator's configuration came first: read it and retry."""
