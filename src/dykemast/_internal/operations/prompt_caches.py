"""Which prompts each model engine is thought to keep, or should."""

import collections
from collections.abc import Collection, Iterable, Sequence
from typing import Final, NamedTuple

from dykemast._internal.models.caller_request import PromptPart
from dykemast._internal.models.gossip import SentPrompt
from dykemast._internal.operations.rendezvous import choose_owner

#: Prompts that are remembered to be told, and seconds for which they are: a
#: few rounds of news.
MAX_TOLD: Final = 64
TOLD_AGE: Final = 0.8
#: Tokens of an engine's cache until a request of this router tells.
DEFAULT_CAPACITY: Final = 400_000


class _Told(NamedTuple):
    at: float
    prompt: SentPrompt


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

    def record_prompt(self, prompt: Iterable[PromptPart]) -> None:
        """Note that the engine has read a prompt.

        :param prompt: its parts in order.
        """
        for part in prompt:
            self._used += part.tokens - self._parts.pop(part.key, 0)
            self._parts[part.key] = part.tokens
        while self._used > self._capacity and self._parts:
            self._used -= self._parts.popitem(last=False)[1]

    def count_cached(self, prompt: Iterable[PromptPart]) -> int:
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


class PromptCaches:
    """Estimated caches by engine, from what was sent here and elsewhere."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._caches: dict[str, PromptCache] = {}
        self._told: collections.deque[_Told] = collections.deque(
            maxlen=MAX_TOLD
        )

    def record_sent(
        self,
        server: str,
        prompt: Sequence[PromptPart],
        capacity: int,
        now: float,
    ) -> None:
        """Note that an engine now keeps a prompt that was sent here.

        :param server: its id.
        :param prompt: parts of the prompt in order.
        :param capacity: tokens that its cache holds.
        :param now: seconds.
        """
        self._open(server, capacity).record_prompt(prompt)
        keys = tuple(part.key for part in prompt)
        tokens = tuple(part.tokens for part in prompt)
        self._told.append(_Told(now, SentPrompt(server, keys, tokens)))

    def merge(self, prompts: Iterable[SentPrompt]) -> None:
        """Take what a peer tells.

        :param prompts: prompts that it sent.
        """
        for sent in prompts:
            parts = map(PromptPart, sent.parts, sent.tokens)
            self._open(sent.server, DEFAULT_CAPACITY).record_prompt(parts)

    def export(self, now: float) -> tuple[SentPrompt, ...]:
        """Tell the prompts that were sent lately.

        :param now: seconds.
        :returns: the prompts.
        """
        limit = now - TOLD_AGE
        return tuple(told.prompt for told in self._told if told.at > limit)

    def count_cached(self, server: str, prompt: Sequence[PromptPart]) -> int:
        """Count the tokens of a prompt that an engine is thought to keep.

        :param server: its id.
        :param prompt: parts of the prompt in order.
        :returns: tokens.
        """
        cache = self._caches.get(server)
        return cache.count_cached(prompt) if cache else 0

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget engines that are gone.

        :param servers: ids of those that are there.
        """
        for gone in set(self._caches) - set(servers):
            self._caches.pop(gone)

    def _open(self, server: str, capacity: int) -> PromptCache:
        cache = self._caches.get(server)
        if cache is None:
            cache = PromptCache(capacity)
            self._caches[server] = cache
        return cache


def choose_prefix_owner(
    prompt: Sequence[PromptPart],
    servers: Iterable[str],
) -> str | None:
    """Find the engine that should read the shared parts of a prompt.

    All routers find the same one without telling each other, so that a part
    which several of them meet at once is read by one engine.

    :param prompt: parts in order; the last is the request's own, or its
        session's.
    :param servers: ids of the engines that take requests.
    :returns: id of an engine; None when no part is shared.
    """
    shared = prompt[:-1]
    if not shared:
        return None
    return choose_owner(shared[-1].key, servers)
