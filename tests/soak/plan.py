"""A seed gives the whole plan of a run."""

import random
from typing import NamedTuple

from tests.soak.proxy import MODES

#: Seconds in which faults begin; they come in series and overlap.
FAULT_TIME = 7.0
ROUTERS = 3
ENGINES = 2
SERVERS = ('engine-0', 'engine-1', 'plain-0')
STORE_FAULTS = ('away', 'silent', 'lose', 'deaf')
CHANGES = ('raise', 'lower', 'routes')
SERVER_FAULTS = ('shed', 'error', 'cut', 'mute', 'unsigned', 'other')


class Fault(NamedTuple):
    """One fault.

    :param at: seconds from the start.
    :param kind: name of the method that brings it about.
    :param target: what it strikes.
    :param how: its variant.
    :param lasts: seconds.
    """

    at: float
    kind: str
    target: str
    how: str
    lasts: float


def make_plan(seed: int) -> list[Fault]:
    """Make the plan of a seed, in order of time."""
    chance = random.Random(seed)
    faults = [_draw_fault(chance) for _ in range(chance.randint(4, 9))]
    return sorted(faults)


def _draw_fault(chance: random.Random) -> Fault:
    kind, target, how = chance.choice(_list_choices(chance))
    at = chance.uniform(0.5, FAULT_TIME)
    lasts = chance.uniform(0.3, 3)
    return Fault(at, kind, target, how, lasts)


def _list_choices(chance: random.Random) -> list[tuple[str, str, str]]:
    router = f'node-{chance.randrange(ROUTERS)}'
    server = chance.choice(SERVERS)
    # The order of draws makes a seed's plan: it stays.
    return [
        ('kill', router, ''),
        ('stop', router, ''),
        ('freeze', router, ''),
        ('reload', router, ''),
        ('store', 'store', chance.choice(STORE_FAULTS)),
        ('link', router, chance.choice(MODES)),
        ('link', server, chance.choice(MODES)),
        ('server', server, chance.choice(SERVER_FAULTS)),
        ('leave', 'engine-0', ''),
        ('configure', 'store', chance.choice(CHANGES)),
        ('kill_all', 'routers', ''),
    ]
