"""Decoding of header fields for the prompt and the caller's timeout."""

from typing import Final, NamedTuple

from dykemast._internal.models.caller_request import PromptPart

_MS: Final = 1000.0


class DeclaredTokens(NamedTuple):
    """Token counts that a caller declares for its request.

    :param prompt: tokens of the prompt.
    :param output: maximum number of output tokens.
    """

    prompt: int
    output: int


def decode_timeout(text: str | None) -> float | None:
    """Decode the time that a caller waits for the response.

    :param text: milliseconds; None when the field is missing.
    :returns: seconds.
    :raises ValueError: when the text is malformed.
    """
    return None if text is None else int(text) / _MS


def decode_tokens(text: str | None) -> DeclaredTokens:
    """Decode the declared token counts.

    :param text: ``PROMPT,OUTPUT``; None when the field is missing.
    :returns: the token counts; both 0 when none are declared.
    :raises ValueError: when the text is malformed.
    """
    if not text:
        return DeclaredTokens(0, 0)
    prompt, _, output = text.partition(',')
    return DeclaredTokens(int(prompt), int(output))


def decode_prompt(text: str | None) -> tuple[PromptPart, ...]:
    """Decode the parts of a prompt.

    :param text: ``KEY:TOKENS,...``; None when the field is missing.
    :returns: the parts in order.
    :raises ValueError: when the text is malformed.
    """
    if not text:
        return ()
    return tuple(map(_decode_part, text.split(',')))


def _decode_part(text: str) -> PromptPart:
    key, _, tokens = text.partition(':')
    return PromptPart(key, int(tokens))
