"""Which parts of prompts a model engine is thought to keep."""

import collections
from collections.abc import Iterable

from dykemast._internal.models.caller_request import PromptPart


class PromptCache:
    """Estimate of one engine's key-value cache.

    Parts unused the longest give way first, as they do in the engine.

    :param capacity: tokens that fit.
    """

    def __init__(self, capacity: int) -> None:
        """Start empty."""
        self._capacity = capacity
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._used = 0

    def note_prompt(self, prompt: Iterable[PromptPart]) -> None:
        """Note that the engine has read a prompt.

        :param prompt: its parts in order.
        """
        for part in prompt:
            self._used += part.tokens - self._parts.pop(part.key, 0)
            self._parts[part.key] = part.tokens
        while self._used > self._capacity and self._parts:
            self._used -= self._parts.popitem(last=False)[1]

    def count_kept(self, prompt: Iterable[PromptPart]) -> int:
        """Count the tokens that need not be read again.

        A part is of use only if all parts before it are kept as well.

        :param prompt: parts in order.
        :returns: tokens.
        """
        kept = 0
        for part in prompt:
            if part.key not in self._parts:
                break
            kept += part.tokens
        return kept
