"""Servers that name a limit, say that they leave, or ask for rest."""

import random
from collections.abc import Iterator
from types import MappingProxyType
from typing import NamedTuple

from tests.lib.deployment import Deployment
from tests.soak.faults import Fault
from tests.soak.history import End, Event, History, find_overlap
from tests.soak.seen import Witness

#: Requests a second and seconds that servers of these runs ask for.
LIMIT = 1.8
REST = 2.0
#: Seconds from the first word of a limit on after which it holds, those in
#: which arrivals are counted, and how many there may be.
CONTACT = 3.0
WINDOW = 4.0
MOST = 1.5 * LIMIT * WINDOW + 5
#: Seconds after a router was told in which it may still send.
KNOW_TIME = 0.5
LEAVE_TIME = 2.0
MOST_IN_REST = 2
#: Faults after which a router is excused.
APART = frozenset(('kill', 'stop', 'freeze', 'link'))
SERVERS = ('engine-0', 'engine-1', 'plain-0')
ASKS = MappingProxyType(
    {
        'limit': {'fields': {'server-limit': str(LIMIT)}},
        'leaving': {'fields': {'server-leaving': '1'}},
        'rest': {'fields': {'retry-after': str(REST)}, 'fault': 'shed'},
    }
)
#: What may strike beside them, and how long each lasts.
BESIDE = ('kill', 'store', 'stop')
TIMES = MappingProxyType({'limit': 9.0, 'leaving': 5.0, 'rest': REST})


class _Arrival(NamedTuple):
    at: float
    router: str


def draw_asks(chance: random.Random, last: float) -> list[Fault]:
    """Draw servers that ask for something, and losses beside them."""
    servers = chance.sample(SERVERS, chance.randint(1, len(SERVERS)))
    faults = [_draw_ask(chance, server) for server in servers]
    for kind in chance.sample(BESIDE, chance.randint(0, len(BESIDE))):
        faults.append(_draw_loss(chance, kind, last))
    return faults


def _draw_ask(chance: random.Random, server: str) -> Fault:
    how = chance.choice(tuple(ASKS))
    return Fault(chance.uniform(0.5, 2), 'ask', server, how, TIMES[how])


def _draw_loss(chance: random.Random, kind: str, last: float) -> Fault:
    target = f'node-{chance.randrange(3)}'
    how = ''
    if kind == 'store':
        target, how = kind, chance.choice(('away', 'silent', 'deaf'))
    at = chance.uniform(0.5, last)
    return Fault(at, kind, target, how, chance.uniform(0.5, 3))


def begin_ask(deployment: Deployment, history: History, fault: Fault) -> End:
    """Have a server ask for something; what is returned ends that."""
    deployment.control(fault.target, **ASKS[fault.how])
    return history.begin(fault.how, fault.target)


def find_unheeded(witness: Witness) -> Iterator[str]:
    """Find servers that got more than they had asked for."""
    for event in witness.events:
        if event.kind in ASKS:
            arrivals = _list_bound(witness, event)
            count = CHECKS[event.kind](arrivals, event)
            if count:
                yield f'{event.target} got {count} too many, {event.kind}'


def _list_bound(witness: Witness, event: Event) -> list[_Arrival]:
    """List what routers sent that may have been told, and not excused."""
    routers = {one.request_id: one.router for one in witness.seen}
    return [
        _Arrival(at, routers[request_id])
        for request_id, at in witness.arrivals[event.target]
        if event.at <= at < event.until
        and request_id in routers
        and not find_overlap(
            witness.events, APART, {routers[request_id]}, event.at, at
        )
    ]


def _count_over_limit(arrivals: list[_Arrival], event: Event) -> int:
    since = event.at + CONTACT
    times = [one.at for one in arrivals if one.at >= since]
    most = max(
        (sum(begin <= at < begin + WINDOW for at in times) for begin in times),
        default=0,
    )
    return most if most > MOST else 0


def _count_after_word(arrivals: list[_Arrival], event: Event) -> int:
    told = _find_first(arrivals)
    ages = (one.at - told[one.router] for one in arrivals)
    return sum(age > KNOW_TIME + LEAVE_TIME for age in ages)


def _count_in_rest(arrivals: list[_Arrival], event: Event) -> int:
    told = _find_first(arrivals)
    early = [
        one.router
        for one in arrivals
        if KNOW_TIME < one.at - told[one.router] < REST
    ]
    most = max(map(early.count, early), default=0)
    return most if most > MOST_IN_REST else 0


def _find_first(arrivals: list[_Arrival]) -> dict[str, float]:
    """Find when each router was first answered."""
    return {one.router: one.at for one in reversed(arrivals)}


CHECKS = MappingProxyType(
    {
        'limit': _count_over_limit,
        'leaving': _count_after_word,
        'rest': _count_in_rest,
    }
)
