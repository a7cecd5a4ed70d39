"""Header fields of callers' requests and of backend requests."""

from typing import Any, Final

from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.models.forwarding import ForwardingFields
from dykemast._internal.platform import names
from dykemast._internal.platform.caller_fields import (
    Fields,
    check_duplicates,
    check_path,
    choose_forwarded,
)
from dykemast._internal.platform.prompt_headers import (
    decode_timeout,
    decode_prompt,
    decode_tokens,
)

_ENCODING: Final = 'latin-1'
_MS: Final = 1000.0


def find_request_id(scope: Any) -> str:
    """Find the request id that the caller set.

    :param scope: ASGI scope.
    :returns: the id; empty when the caller set none.
    """
    wanted = names.ATTEMPT_ID.encode()
    for name, text in scope['headers']:
        if name == wanted:
            return _decode_text(text)
    return ''


def decode_request(scope: Any) -> CallerRequest:
    """Decode the head of a caller's request.

    :param scope: ASGI scope.
    :returns: the request.
    :raises ValueError: when a field is malformed or repeated.
    """
    pairs = [
        (name.decode(_ENCODING).lower(), _decode_text(text))
        for name, text in scope['headers']
    ]
    check_duplicates(pairs)
    check_path(scope['path'])
    fields = dict(pairs)
    tokens = decode_tokens(fields.get(names.TOKENS))
    return CallerRequest(
        request_id=fields.get(names.ATTEMPT_ID, ''),
        method=scope['method'],
        host=fields.get('host', '').partition(':')[0].lower(),
        path=scope['path'],
        target=_decode_target(scope),
        key=_decode_key(fields.get(names.AUTHORIZATION, '')),
        timeout_s=decode_timeout(fields.get(names.DEADLINE)),
        headers=choose_forwarded(pairs),
        prompt_tokens=tokens.prompt,
        output_tokens=tokens.output,
        prompt=decode_prompt(fields.get(names.PROMPT)),
        last_event_id=fields.get(names.LAST_EVENT, ''),
        first_request_id=fields.get(names.RESUMES, ''),
    )


def encode_forwarding(
    request: CallerRequest, added: ForwardingFields
) -> Fields:
    """Encode the header fields of a backend request.

    :param request: the caller's request.
    :param added: fields that this router sets.
    :returns: names and values of the header fields.
    """
    left = max(1, int(added.time_left_s * _MS))
    own: Fields = [
        ('host', request.host),
        (names.EXPECTED_SERVER, added.server),
        (names.DEADLINE, str(left)),
    ]
    if added.workspace:
        own.append((names.WORKSPACE, added.workspace))
    if added.priority is not None:
        own.append((names.PRIORITY, str(added.priority)))
    last_event_id = added.last_event_id or request.last_event_id
    if last_event_id:
        own.append((names.LAST_EVENT, last_event_id))
    return [*request.headers, *own]


def _decode_text(text: bytes) -> str:
    # Backend requests are encoded as UTF-8, so UTF-8 values are forwarded
    # unchanged.
    try:
        return text.decode()
    except UnicodeDecodeError:
        return text.decode(_ENCODING)


def _decode_target(scope: Any) -> str:
    path = scope['raw_path'].decode(_ENCODING)
    query = scope['query_string'].decode(_ENCODING)
    return f'{path}?{query}' if query else path


def _decode_key(text: str) -> str:
    if text.lower().startswith(names.KEY_SCHEME):
        return text[len(names.KEY_SCHEME) :].strip()
    return ''
