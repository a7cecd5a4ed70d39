"""Parse the headers that control how a request runs."""

from typing import Final

from starlette.datastructures import Headers

from dykemast._internal.models.requests import Code, Refusal
from dykemast._internal.path.parts import RefusedError

#: Upper bound of X-Deadline, and its default.
MAX_DEADLINE_S: Final = 600.0
#: Largest number of characters in a key.
MAX_KEY: Final = 200


def is_key(text: str) -> bool:
    """Check whether a text is a valid key.

    :param text: from a header.
    :returns: whether it is valid.
    """
    return len(text) <= MAX_KEY and text.isprintable()


def read_repeatable(headers: Headers, *, safe: bool) -> bool:
    """Read whether a request may be repeated.

    :param headers: of the request.
    :param safe: whether it may be repeated without the header.
    :returns: whether it may be repeated.
    :raises RefusedError: when the header is invalid.
    """
    mark = headers.get('x-repeatable', '').lower()
    if mark not in {'', 'yes', 'no'}:
        text = 'X-Repeatable is "yes" or "no".'
        raise RefusedError(Refusal(Code.bad_request, text))
    return mark == 'yes' or (not mark and safe)


def read_deadline(headers: Headers) -> float:
    """Read how long a request may take.

    :param headers: of the request.
    :returns: seconds.
    :raises RefusedError: when the header is invalid.
    """
    text = headers.get('x-deadline', str(MAX_DEADLINE_S))
    try:
        seconds = float(text)
    except ValueError as error:
        refusal = Refusal(Code.bad_request, 'X-Deadline is in seconds.')
        raise RefusedError(refusal) from error
    if not 0 < seconds <= MAX_DEADLINE_S:
        refusal = Refusal(
            Code.bad_request, f'X-Deadline is 0 to {MAX_DEADLINE_S} seconds.'
        )
        raise RefusedError(refusal)
    return seconds
