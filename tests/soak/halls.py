"""Halls that are emptied, and servers that turn cold."""

import random
from collections.abc import Iterator
from types import MappingProxyType

from tests.lib.deployment import Deployment
from tests.lib.users_objects import HALL, make_evacuation
from tests.lib.users_settings import EVACUATE_MS
from tests.soak.faults import Fault
from tests.soak.history import End, Event, History, find_overlap
from tests.soak.seen import Witness

#: Kinds of their events; a hall is emptied from the store's answer on.
EMPTIED = 'emptied'
COLD = 'cold'
OTHER_HALL = 'curitiba'
#: Where servers stand that do not stand in the usual hall.
HALLS = MappingProxyType({'engine-1': OTHER_HALL})
EVACUATE_TIME = EVACUATE_MS / 1000
#: What servers of these runs bear while cold, and all routers may send then.
COLD_TIME = 3.0
COLD_RATE = 4.0
COLD_MOST = 1.5 * COLD_RATE + 5
SERVICE = MappingProxyType({'coldStartS': COLD_TIME, 'coldPerS': COLD_RATE})
#: Seconds until routers have heard that a server turned cold.
HEAR_TIME = 1.0
#: Faults after which a router was not in touch, and for how long.
CONTACT = 4.0
APART = frozenset(('store', 'link', 'freeze', 'kill', 'stop'))


def draw_halls(chance: random.Random, last: float) -> list[Fault]:
    """Draw halls that are emptied, also both and again, and cold servers."""
    count = chance.randint(1, 3)
    faults = [_draw_emptied(chance, last) for _ in range(count)]
    for _ in range(chance.randint(1, 3)):
        server = f'engine-{chance.randrange(2)}'
        faults.append(
            Fault(chance.uniform(0.5, last), 'cool', server, '', COLD_TIME)
        )
    if chance.randrange(2):
        at = chance.uniform(0.5, last)
        faults.append(Fault(at, 'kill_all', 'routers', '', 0.5))
    return faults


def _draw_emptied(chance: random.Random, last: float) -> Fault:
    hall = chance.choice((HALL, OTHER_HALL))
    lasts = chance.choice((0.4, EVACUATE_TIME + 1, EVACUATE_TIME + 3))
    return Fault(chance.uniform(0.5, last / 2), 'evacuate', hall, '', lasts)


class EmptiedHalls:
    """Halls that are to be emptied now."""

    def __init__(self, deployment: Deployment, history: History) -> None:
        self._deployment = deployment
        self._history = history
        self._ends: dict[str, End] = {}

    def ask(self, hall: str) -> None:
        """Ask that a hall is emptied; once more changes nothing."""
        self._deployment.control('store', put=[make_evacuation(hall)])
        if hall not in self._ends:
            self._ends[hall] = self._history.begin(EMPTIED, hall)

    def take_back(self, hall: str) -> None:
        """Take it back, whoever asked for it."""
        end = self._ends.pop(hall, None)
        if end:
            end()
        self._deployment.control('store', remove=[['evacuations', hall]])


class ColdServers:
    """Servers that say that they are cold now."""

    def __init__(self, deployment: Deployment, history: History) -> None:
        self._deployment = deployment
        self._history = history
        self._ends: dict[str, End] = {}

    def cool(self, server: str) -> End:
        """Have a server say that it is cold; what is returned has it warm.

        When it turns cold again before, only the last one does.
        """
        before = self._ends.pop(server, None)
        if before:
            before()
        self._tell(server, COLD_TIME)
        end = self._history.begin(COLD, server)
        self._ends[server] = end

        def warm() -> None:
            if self._ends.get(server) is end:
                self._ends.pop(server)
                end()
                self._tell(server, 0)

        return warm

    def _tell(self, server: str, seconds: float) -> None:
        stored = self._deployment.read_object('servers', server)
        changed = {**stored, 'coldLeftMs': int(seconds * 1000)}
        self._deployment.control('store', put=[['servers', server, changed]])


def find_sent_to_emptied(witness: Witness) -> Iterator[str]:
    """Find requests that reached a hall long after it was to be emptied."""
    emptied = [one for one in witness.events if one.kind == EMPTIED]
    for event in emptied:
        for server in witness.arrivals:
            if HALLS.get(server, HALL) == event.target:
                yield from _find_late(witness, event, server)


def _find_late(witness: Witness, event: Event, server: str) -> Iterator[str]:
    routers = {one.request_id: one.router for one in witness.seen}
    for request_id, at in witness.arrivals[server]:
        router = routers.get(request_id, '')
        if _could_know(witness, event, router, at):
            yield f'sent to emptied {server}: {request_id} by {router}'


def _could_know(
    witness: Witness,
    emptied: Event,
    router: str,
    at: float,
) -> bool:
    if not emptied.at + EVACUATE_TIME < at < emptied.until:
        return False
    targets = {router, 'store'}
    since = at - CONTACT
    return not find_overlap(witness.events, APART, targets, since, at)


def find_cold_crowds(witness: Witness) -> Iterator[str]:
    """Find seconds in which a cold server got more than it may."""
    for event in witness.events:
        if event.kind != COLD:
            continue
        busiest = _count_busiest(witness, event)
        if busiest > COLD_MOST:
            yield f'{event.target} got {busiest} requests in a second, cold'


def _count_busiest(witness: Witness, event: Event) -> int:
    since = event.at + HEAR_TIME
    arrivals = witness.arrivals[event.target]
    times = [at for _, at in arrivals if since <= at < event.until]
    return max((_count_from(times, first) for first in times), default=0)


def _count_from(times: list[float], first: float) -> int:
    return sum(first <= at < first + 1 for at in times)
