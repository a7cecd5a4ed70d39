"""Cost functions for the choice of a backend server."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple, TypeVar

#: Cost of a running stream, in prompt tokens: each makes a decoding step a
#: little longer.
TOKENS_PER_RUNNING_STREAM: Final = 250
#: Prompt tokens that an engine prefills in one step, which also decodes one
#: token of each running stream. A longer prompt delays several of these.
PREFILL_CHUNK_TOKENS: Final = 2048
#: Prompt tokens that a long prompt waits for rather than delay one stream
#: beyond its objective: one that waits for far more misses its own objective.
TOKENS_PER_LATE_STREAM: Final = 4400
#: Additional weight of shared tokens without a cache entry: what one engine has
#: cached, another one should not prefill again.
SHARED_PREFIX_FACTOR: Final = 3
#: Additional load, in slots per slot, of a server in another hall.
REMOTE_HALL_LOAD: Final = 0.1
#: Lower bound of the health score, for servers that always fail.
MIN_HEALTH: Final = 0.05
#: Factor on the cost of an engine without a free slot.
FULL_COST_FACTOR: Final = 4


class EngineOption(NamedTuple):
    """A model engine that can run a request.

    :param server: its id.
    :param running: requests that run there.
    :param slots: requests that it runs concurrently.
    :param unread: prompt tokens of other requests that it still has to prefill.
    :param uncached: tokens of this prompt that are not in its cache.
    :param uncached_shared: those of them in parts that other prompts share.
    :param tokens_per_event: tokens in one event of its streams.
    :param pause_risk: probability from 0 to 1 that the prefill of a long prompt
        makes the pause of a stream too long there.
    :param health: health score, from 0 (failing) to 1.
    """

    server: str
    running: int
    slots: int
    unread: int
    uncached: int
    uncached_shared: int
    tokens_per_event: int
    pause_risk: float
    health: float


class ServiceOption(NamedTuple):
    """A backend server without a model engine that can run a request.

    :param server: its id.
    :param running: requests that run there.
    :param slots: requests that it runs concurrently.
    :param same_hall: whether it is in the hall of this router.
    :param health: health score, from 0 (failing) to 1.
    """

    server: str
    running: int
    slots: int
    same_hall: bool
    health: float


Option = TypeVar('Option', EngineOption, ServiceOption)


def choose_cheapest(
    options: Iterable[Option],
    compute_cost: Callable[[Option], float],
    draw: Callable[[], float],
) -> str | None:
    """Choose the server with the lowest cost.

    :param options: servers of one kind.
    :param compute_cost: computes the cost of the request at a server.
    :param draw: random number from 0 to 1, to break ties.
    :returns: id of a server; None without options.
    """
    best = min(
        options,
        key=lambda one: (compute_cost(one), draw()),
        default=None,
    )
    return best.server if best else None


def compute_engine_cost(option: EngineOption) -> float:
    """Compute the delay of a request at an engine, and of others by it.

    :param option: an engine.
    :returns: prompt tokens, divided by the health score.
    """
    tokens = option.unread + option.uncached
    tokens += SHARED_PREFIX_FACTOR * option.uncached_shared
    tokens += TOKENS_PER_RUNNING_STREAM * option.running
    tokens += TOKENS_PER_LATE_STREAM * _estimate_late_streams(option)
    if option.running >= option.slots:
        # The request waits for a slot, whatever is cached.
        tokens *= FULL_COST_FACTOR
    return tokens / max(MIN_HEALTH, option.health)


def _estimate_late_streams(option: EngineOption) -> float:
    """Estimate how many streams the prefill delays beyond their objective."""
    before = count_delaying_tokens(option.unread, option.tokens_per_event)
    whole = option.unread + option.uncached
    after = count_delaying_tokens(whole, option.tokens_per_event)
    delayed = min(1, (after - before) / PREFILL_CHUNK_TOKENS)
    return delayed * option.pause_risk * option.running


def count_delaying_tokens(unread: int, tokens_per_event: int) -> int:
    """Count the tokens to prefill beyond those that delay no event too long.

    Without such tokens callers skip the pause risk, which is a sum over the
    observations of all routers.

    :param unread: prompt tokens that an engine has to prefill.
    :param tokens_per_event: tokens in one event of its streams.
    :returns: tokens.
    """
    return max(0, unread - PREFILL_CHUNK_TOKENS * (tokens_per_event - 1))


def compute_plain_cost(option: ServiceOption) -> float:
    """Compute the load of a server without a model engine.

    :param option: a server.
    :returns: used part of its slots, divided by the health score.
    """
    load = option.running / max(1, option.slots)
    if not option.same_hall:
        load += REMOTE_HALL_LOAD
    return (load + REMOTE_HALL_LOAD) / max(MIN_HEALTH, option.health)
