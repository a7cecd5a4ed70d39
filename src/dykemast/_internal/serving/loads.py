"""Requests at backend servers, of this router and of others."""

import collections
import time
from collections.abc import Sequence
from typing import Final, NamedTuple

from dykemast._internal.models.caller_request import PromptPart
from dykemast._internal.models.news import News, SentPrompt, ServerLoad
from dykemast._internal.operations.prompt_cache import PromptCache

#: Seconds after which what a peer told of its requests is forgotten.
PEER_LOAD_AGE: Final = 2.0
#: Prompts kept to be told to peers, and seconds for which they are told: a
#: few rounds of news.
MAX_TOLD: Final = 64
TOLD_AGE: Final = 0.8
#: Tokens of an engine's cache until the configuration tells.
DEFAULT_CAPACITY: Final = 400_000


class _Told(NamedTuple):
    sent_at: float
    prompt: SentPrompt


class _PeerLoads(NamedTuple):
    heard_at: float
    by_server: dict[str, ServerLoad]


class Loads:
    """Requests in progress by backend server, and what engines keep."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._running: collections.Counter[str] = collections.Counter()
        self._unread: collections.Counter[str] = collections.Counter()
        self._peers: dict[str, _PeerLoads] = {}
        self._caches: dict[str, PromptCache] = {}
        self._told: collections.deque[_Told] = collections.deque(
            maxlen=MAX_TOLD
        )

    def begin(self, server: str, unread: int) -> None:
        """Note a request that is being sent.

        :param server: id of the backend server.
        :param unread: prompt tokens that it has to read.
        """
        self._running[server] += 1
        self._unread[server] += unread

    def end_reading(self, server: str, unread: int) -> None:
        """Note that a prompt has been read, or given up.

        :param server: id of the backend server.
        :param unread: as it was given to ``begin``.
        """
        self._unread[server] -= unread

    def end(self, server: str) -> None:
        """Note that a request has ended.

        :param server: id of the backend server.
        """
        self._running[server] -= 1
        if not self._running[server]:
            self._running.pop(server)
            self._unread.pop(server, None)

    def note_prompt(
        self,
        server: str,
        prompt: Sequence[PromptPart],
        capacity: int,
    ) -> None:
        """Note that an engine now keeps a prompt.

        :param server: its id.
        :param prompt: parts of the prompt in order.
        :param capacity: tokens that its cache holds.
        """
        self._find_cache(server, capacity).note_prompt(prompt)
        keys = tuple(part.key for part in prompt)
        tokens = tuple(part.tokens for part in prompt)
        sent = SentPrompt(server, keys, tokens)
        self._told.append(_Told(time.monotonic(), sent))

    def count_kept(self, server: str, prompt: Sequence[PromptPart]) -> int:
        """Count the tokens of a prompt that an engine is thought to keep.

        :param server: its id.
        :param prompt: parts of the prompt in order.
        :returns: tokens.
        """
        cache = self._caches.get(server)
        return cache.count_kept(prompt) if cache else 0

    def measure(self, server: str) -> ServerLoad:
        """Add up what is known of a server's load.

        :param server: its id.
        :returns: the load, of all routers that were heard of lately.
        """
        running = self._running.get(server, 0)
        unread = self._unread.get(server, 0)
        limit = time.monotonic() - PEER_LOAD_AGE
        for peer in self._peers.values():
            load = peer.by_server.get(server)
            if load and peer.heard_at > limit:
                running += load.running
                unread += load.unread
        return ServerLoad(server, running, unread)

    def tell_loads(self) -> tuple[ServerLoad, ...]:
        """Describe this router's own requests.

        :returns: a line for each backend server.
        """
        return tuple(
            ServerLoad(server, running, max(0, self._unread.get(server, 0)))
            for server, running in self._running.items()
        )

    def tell_prompts(self) -> tuple[SentPrompt, ...]:
        """Describe the prompts sent lately.

        :returns: the prompts.
        """
        limit = time.monotonic() - TOLD_AGE
        return tuple(told.prompt for told in self._told if told.sent_at > limit)

    def take_news(self, news: News) -> None:
        """Use what a peer tells.

        :param news: its news.
        """
        by_server = {load.server: load for load in news.loads}
        self._peers[news.card.instance] = _PeerLoads(
            time.monotonic(), by_server
        )
        for sent in news.prompts:
            parts = map(PromptPart, sent.parts, sent.tokens)
            self._find_cache(sent.server, DEFAULT_CAPACITY).note_prompt(parts)

    def forget_server(self, server: str) -> None:
        """Forget a backend server that is gone.

        :param server: its id.
        """
        self._caches.pop(server, None)

    def _find_cache(self, server: str, capacity: int) -> PromptCache:
        cache = self._caches.get(server)
        if cache is None:
            cache = PromptCache(capacity)
            self._caches[server] = cache
        return cache
