"""Tables of what a load met."""

import sys
from collections import Counter
from typing import Final

from tools.callers import Served
from tools.percentiles import find_percentile
from tools.verdict import Truth

_MEDIAN: Final = 50
_P95: Final = 95


def show_requests(all_served: list[Served]) -> None:
    """Print what became of the requests.

    :param all_served: the requests.
    """
    answered = [served for served in all_served if served.is_answered()]
    codes = Counter(
        attempt.code
        for served in all_served
        for attempt in served.attempts
        if attempt.code != 'ok'
    )
    chats = [served for served in answered if served.kind == 'chat']
    _show('requests', len(all_served))
    _show('answered whole', len(answered))
    _show('attempts cut or refused', dict(codes))
    _show_times('first byte, chat', [served.first for served in chats])
    _show_times('whole answer, chat', [served.total for served in chats])


def show_truth(truth: Truth) -> None:
    """Print bills and budgets.

    :param truth: what the journal and the stand-ins say.
    """
    _show('bills', len(truth.bills))
    _show('tokens billed', sum(bill['tokens'] for bill in truth.bills))
    _show('tokens consumed at engines', truth.tokens)
    for budget in truth.budgets:
        text = '{paid} paid, {unspent} unspent, {in_doubt} in doubt'
        _show(budget['budget'], text.format(**budget))


def _show(name: str, text: object) -> None:
    sys.stdout.write('{:28} {}\n'.format(name, text))


def _show_times(name: str, seconds: list[float]) -> None:
    median = round(find_percentile(seconds, _MEDIAN))
    high = round(find_percentile(seconds, _P95))
    _show(name, f'median {median} ms, 95th percentile {high} ms')
