"""Header fields of requests and answers."""

from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs

from dykemast._internal.models.caller_request import CallerRequest, PromptPart
from dykemast._internal.models.deployment import Endpoint

_ATTEMPT_ID: Final = 'x-attempt-id'
_DEADLINE: Final = 'x-deadline-ms'
_AUTHORIZATION: Final = 'authorization'
_TENANT: Final = 'x-tenant'
_EXPECTED: Final = 'x-expect-instance'
_PRIORITY: Final = 'x-request-priority'
_LAST_EVENT: Final = 'last-event-id'
_TOKENS: Final = 'x-token-usage'
_PROMPT: Final = 'x-prefix-hash'
_SEAL: Final = 'x-response-seal'
_NOT_RUN: Final = 'x-not-executed'
_SCHEME: Final = 'token '
_MS: Final = 1000.0
#: Fields that concern one connection only, or that this router sets.
_NOT_PASSED_ON: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        _AUTHORIZATION,
        _DEADLINE,
        _EXPECTED,
        _PRIORITY,
        _TENANT,
    )
)
#: Fields of an answer that concern one connection only.
_ANSWER_HOP: Final = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
#: Answer of a server that is not the one that was meant.
_MISDIRECTED: Final = 421


class Forwarding(NamedTuple):
    """What a send to a backend server adds to the caller's fields.

    :param server: id of the server that is meant.
    :param workspace: who spends; empty on a public route.
    :param seconds: time left.
    :param priority: 0 to 9, 0 first; None to leave it out.
    :param after_event: where a resumed stream goes on; empty for none.
    """

    server: str
    workspace: str
    seconds: float
    priority: int | None = None
    after_event: str = ''


class AnswerHead(NamedTuple):
    """Head of a backend server's answer.

    :param status: HTTP status.
    :param request_id: the request that it says it answers.
    :param sealed: whether the server signed it.
    :param not_run: whether the server says that it did not run the request.
    :param headers: fields to be passed on.
    :param delimited: whether a length or chunks show where the body ends.
    """

    status: int
    request_id: str
    sealed: bool
    not_run: bool
    headers: tuple[tuple[bytes, bytes], ...]
    delimited: bool


def find_request_id(scope: Any) -> str:
    """Find the id that the caller gave a request.

    :param scope: ASGI scope.
    :returns: the id; empty when there is none.
    """
    wanted = _ATTEMPT_ID.encode()
    for name, content in scope['headers']:
        if name == wanted:
            return content.decode('latin-1')
    return ''


def decode_request(scope: Any) -> CallerRequest:
    """Decode the head of a caller's request.

    :param scope: ASGI scope.
    :returns: the request.
    :raises ValueError: when a field makes no sense.
    """
    pairs = [
        (name.decode('latin-1'), content.decode('latin-1'))
        for name, content in scope['headers']
    ]
    fields = dict(pairs)
    prompt_tokens, output_tokens = _decode_tokens(fields.get(_TOKENS, ''))
    # Names listed in "Connection" concern this connection only.
    hop = {
        name.strip() for name in fields.get('connection', '').lower().split(',')
    }
    target = scope['raw_path'].decode('latin-1')
    if scope['query_string']:
        target += f'?{scope["query_string"].decode("latin-1")}'
    return CallerRequest(
        request_id=fields.get(_ATTEMPT_ID, ''),
        method=scope['method'],
        host=fields.get('host', '').partition(':')[0].lower(),
        path=scope['path'],
        target=target,
        key=_decode_key(fields.get(_AUTHORIZATION, '')),
        patience=_decode_patience(fields.get(_DEADLINE)),
        headers=tuple(
            pair
            for pair in pairs
            if pair[0] not in _NOT_PASSED_ON and pair[0] not in hop
        ),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prompt=_decode_prompt(fields.get(_PROMPT, '')),
        after_event=fields.get(_LAST_EVENT, ''),
    )


def encode_forwarding(
    request: CallerRequest,
    added: Forwarding,
) -> list[tuple[str, str]]:
    """Make the header fields of a send to a backend server.

    :param request: the caller's request.
    :param added: what this router says.
    :returns: the fields.
    """
    fields = [
        pair
        for pair in request.headers
        if not (added.after_event and pair[0] == _LAST_EVENT)
    ]
    fields.append(('host', request.host))
    fields.append((_EXPECTED, added.server))
    fields.append((_DEADLINE, str(max(1, int(added.seconds * _MS)))))
    if added.workspace:
        fields.append((_TENANT, added.workspace))
    if added.priority is not None:
        fields.append((_PRIORITY, str(added.priority)))
    if added.after_event:
        fields.append((_LAST_EVENT, added.after_event))
    return fields


def decode_answer(status: int, fields: Any) -> AnswerHead:
    """Decode the head of a backend server's answer.

    :param status: HTTP status.
    :param fields: its header fields.
    :returns: the head.
    """
    return AnswerHead(
        status=status,
        request_id=fields.get(_ATTEMPT_ID, ''),
        sealed=_SEAL in fields,
        not_run=_NOT_RUN in fields or status == _MISDIRECTED,
        headers=tuple(
            (name.lower().encode('latin-1'), content.encode('latin-1'))
            for name, content in fields.items()
            if name.lower() not in _ANSWER_HOP
        ),
        delimited='content-length' in fields or 'transfer-encoding' in fields,
    )


def decode_entry_name(scope: Any) -> str:
    """Decode the host name that a caller asks addresses for.

    :param scope: ASGI scope.
    :returns: the name; empty when there is none.
    """
    query = parse_qs(scope['query_string'].decode('latin-1'))
    return query.get('name', [''])[0]


def encode_entry(addresses: list[Endpoint], ttl: float) -> dict[str, Any]:
    """Make the answer that tells callers which addresses to use.

    :param addresses: the addresses.
    :param ttl: seconds for which the answer may be kept.
    :returns: the JSON document.
    """
    return {'addresses': [str(one) for one in addresses], 'ttlS': ttl}


def _decode_key(text: str) -> str:
    return (
        text[len(_SCHEME) :].strip() if text.lower().startswith(_SCHEME) else ''
    )


def _decode_patience(text: str | None) -> float | None:
    return None if text is None else int(text) / _MS


def _decode_tokens(text: str) -> tuple[int, int]:
    # "1460,80": tokens of the prompt, most tokens to come out.
    if not text:
        return 0, 0
    prompt, _, output = text.partition(',')
    return int(prompt), int(output)


def _decode_prompt(text: str) -> tuple[PromptPart, ...]:
    if not text:
        return ()
    parts = (part.partition(':') for part in text.split(','))
    return tuple(PromptPart(key, int(tokens)) for key, _, tokens in parts)
