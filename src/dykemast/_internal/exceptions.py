"""Exceptions of the program.

Each message says what happened, why, and what to do about it.
"""

from typing import Any, NamedTuple


class Finding(NamedTuple):
    """One error in a file.

    :param path: the file.
    :param line: line number, from 1; 0 when unknown.
    :param field: dotted path of the field.
    :param text: what is wrong, and what is expected.
    """

    path: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        """Format as ``file:line: field: text``."""
        return f'{self.path}:{self.line}: {self.field}: {self.text}'


class DykemastError(Exception):
    """Base class of all exceptions that the program raises itself."""


class InvalidFileError(DykemastError):
    """A settings or configuration file is invalid.

    :param findings: all errors in the file.
    """

    def __init__(self, findings: list[Finding]) -> None:
        """Make an error whose message lists the findings, one a line."""
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = findings


class PlatformError(DykemastError):
    """A call of the platform's object API failed."""


class VersionConflictError(PlatformError):
    """A conditional write found another version; nothing was written.

    :param current: the stored object, if the platform returned it.
    """

    def __init__(self, text: str, current: Any = None) -> None:
        """Make an error with the stored object."""
        super().__init__(text)
        self.current = current


class PlatformUnavailableError(PlatformError):
    """The platform gave no usable response.

    :param refused: whether the call certainly had no effect; else a write may
        have taken effect, or take effect later.
    """

    def __init__(self, text: str, *, refused: bool = False) -> None:
        """Make an error; see the class for its parameters."""
        super().__init__(text)
        self.refused = refused


class EarlierEraError(PlatformUnavailableError):
    """An answer from before the store returned from an older copy.

    A write that it confirms may be lost.
    """


class MissingObjectError(PlatformError):
    """The object to replace does not exist; nothing was written."""


class HistoryLostError(PlatformError):
    """A watch cannot be resumed; the objects have to be listed again."""


class ContendedError(PlatformError):
    """Each try to write an object lost to a write of another router.

    The store itself is available.
    """


class InvalidBudgetError(PlatformError):
    """The stored row of a budget is invalid; nothing may be spent from it."""


class PeerError(DykemastError):
    """A call to another router failed or was refused."""


class UnknownCallError(PeerError):
    """Another router, of an earlier build, does not know a call."""


class InvalidDataError(DykemastError):
    """Data from another router or from the store is invalid."""


class ListenerEndedError(DykemastError):
    """A listener stopped serving without having been closed."""


class UpstreamError(DykemastError):
    """A backend server failed.

    :param sent: whether the server may have run the request: some of its bytes
        may have arrived, and the server does not say that it did not run it.
    :param unconnected: whether no connection was established.
    :param absent: whether the server is known to have left its address: nothing
        listens there, or another server does.
    :param broken: whether the connection closed before the response ended.
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
        """Make an error; see the class for its parameters."""
        super().__init__(text)
        self.sent = sent
        self.unconnected = unconnected
        self.absent = absent
        self.broken = broken


class TunnelError(DykemastError):
    """Another router opened no tunnel to a backend server.

    :param status: HTTP status of its response: 502 if the server refuses
        connections, 504 if the server cannot be reached, 403 if it is not
        listed, 503 if the other router opens no tunnels now.
    """

    def __init__(self, text: str, status: int) -> None:
        """Make an error; see the class for its parameters."""
        super().__init__(text)
        self.status = status


class NoTunnelError(DykemastError):
    """No peer opened a tunnel to a backend server."""


class BackpressureError(UpstreamError):
    """Backpressure of a backend server; nothing was sent to it."""

    def __init__(self, reason: str) -> None:
        """Make an error with the reason: leaving, backoff or limit."""
        super().__init__(f'not sent: {reason}', sent=False, unconnected=True)


class AdminError(DykemastError):
    """The administration API refused a command, or did not respond."""


class StaleRevisionError(DykemastError):
    """A newer configuration was submitted meanwhile: read it and retry."""
