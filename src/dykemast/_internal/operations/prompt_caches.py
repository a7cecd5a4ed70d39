"""Estimates of the prompts in the key-value cache of each model engine."""

import collections
from collections.abc import Collection, Iterable, Sequence
from typing import Final, NamedTuple

from dykemast._internal.models.caller_request import PromptPart
from dykemast._internal.models.gossip import SentPrompt
from dykemast._internal.operations.rendezvous import choose_owner

#: Bounds for the recent prompts that gossip messages carry: number, and age of
#: a few gossip rounds.
MAX_RECENT_PROMPTS: Final = 64
MAX_PROMPT_AGE_S: Final = 0.8
#: Assumed cache size of an engine that has no request of this router yet.
DEFAULT_CAPACITY_TOKENS: Final = 400_000


class _RecentPrompt(NamedTuple):
    at: float
    prompt: SentPrompt


class PromptCache:
    """Estimate of one engine's key-value cache.

    Evicts the least recently used parts first, as the engine does.

    :param capacity: size in tokens.
    """

    def __init__(self, capacity: int) -> None:
        """Start with an empty cache."""
        self._capacity = capacity
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._used = 0

    def record_prompt(self, prompt: Iterable[PromptPart]) -> None:
        """Record that the engine has prefilled a prompt.

        :param prompt: parts of the prompt in order.
        """
        for part in prompt:
            self._used += part.tokens - self._parts.pop(part.key, 0)
            self._parts[part.key] = part.tokens
        while self._used > self._capacity and self._parts:
            self._used -= self._parts.popitem(last=False)[1]

    def count_cached(self, prompt: Iterable[PromptPart]) -> int:
        """Count the tokens that need no prefill.

        A cached part counts only if all parts before it are cached as well.

        :param prompt: parts in order.
        :returns: tokens.
        """
        cached = 0
        for part in prompt:
            if part.key not in self._parts:
                break
            cached += part.tokens
        return cached


class PromptCaches:
    """Estimated caches by engine, from prompts sent by all routers."""

    def __init__(self) -> None:
        """Start without caches."""
        self._caches: dict[str, PromptCache] = {}
        self._recent: collections.deque[_RecentPrompt] = collections.deque(
            maxlen=MAX_RECENT_PROMPTS
        )

    def record_sent(
        self,
        server: str,
        prompt: Sequence[PromptPart],
        capacity: int,
        now: float,
    ) -> None:
        """Record a prompt that this router sent to an engine.

        :param server: its id.
        :param prompt: parts of the prompt in order.
        :param capacity: size of its cache in tokens.
        :param now: seconds on the monotonic clock.
        """
        self._get_or_create(server, capacity).record_prompt(prompt)
        keys = tuple(part.key for part in prompt)
        tokens = tuple(part.tokens for part in prompt)
        self._recent.append(
            _RecentPrompt(now, SentPrompt(server, keys, tokens))
        )

    def merge(self, prompts: Iterable[SentPrompt]) -> None:
        """Record prompts that a peer sent to engines.

        :param prompts: the prompts, as exported by the peer.
        """
        for sent in prompts:
            parts = map(PromptPart, sent.parts, sent.tokens)
            self._get_or_create(
                sent.server, DEFAULT_CAPACITY_TOKENS
            ).record_prompt(parts)

    def export(self, now: float) -> tuple[SentPrompt, ...]:
        """Export the prompts that this router sent recently, for peers.

        :param now: seconds on the monotonic clock.
        :returns: the prompts.
        """
        limit = now - MAX_PROMPT_AGE_S
        return tuple(
            recent.prompt for recent in self._recent if recent.at > limit
        )

    def count_cached(self, server: str, prompt: Sequence[PromptPart]) -> int:
        """Count the tokens of a prompt that an engine should have cached.

        :param server: its id.
        :param prompt: parts of the prompt in order.
        :returns: tokens.
        """
        cache = self._caches.get(server)
        return cache.count_cached(prompt) if cache else 0

    def keep_only(self, servers: Collection[str]) -> None:
        """Drop the caches of engines that are not listed any more.

        :param servers: ids of the listed engines.
        """
        for gone in set(self._caches) - set(servers):
            self._caches.pop(gone)

    def _get_or_create(self, server: str, capacity: int) -> PromptCache:
        cache = self._caches.get(server)
        if cache is None:
            cache = PromptCache(capacity)
            self._caches[server] = cache
        return cache


def choose_prefix_owner(
    prompt: Sequence[PromptPart],
    servers: Iterable[str],
) -> str | None:
    """Choose the engine that should prefill the shared prefix of a prompt.

    All routers choose the same engine without communication, so that only one
    engine prefills a prefix that several of them receive at the same time.

    :param prompt: parts in order; the last one belongs to the request or its
        session alone.
    :param servers: ids of the usable engines.
    :returns: id of an engine; None when the prompt has no shared part.
    """
    shared = prompt[:-1]
    if not shared:
        return None
    return choose_owner(shared[-1].key, servers)
