"""Texts of header fields that describe a prompt and a caller's patience."""

from typing import Final, NamedTuple

from dykemast._internal.models.caller_request import PromptPart

_MS: Final = 1000.0


class DeclaredTokens(NamedTuple):
    """What a caller declares of its request.

    :param prompt: tokens of the prompt.
    :param output: most tokens to come out.
    """

    prompt: int
    output: int


def decode_timeout(text: str | None) -> float | None:
    """Decode how long a caller will wait.

    :param text: milliseconds; None when the field is missing.
    :returns: seconds.
    :raises ValueError: when it makes no sense.
    """
    return None if text is None else int(text) / _MS


def decode_tokens(text: str | None) -> DeclaredTokens:
    """Decode the declared tokens.

    :param text: ``PROMPT,OUTPUT``; None when the field is missing.
    :returns: the tokens, 0 each when there are none.
    :raises ValueError: when it makes no sense.
    """
    if not text:
        return DeclaredTokens(0, 0)
    prompt, _, output = text.partition(',')
    return DeclaredTokens(int(prompt), int(output))


def decode_prompt(text: str | None) -> tuple[PromptPart, ...]:
    """Decode the parts of a prompt.

    :param text: ``KEY:TOKENS,...``; None when the field is missing.
    :returns: the parts in order.
    :raises ValueError: when it makes no sense.
    """
    if not text:
        return ()
    return tuple(map(_decode_part, text.split(',')))


def _decode_part(text: str) -> PromptPart:
    key, _, tokens = text.partition(':')
    return PromptPart(key, int(tokens))
