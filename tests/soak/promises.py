"""Did the promises hold, by what callers and back ends saw?"""

from collections import Counter
from collections.abc import Iterator

from tests.soak import large, partitions, versions
from tests.soak.asks import find_unheeded
from tests.soak.callers import NOT_RUN
from tests.soak.changes import find_outdated
from tests.soak.crashes import find_crash_storms
from tests.soak.halls import find_cold_crowds, find_sent_to_emptied
from tests.soak.losses import find_idle_work, find_losses, find_overstays
from tests.soak.returns import find_absence, find_late_sends, find_storms
from tests.soak.seen import WHOLE, Seen, Witness
from tests.soak.spending import list_runs

#: A route that some changes remove; none brings it back.
ORDERS = '/order/1'


def find_broken(witness: Witness) -> Iterator[str]:
    """Find promises that were broken."""
    for find in PROMISES:
        yield from find(witness)


def _find_repeats(witness: Witness) -> Iterator[str]:
    counts = Counter(run['id'] for run in list_runs(witness))
    paths = {run['id']: run['path'] for run in list_runs(witness)}
    for request_id, count in counts.items():
        if count > 1 and paths[request_id].startswith('/order/'):
            yield f'ran {count} times: {request_id}'
    for one in witness.seen:
        if one.status in NOT_RUN and counts[one.request_id]:
            yield f'refused as not run, and ran: {one.request_id}'


def _find_wrong_answers(witness: Witness) -> Iterator[str]:
    for one in witness.seen:
        if _is_served(one) and not _is_right(one):
            yield f'not the whole answer: {one.request_id}'


def _is_served(one: Seen) -> bool:
    return one.status == 200 and one.end == WHOLE


def _is_right(answer: Seen) -> bool:
    if answer.events:
        expected = range(answer.after + 1, answer.events + 1)
        return _read_ids(answer.body) == list(expected)
    return answer.body == b'done'


def _find_rollbacks(witness: Witness) -> Iterator[str]:
    """Find where a route that was removed for good is served again."""
    gone_at = _list_removals(witness)
    orders = [one for one in witness.seen if one.path == ORDERS]
    served = [one for one in orders if one.status == 200]
    for one in served:
        if one.at > gone_at.get(one.router, one.at):
            yield f'older configuration in force again: {one.request_id}'


def _list_removals(witness: Witness) -> dict[str, float]:
    """Tell when each router first showed that the route is gone."""
    gone_at: dict[str, float] = {}
    for one in witness.seen:
        if one.path == ORDERS and one.status == 404:
            known = gone_at.get(one.router, one.ended)
            gone_at[one.router] = min(one.ended, known)
    return gone_at


def _read_ids(body: bytes) -> list[int]:
    lines = body.split(b'\n')
    return [int(line[3:]) for line in lines if line.startswith(b'id:')]


#: Each finds where one promise was broken.
PROMISES = (
    large.find_overspent,
    large.find_short,
    _find_repeats,
    _find_wrong_answers,
    _find_rollbacks,
    find_outdated,
    find_losses,
    find_overstays,
    find_idle_work,
    find_late_sends,
    find_absence,
    find_storms,
    find_crash_storms,
    find_sent_to_emptied,
    find_cold_crowds,
    find_unheeded,
    partitions.find_cut_off,
    versions.find_mixed,
    versions.find_not_resumed,
)
