"""Faults that come in series and overlap, as they do around planned work."""

import random
from collections.abc import Callable

from tests.soak.faults import Fault
from tests.soak.sizes import Size

#: Seconds in which a series begins.
BEGIN_TIME = 5.0
#: Seconds between two planned stops of a roll, and after a stop in which more
#: strikes the same router.
ROLL_GAPS = (0.3, 4.5)
STOP_TIME = 7.0
MOST_TROUBLES = 3
#: Seconds between the two losses of all routers.
TWICE_GAPS = (0.5, 3.5)
#: Troubles around a roll, besides: kind, what it strikes and variants.
TROUBLES = (
    ('link', 'server', ('reset', 'stale')),
    ('link', 'server', ('stale',)),
    ('link', 'router', ('reset', 'stale')),
    ('store', 'store', ('away', 'slow', 'silent', 'lose')),
    ('configure', 'store', ('raise', 'routes')),
    ('kill', 'router', ('',)),
    ('freeze', 'router', ('',)),
    ('reload', 'router', ('',)),
    ('leave', 'engine-0', ('',)),
)

Draw = Callable[[random.Random, Size, float], list[Fault]]


def draw_series(chance: random.Random, size: Size) -> list[Fault]:
    """Draw one series of faults."""
    at = chance.uniform(0.5, BEGIN_TIME)
    return chance.choice(SERIES)(chance, size, at)


def _roll(chance: random.Random, size: Size, at: float) -> list[Fault]:
    """Stop one router after the other, with trouble around it."""
    gap = chance.uniform(*ROLL_GAPS)
    faults = []
    for name in chance.sample(size.list_routers(), size.count_rolled()):
        faults.append(_stop(name, at + gap * len(faults)))
    end = faults[-1].at + STOP_TIME
    for _ in range(chance.randint(0, MOST_TROUBLES)):
        faults.append(_draw_trouble(chance, size, chance.uniform(at, end)))
    return faults


def _draw_trouble(chance: random.Random, size: Size, at: float) -> Fault:
    kind, target, hows = chance.choice(TROUBLES)
    if target == 'router':
        target = chance.choice(size.list_routers())
    elif target == 'server':
        target = chance.choice(size.list_servers())
    lasts = chance.uniform(0.3, 3)
    return Fault(at, kind, target, chance.choice(hows), lasts)


def _stop_and_more(chance: random.Random, size: Size, at: float) -> list[Fault]:
    """Stop a router, and send it more signals while it stops."""
    name = chance.choice(size.list_routers())
    kinds = chance.choices(('stop', 'reload'), k=chance.randint(1, 3))
    more = [
        Fault(at + chance.uniform(0.2, STOP_TIME), kind, name, '', 0)
        for kind in kinds
    ]
    return [_stop(name, at), *more]


def _lose_all_twice(
    chance: random.Random, size: Size, at: float
) -> list[Fault]:
    """Kill all routers twice within seconds; the store may be away, too."""
    again = at + chance.uniform(*TWICE_GAPS)
    faults = [
        Fault(at, 'kill_all', 'routers', '', chance.uniform(0.1, 2)),
        Fault(again, 'kill_all', 'routers', '', chance.uniform(0.1, 2)),
    ]
    how = chance.choice(('', 'away', 'silent', 'slow'))
    if how:
        lasts = chance.uniform(1, 6)
        faults.append(Fault(at, 'store', 'store', how, lasts))
    return faults


def _silence_links(chance: random.Random, size: Size, at: float) -> list[Fault]:
    """Let many open connections go silent for good, and a router stop."""
    routers = size.list_routers()
    struck = chance.choice((routers, size.list_servers()))
    faults = [Fault(at, 'link', name, 'stale', 0) for name in struck]
    stopped = chance.choice(routers)
    return [*faults, _stop(stopped, at + chance.uniform(0, STOP_TIME))]


def _stop(name: str, at: float) -> Fault:
    return Fault(at, 'stop', name, '', 0)


#: Rolls are what happens most often.
SERIES: tuple[Draw, ...] = (
    _roll,
    _roll,
    _stop_and_more,
    _lose_all_twice,
    _silence_links,
)
