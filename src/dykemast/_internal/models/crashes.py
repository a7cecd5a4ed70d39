"""What routers tell each other of servers that ended, and under what."""

from typing import NamedTuple


class Suspect(NamedTuple):
    """A request that had just begun at a backend server when that ended.

    :param request: digest by which it is known again.
    :param sent_age_s: seconds since it was sent there.
    """

    request: str
    sent_age_s: float


class ServerCrash(NamedTuple):
    """The end of one start of a backend server.

    :param server: name of the start.
    :param age: seconds since it ended.
    :param suspects: requests that had just begun there.
    :param service: that it served; empty when that is not known.
    :param others: servers of that service that were there besides.
    :param refuted: whether it answered later on, so that it had not ended.
    """

    server: str
    age: float
    suspects: tuple[Suspect, ...]
    service: str = ''
    others: int = 0
    refuted: bool = False


class Clearance(NamedTuple):
    """A request that ran to its end.

    :param request: digest by which it is known again.
    :param age: seconds since it did.
    """

    request: str
    age: float


class Quarantine(NamedTuple):
    """A request that is not sent to any server for a while.

    :param request: digest by which it is known again.
    :param age: seconds since this was decided.
    :param seconds: for how long it still holds; 0 when it is over, and the
        next run decides.
    :param terms: how often it was decided.
    """

    request: str
    age: float
    seconds: float
    terms: int


class CrashGossip(NamedTuple):
    """All that one router tells of crashes.

    :param crashes: servers that ended.
    :param clearances: requests that were under suspicion and are not.
    :param quarantines: requests that are not sent.
    :param complete: whether it has asked the store, or another router, for
        all there is since it was last away.
    """

    crashes: tuple[ServerCrash, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()
    complete: bool = False


class CrashRecord(NamedTuple):
    """What the store keeps of one request.

    :param request: digest by which it is known again.
    :param servers: starts of servers that ended under it, one after another.
    :param terms: how often it was quarantined.
    :param beside: by server, other requests whose own row of ends it is in.
    """

    request: str
    servers: tuple[str, ...]
    terms: int
    beside: tuple[tuple[str, ...], ...] = ()

    def list_suspects(self, place: int) -> tuple[str, ...]:
        """List who may have ended one of the servers.

        :param place: of the server.
        :returns: requests.
        """
        others = self.beside[place] if place < len(self.beside) else ()
        return (self.request, *others)

    def covers(self, other: 'CrashRecord') -> bool:
        """Tell whether this says all that another record says.

        :param other: of the same request.
        :returns: whether it does.
        """
        return self.terms >= other.terms and self.list_ends().issuperset(
            other.list_ends()
        )

    def list_ends(self) -> set[tuple[str, str]]:
        """List who may have ended which server.

        :returns: pairs of a server's start and a request.
        """
        return {
            (server, suspect)
            for place, server in enumerate(self.servers)
            for suspect in self.list_suspects(place)
        }
