"""Messages in which routers report server crashes and suspect requests."""

from typing import NamedTuple


class Suspect(NamedTuple):
    """A request that had just started on a server when the server crashed.

    :param request: digest that identifies the request.
    :param sent_age_s: seconds since the request was sent to the server.
    """

    request: str
    sent_age_s: float


class ServerCrash(NamedTuple):
    """The crash of one incarnation of a backend server.

    :param server: incarnation name of the server.
    :param age: seconds since the crash.
    :param suspects: requests that had just started on the server.
    :param service: service of the server; empty if unknown.
    :param others: number of other servers of the service at that time.
    :param refuted: whether the server answered later, which shows that it had
        not crashed.
    """

    server: str
    age: float
    suspects: tuple[Suspect, ...]
    service: str = ''
    others: int = 0
    refuted: bool = False


class Clearance(NamedTuple):
    """A request that ran without crashing its server.

    :param request: digest that identifies the request.
    :param age: seconds since the run.
    """

    request: str
    age: float


class Quarantine(NamedTuple):
    """A request that is not sent to any server for some time.

    :param request: digest that identifies the request.
    :param age: seconds since the request was quarantined.
    :param seconds: seconds left; 0 if the quarantine has expired and the next
        run decides.
    :param terms: number of times the request has been quarantined.
    """

    request: str
    age: float
    seconds: float
    terms: int


class CrashGossip(NamedTuple):
    """Everything that one router reports about crashes.

    :param crashes: servers that crashed.
    :param clearances: requests that are no longer suspects.
    :param quarantines: requests that are not sent to servers.
    :param complete: whether the router has read the complete state from the
        store or a peer since it was last suspended.
    """

    crashes: tuple[ServerCrash, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()
    complete: bool = False


class CrashRecord(NamedTuple):
    """What the store holds about one request.

    :param request: digest that identifies the request.
    :param servers: incarnation names of the servers that crashed under the
        request, in order.
    :param terms: number of times the request has been quarantined.
    :param beside: for each server, the other requests whose crash sequence
        includes it.
    """

    request: str
    servers: tuple[str, ...]
    terms: int
    beside: tuple[tuple[str, ...], ...] = ()

    def list_suspects(self, index: int) -> tuple[str, ...]:
        """List the requests that may have crashed one of the servers.

        :param index: index of the server.
        :returns: digests of the requests.
        """
        others = self.beside[index] if index < len(self.beside) else ()
        return (self.request, *others)

    def covers(self, other: 'CrashRecord') -> bool:
        """Check whether this record includes all of another record.

        :param other: record of the same request.
        :returns: whether it does.
        """
        return (
            self.terms >= other.terms
            and self.list_attributions().issuperset(other.list_attributions())
        )

    def list_attributions(self) -> set[tuple[str, str]]:
        """List which request may have crashed which server.

        :returns: pairs of an incarnation name and a request.
        """
        return {
            (server, suspect)
            for index, server in enumerate(self.servers)
            for suspect in self.list_suspects(index)
        }
