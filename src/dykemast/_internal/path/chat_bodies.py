"""Parse and validate chat completion requests."""

import json
from typing import Any

from dykemast._internal.models.requests import Code, Refusal
from dykemast._internal.path.parts import RefusedError


def read_chat(body: bytes) -> dict[str, Any]:
    """Parse a chat completion request.

    :param body: as the caller sent it.
    :returns: its fields.
    :raises RefusedError: when it is invalid.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise refuse_bad(f'The body is not JSON: {error}.') from error
    problem = _find_problem(fields)
    if problem:
        raise refuse_bad(problem)
    return fields


def _find_problem(fields: Any) -> str:
    if not isinstance(fields, dict):
        return 'The body is an object.'
    if not isinstance(fields.get('model'), str):
        return '"model" is a text.'
    messages = fields.get('messages')
    if not isinstance(messages, list) or not messages:
        return '"messages" is a list of at least one message.'
    if not all(_is_message(message) for message in messages):
        return 'A message has a "role" and a "content" of text.'
    return '' if fields.get('n', 1) == 1 else '"n" above 1 is not served.'


def _is_message(message: Any) -> bool:
    if not isinstance(message, dict):
        return False
    texts = (message.get('role'), message.get('content'))
    return all(isinstance(text, str) for text in texts)


def refuse_bad(text: str) -> RefusedError:
    """Make the refusal of an invalid request.

    :param text: what is wrong.
    :returns: the error to raise.
    """
    return RefusedError(Refusal(Code.bad_request, text))
