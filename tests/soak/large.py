"""A fleet that counts as large, in which several workspaces have paid."""

import random
from collections import defaultdict
from collections.abc import Iterable, Iterator
from types import MappingProxyType

from tests.lib.partitioned_router import PEER_MODES, SLOW
from tests.lib.users_objects import KEY, make_workspace
from tests.soak.faults import Fault
from tests.soak.proxy import ENDLESS
from tests.soak.requests import USUAL_PAYER, Payer
from tests.soak.seen import LEFT, UNREACHED, Seen, Witness
from tests.soak.sizes import Size
from tests.soak.spending import count_tokens, list_runs

ROUTERS = 24
#: Keys of workspaces, by name. The first is that of other plans.
KEYS = MappingProxyType(
    {
        'joinville': KEY,
        'lages': 'key-of-lages',
        'brusque': 'key-of-brusque',
        'itajai': 'key-of-itajai',
    }
)
FIRST = 'joinville'
#: The workspace whose callers all prefer one router, and that router.
ALONE = 'itajai'
HOME = 'node-7'
SHORTEST = 2.0
LONGEST = 6.0
#: Parts of the routers that a fault strikes.
STRUCK_SHARES = (0.5, 1.0)
BESIDE = ('link', 'server', 'store', 'kill', 'stop', 'endless')
#: A workspace counts if so many of its streams were asked for, and less than
#: this part of what it paid is spent.
LEAST_ASKED = 20
SPENT_SHARE = 0.5
#: Part of the share served of all requests that each workspace has to get.
SERVED_SHARE = 0.25


def list_payers(*, several: bool) -> tuple[Payer, ...]:
    """List who pays for callers, in turn."""
    if not several:
        return (USUAL_PAYER,)
    return tuple(
        Payer(name, key, HOME if name == ALONE else '')
        for name, key in KEYS.items()
    )


def list_workspaces(prepaid: int) -> list[dict[str, object]]:
    """List the workspaces besides the first, as the configuration does."""
    return [
        make_workspace(name, prepaid, (key,))
        for name, key in KEYS.items()
        if key != KEY
    ]


def draw_large(chance: random.Random, size: Size, last: float) -> list[Fault]:
    """Draw faults between routers, in series or overlapping, and others."""
    routers = size.list_routers()
    faults = []
    if chance.randrange(2):
        # Before anything is lent in advance.
        faults.append(Fault(0, 'apart', HOME, SLOW, last + LONGEST))
        routers.remove(HOME)
    faults += [
        fault
        for _ in range(chance.randint(1, 2))
        for fault in _draw_apart(chance, routers, last)
    ]
    for kind in chance.sample(BESIDE, chance.randint(1, 3)):
        faults.extend(_draw_other(chance, routers, kind, last))
    return faults


def _draw_apart(
    chance: random.Random, routers: list[str], last: float
) -> list[Fault]:
    at = chance.uniform(1, last)
    lasts = chance.uniform(SHORTEST, LONGEST)
    how = chance.choice(PEER_MODES)
    count = round(chance.choice(STRUCK_SHARES) * len(routers))
    return [
        Fault(at, 'apart', router, how, lasts)
        for router in chance.sample(routers, count)
    ]


def _draw_other(
    chance: random.Random, routers: list[str], kind: str, last: float
) -> list[Fault]:
    at = chance.uniform(1, last)
    lasts = chance.uniform(0.5, LONGEST)
    if kind == 'endless':
        return [Fault(at, 'link', 'engine-0', ENDLESS, lasts)]
    if kind == 'store':
        how = chance.choice(('away', 'silent'))
        return [Fault(at, kind, kind, how, lasts)]
    if kind == 'server':
        return [Fault(at, kind, 'engine-0', 'shed', lasts)]
    how = 'silent' if kind == 'link' else ''
    struck = chance.sample(routers, len(routers) // 4)
    return [Fault(at, kind, router, how, lasts) for router in struck]


def find_short(witness: Witness) -> Iterator[str]:
    """Find workspaces that were served far less often than all requests."""
    if {one.workspace for one in witness.seen} <= {FIRST}:
        return
    overall = _compute_served_share(witness.seen)
    spent = _count_spent_by_workspace(witness)
    for name in KEYS:
        asked = _list_streams(witness, name)
        has_paid = spent.get(name, 0) <= SPENT_SHARE * witness.prepaid
        if len(asked) < LEAST_ASKED or not has_paid:
            continue
        if _compute_served_share(asked) < SERVED_SHARE * overall:
            yield f'short: streams of {name}, {len(asked)} asked for'


def _list_streams(witness: Witness, workspace: str) -> list[Seen]:
    return [
        one for one in witness.seen if one.workspace == workspace and one.events
    ]


def find_overspent(witness: Witness) -> Iterator[str]:
    """Find workspaces that consumed more than they paid for."""
    for name, total in _count_spent_by_workspace(witness).items():
        if total > witness.prepaid:
            yield f'overspend: {total} of {witness.prepaid} tokens by {name}'


def _count_spent_by_workspace(witness: Witness) -> dict[str, int]:
    owners = {one.request_id: one.workspace for one in witness.seen}
    # Requests besides those of callers have the key of the first one.
    by_owner = defaultdict(list)
    for run in list_runs(witness):
        by_owner[owners.get(run['id'], FIRST)].append(run)
    return {name: count_tokens(by_owner[name]) for name in by_owner}


def _compute_served_share(asked: Iterable[Seen]) -> float:
    taken = [one for one in asked if one.end not in {LEFT, UNREACHED}]
    served = sum(one.status == 200 for one in taken)
    return served / len(taken) if taken else 0
