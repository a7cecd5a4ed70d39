"""What operators change."""

from typing import Any, NamedTuple

import msgspec
from starlette.requests import Request

from dykemast._internal.models.budgets import TopupIntent
from dykemast._internal.network.admin_parts import AdminParts
from dykemast._internal.network.budget_ledger import PREFIX
from dykemast._internal.operations.comparison import compare_configurations
from dykemast._internal.operations.findings import check_configuration
from dykemast._internal.operations.rendezvous import choose_shard


class Submission(NamedTuple):
    """A configuration as an operator submits it.

    :param text: the YAML document.
    :param path: name of its file, for findings.
    :param base: number of the revision that it was made from.
    :param submission: id by which a repeat is known.
    """

    text: str
    path: str = 'configuration'
    base: int = 0
    submission: str = ''


async def check(parts: AdminParts, request: Request) -> Any:
    """Check a configuration without submitting it.

    :param parts: parts of the router.
    :param request: carries a :class:`Submission`.
    :returns: no findings; those there are come as an error.
    """
    order = await _read_body(request, Submission)
    check_configuration(order.path, order.text)
    return {'findings': []}


async def compare_with_newest(parts: AdminParts, request: Request) -> Any:
    """Compare a configuration with the newest revision.

    :param parts: parts of the router.
    :param request: carries a :class:`Submission`.
    :returns: the revision's number and the differences.
    """
    order = await _read_body(request, Submission)
    configuration = check_configuration(order.path, order.text)
    newest = await parts.store.read_newest()
    found = compare_configurations(newest.configuration, configuration)
    return {
        'revision': newest.number,
        'differences': [difference._asdict() for difference in found],
    }


async def submit(parts: AdminParts, request: Request) -> Any:
    """Make a configuration the next revision.

    :param parts: parts of the router.
    :param request: carries a :class:`Submission`.
    :returns: the revision's number.
    """
    order = await _read_body(request, Submission)
    if not order.submission:
        raise msgspec.ValidationError('A submission has an id.')
    configuration = check_configuration(order.path, order.text)
    number = await parts.store.submit(
        configuration, order.base, order.submission
    )
    return {'revision': number}


async def top_up(parts: AdminParts, request: Request) -> Any:
    """Add paid tokens to a budget, once for each id.

    :param parts: parts of the router.
    :param request: carries a ``TopupIntent``.
    :returns: the budget after it.
    """
    order = await _read_body(request, TopupIntent)
    _check_topup(parts, order)
    shards = parts.board.settings.get('budget_shards', 1)
    ledger = f'{PREFIX}{choose_shard(order.budget, shards)}'
    ack = (await parts.keepers.commit(ledger, [order]))[0]
    return {'budget': order.budget, 'paid': ack.paid, 'unspent': ack.unspent}


def _check_topup(parts: AdminParts, order: TopupIntent) -> None:
    revision = parts.board.rules.revision
    workspaces = revision.configuration['workspaces'] if revision else []
    owner, _, name = order.budget.partition('/')
    if not name or owner not in {one['name'] for one in workspaces}:
        text = 'No workspace has this budget; write WORKSPACE/NAME.'
        raise msgspec.ValidationError(text)
    if order.tokens < 1 or not order.topup:
        raise msgspec.ValidationError('A top-up has an id and tokens above 0.')


async def _read_body(request: Request, shape: Any) -> Any:
    body = await request.body()
    fields = msgspec.json.decode(body, type=dict[str, Any])
    known = [name for name in shape._fields if name in fields]
    # Named tuples travel as arrays; what people write is by name.
    ordered = shape._field_defaults | {name: fields[name] for name in known}
    missing = [name for name in shape._fields if name not in ordered]
    if missing:
        raise msgspec.ValidationError('Missing: {}.'.format(', '.join(missing)))
    return msgspec.convert([ordered[name] for name in shape._fields], shape)
