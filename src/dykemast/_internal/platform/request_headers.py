"""Header fields of callers' requests, and of sends to backend servers."""

from typing import Any, Final

from dykemast._internal.models.caller_request import CallerRequest, PromptPart
from dykemast._internal.models.forwarding import Forwarding
from dykemast._internal.platform import names

_ENCODING: Final = 'latin-1'
_MS: Final = 1000.0

Fields = list[tuple[str, str]]


def find_request_id(scope: Any) -> str:
    """Find the id that the caller gave a request.

    :param scope: ASGI scope.
    :returns: the id; empty when there is none.
    """
    wanted = names.ATTEMPT_ID.encode()
    for name, text in scope['headers']:
        if name == wanted:
            return text.decode(_ENCODING)
    return ''


def decode_request(scope: Any) -> CallerRequest:
    """Decode the head of a caller's request.

    :param scope: ASGI scope.
    :returns: the request.
    :raises ValueError: when a field makes no sense.
    """
    pairs = [
        (name.decode(_ENCODING), text.decode(_ENCODING))
        for name, text in scope['headers']
    ]
    fields = dict(pairs)
    prompt_tokens, output_tokens = _decode_tokens(fields.get(names.TOKENS))
    return CallerRequest(
        request_id=fields.get(names.ATTEMPT_ID, ''),
        method=scope['method'],
        host=fields.get('host', '').partition(':')[0].lower(),
        path=scope['path'],
        target=_decode_target(scope),
        key=_decode_key(fields.get(names.AUTHORIZATION, '')),
        patience=_decode_patience(fields.get(names.DEADLINE)),
        headers=_choose_passed_on(pairs, fields.get('connection', '')),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prompt=_decode_prompt(fields.get(names.PROMPT)),
        after_event=fields.get(names.LAST_EVENT, ''),
    )


def encode_forwarding(request: CallerRequest, added: Forwarding) -> Fields:
    """Make the header fields of a send to a backend server.

    :param request: the caller's request.
    :param added: what this router says.
    :returns: the fields.
    """
    left = max(1, int(added.seconds * _MS))
    own: Fields = [
        ('host', request.host),
        (names.EXPECTED_SERVER, added.server),
        (names.DEADLINE, str(left)),
    ]
    if added.workspace:
        own.append((names.WORKSPACE, added.workspace))
    if added.priority is not None:
        own.append((names.PRIORITY, str(added.priority)))
    if not added.after_event:
        return [*request.headers, *own]
    own.append((names.LAST_EVENT, added.after_event))
    kept = [pair for pair in request.headers if pair[0] != names.LAST_EVENT]
    return kept + own


def _choose_passed_on(pairs: Fields, connection: str) -> Fields:
    # Names listed in "Connection" concern this connection only, too.
    listed = {name.strip() for name in connection.lower().split(',')}
    left_out = names.HOP_FIELDS | names.OWN_FIELDS | listed
    return [pair for pair in pairs if pair[0] not in left_out]


def _decode_target(scope: Any) -> str:
    path = scope['raw_path'].decode(_ENCODING)
    query = scope['query_string'].decode(_ENCODING)
    return f'{path}?{query}' if query else path


def _decode_key(text: str) -> str:
    if text.lower().startswith(names.KEY_SCHEME):
        return text[len(names.KEY_SCHEME) :].strip()
    return ''


def _decode_patience(text: str | None) -> float | None:
    return None if text is None else int(text) / _MS


def _decode_tokens(text: str | None) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(',')
    return int(prompt), int(output)


def _decode_prompt(text: str | None) -> tuple[PromptPart, ...]:
    if not text:
        return ()
    parts = (part.partition(':') for part in text.split(','))
    return tuple(PromptPart(part[0], int(part[2])) for part in parts)
