"""Service after a loss, retries, and servers that are leaving."""

import itertools
from collections import defaultdict
from collections.abc import Iterator

from tests.soak.history import find_overlap
from tests.soak.seen import LEFT, Seen, Witness
from tests.soak.spending import count_spent

#: Seconds in which service comes back, and the share that is served then.
RETURN_TIME = 12.0
SERVED_SHARE = 0.25
#: Refusals that are right whatever happened: no tokens, no route.
TRUE_REFUSALS = frozenset((402, 404))
#: Others may hold the rest of the budget, once so much of it is spent.
HELD = 429
SHORT_SHARE = 0.97
#: Seconds after which a leaving server gets nothing new, and for which faults
#: before may keep routers from hearing of it.
LEAVE_BOUND = 2.0
CONTACT = 3.0
DEAF_FAULTS = frozenset(('store', 'link', 'freeze', 'kill', 'stop'))
#: Sends beyond the first of each request, as the settings allow them.
RETRY_RATIO = 0.2
RETRY_SLACK = 52
RETRY_WINDOW = 10.0
STREAMS = '/stream/'


def find_absence(witness: Witness) -> Iterator[str]:
    """Find whether service did not come back after the last fault."""
    if not witness.calm_at:
        return
    owed = _list_owed(witness, witness.calm_at + RETURN_TIME)
    served = [one for one in owed if one.status == 200]
    if len(served) < max(1, SERVED_SHARE * len(owed)):
        yield f'service is not back: {len(served)} of {len(owed)} served'
    for router in sorted(witness.routers - witness.takers):
        yield f'{router} takes no request after all faults are over'


def _list_owed(witness: Witness, since: float) -> list[Seen]:
    refusals = set(TRUE_REFUSALS)
    if count_spent(witness) > SHORT_SHARE * witness.prepaid:
        refusals.add(HELD)
    sent = [one for one in witness.seen if one.at > since]
    stayed = [one for one in sent if one.end != LEFT]
    return [one for one in stayed if one.status not in refusals]


def find_late_sends(witness: Witness) -> Iterator[str]:
    """Find requests that reached a server long after it said it leaves."""
    routers = {one.request_id: one.router for one in witness.seen}
    for server in witness.left_at:
        for request_id, at in witness.arrivals[server]:
            router = routers.get(request_id, '')
            if _could_know(witness, router, server, at):
                yield f'sent late to {server}: {request_id} by {router}'


def _could_know(witness: Witness, router: str, server: str, at: float) -> bool:
    left_at = witness.left_at[server]
    if at <= left_at + LEAVE_BOUND:
        return False
    targets = {router, server, 'store'}
    return not find_overlap(
        witness.events, DEAF_FAULTS, targets, left_at - CONTACT, at
    )


def find_storms(witness: Witness) -> Iterator[str]:
    """Find windows with more sends beyond the first than are allowed."""
    streams = [one.at for one in witness.seen if _is_stream(one)]
    others = [one.at for one in witness.seen if not _is_stream(one)]
    yield from _find_storm(_list_repeats(witness, 'engine'), streams)
    yield from _find_storm(_list_repeats(witness, 'plain'), others)


def _is_stream(one: Seen) -> bool:
    return one.path.startswith(STREAMS)


def _find_storm(repeats: list[float], sent: list[float]) -> Iterator[str]:
    for first, at in enumerate(repeats):
        until = at + RETRY_WINDOW
        count = sum(one < until for one in repeats[first:])
        allowed = RETRY_RATIO * _count_sent(sent, at)
        if count > allowed + RETRY_SLACK:
            yield f'{count} sends beyond the first in {RETRY_WINDOW} s'
            return


def _list_repeats(witness: Witness, kind: str) -> list[float]:
    """List the moments at which a request arrived once more."""
    arrivals: dict[str, list[float]] = defaultdict(list)
    for server in witness.arrivals:
        if server.startswith(kind):
            for request_id, at in witness.arrivals[server]:
                arrivals[request_id].append(at)
    repeats = [sorted(moments)[1:] for moments in arrivals.values()]
    return sorted(itertools.chain.from_iterable(repeats))


def _count_sent(sent: list[float], at: float) -> int:
    """Count requests of the window, or of one shortly before, if more."""
    begins = (at, at - RETRY_WINDOW / 2, at - RETRY_WINDOW)
    return max(
        sum(begin <= one < begin + RETRY_WINDOW for one in sent)
        for begin in begins
    )
