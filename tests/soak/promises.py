"""Did the promises hold, by what callers and back ends saw?"""

from collections import Counter
from collections.abc import Iterator
from typing import Any, NamedTuple

from tests.soak.callers import EVENTS, Seen

#: Statuses that promise that a request has not run.
NOT_RUN = frozenset((429, 503))
TOKENS_PER_EVENT = 1
#: A route that some changes remove; none brings it back.
ORDERS = '/order/1'


Run = dict[str, Any]


class Witness(NamedTuple):
    """What was seen in a run.

    :param seen: by callers.
    :param runs: by server.
    :param prepaid: most tokens that were ever paid for.
    :param left_at: seconds since when a server is leaving.
    """

    seen: list[Seen]
    runs: dict[str, list[Run]]
    prepaid: int
    left_at: dict[str, float]


def find_broken(witness: Witness) -> Iterator[str]:
    """Find promises that were broken."""
    yield from _find_overspend(witness)
    yield from _find_repeats(witness)
    yield from _find_wrong_answers(witness)
    yield from _find_rollbacks(witness)


def _find_overspend(witness: Witness) -> Iterator[str]:
    prompts: dict[str, int] = {}
    events = 0
    for run in _list_runs(witness):
        declared = run['headers'].get('x-token-usage')
        if declared:
            prompts[run['id']] = int(declared.partition(',')[0])
            events += run.get('events', 0)
    total = sum(prompts.values()) + events * TOKENS_PER_EVENT
    if total > witness.prepaid:
        yield f'overspend: {total} of {witness.prepaid} tokens'


def _find_repeats(witness: Witness) -> Iterator[str]:
    counts = Counter(run['id'] for run in _list_runs(witness))
    paths = {run['id']: run['path'] for run in _list_runs(witness)}
    for request_id, count in counts.items():
        if count > 1 and paths[request_id].startswith('/order/'):
            yield f'ran {count} times: {request_id}'
    for one in witness.seen:
        if one.status in NOT_RUN and counts[one.request_id]:
            yield f'refused as not run, and ran: {one.request_id}'


def _find_wrong_answers(witness: Witness) -> Iterator[str]:
    for one in witness.seen:
        if one.status == 200 and one.whole and not _is_right(one):
            yield f'not the whole answer: {one.request_id}'


def _is_right(answer: Seen) -> bool:
    if answer.path.startswith('/stream/'):
        return _read_ids(answer.body) == list(range(1, EVENTS + 1))
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
    gone = [
        one for one in witness.seen if one.path == ORDERS and one.status == 404
    ]
    return {one.router: one.at for one in sorted(gone, reverse=True)}


def _read_ids(body: bytes) -> list[int]:
    lines = body.split(b'\n')
    return [int(line[3:]) for line in lines if line.startswith(b'id:')]


def _list_runs(witness: Witness) -> Iterator[Run]:
    for runs in witness.runs.values():
        yield from runs
