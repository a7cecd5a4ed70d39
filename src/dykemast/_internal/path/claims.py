"""Claim the key of a request that must run only once."""

from typing import Final

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.models.journal import Entry, EntryKind, Verdict
from dykemast._internal.models.requests import (
    RequestContext,
    Code,
    Ran,
    Refusal,
)
from dykemast._internal.path.parts import Parts, RefusedError
from dykemast._internal.utils.clock import read_time_of_day

#: Retry-After while the journal is unavailable.
UNAVAILABLE_RETRY_AFTER_S: Final = 5


async def claim(parts: Parts, context: RequestContext) -> Entry | None:
    """Claim the key of a request that may not be repeated.

    :param parts: shared components of the router.
    :param context: the request context.
    :returns: the recorded outcome, when an earlier attempt has one.
    :raises RefusedError: when the request must not run now.
    """
    entry = Entry(
        key=f'{context.workspace}|{context.key}',
        kind=EntryKind.claimed,
        run=context.request,
        at=read_time_of_day(),
    )
    try:
        ack = await parts.bills.claim(entry)
    except PlatformError as error:
        # The claim may still be written, for an attempt that never runs. A
        # retry then gets "may have run", which is safe.
        text = 'Calls that may not be repeated wait for the platform.'
        refusal = Refusal(
            Code.platform_away, text, retry_after=UNAVAILABLE_RETRY_AFTER_S
        )
        raise RefusedError(refusal) from error
    if ack.verdict == Verdict.ours:
        return None
    if ack.verdict == Verdict.finished:
        return ack.entry
    text = (
        'An earlier attempt with this key may have run; look before retrying.'
    )
    raise RefusedError(Refusal(Code.may_have_run, text, Ran.unknown))
