"""Write operations of the administration API."""

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
    :param base: number of the revision that it is based on.
    :param submission: idempotency key of the submission.
    """

    text: str
    path: str = 'configuration'
    base: int = 0
    submission: str = ''


async def check(parts: AdminParts, request: Request) -> Any:
    """Check a configuration without submitting it.

    :param parts: shared components of the router.
    :param request: carries a :class:`Submission`.
    :returns: an empty list of findings; findings are raised as an error.
    """
    submitted = await _read_body(request, Submission)
    check_configuration(submitted.path, submitted.text)
    return {'findings': []}


async def compare_with_newest(parts: AdminParts, request: Request) -> Any:
    """Compare a configuration with the newest revision.

    :param parts: shared components of the router.
    :param request: carries a :class:`Submission`.
    :returns: the revision's number and the differences.
    """
    submitted = await _read_body(request, Submission)
    configuration = check_configuration(submitted.path, submitted.text)
    newest = await parts.store.read_newest()
    found = compare_configurations(newest.configuration, configuration)
    return {
        'revision': newest.number,
        'differences': [difference._asdict() for difference in found],
    }


async def submit(parts: AdminParts, request: Request) -> Any:
    """Make a configuration the next revision.

    :param parts: shared components of the router.
    :param request: carries a :class:`Submission`.
    :returns: the revision's number.
    """
    submitted = await _read_body(request, Submission)
    if not submitted.submission:
        raise msgspec.ValidationError('submission: a non-empty id is required.')
    configuration = check_configuration(submitted.path, submitted.text)
    number = await parts.store.submit(
        configuration, submitted.base, submitted.submission
    )
    return {'revision': number}


async def top_up(parts: AdminParts, request: Request) -> Any:
    """Add paid tokens to a budget, once per top-up id.

    :param parts: shared components of the router.
    :param request: carries a ``TopupIntent``.
    :returns: the budget after the top-up.
    """
    intent = await _read_body(request, TopupIntent)
    _check_topup(parts, intent)
    shards = parts.board.settings.get('budget_shards', 1)
    ledger = f'{PREFIX}{choose_shard(intent.budget, shards)}'
    ack = (await parts.keepers.commit(ledger, [intent]))[0]
    return {
        'budget': intent.budget,
        'paid': ack.paid,
        'unspent': ack.unspent,
    }


def _check_topup(parts: AdminParts, intent: TopupIntent) -> None:
    revision = parts.board.rules.revision
    workspaces = revision.configuration['workspaces'] if revision else []
    owner, _, name = intent.budget.partition('/')
    if not name or owner not in {one['name'] for one in workspaces}:
        text = f'no workspace for budget {intent.budget!r}; use WORKSPACE/NAME.'
        raise msgspec.ValidationError(text)
    if intent.tokens < 1 or not intent.topup:
        raise msgspec.ValidationError(
            f'top-up of {intent.tokens} tokens with id {intent.topup!r}: '
            'tokens must be above 0, and an id is required.'
        )


async def _read_body(request: Request, shape: Any) -> Any:
    body = await request.body()
    fields = msgspec.json.decode(body, type=dict[str, Any])
    known = [name for name in shape._fields if name in fields]
    # msgspec decodes named tuples from arrays; operators send fields by name.
    named = shape._field_defaults | {name: fields[name] for name in known}
    missing = [name for name in shape._fields if name not in named]
    if missing:
        raise msgspec.ValidationError(
            'missing fields: {}.'.format(', '.join(missing))
        )
    return msgspec.convert([named[name] for name in shape._fields], shape)
