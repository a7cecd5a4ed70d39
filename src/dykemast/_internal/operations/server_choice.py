"""Which backend server gets a request."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple, TypeVar

#: Prompt tokens that a running stream slows a new one by: a step takes some
#: 2 % longer with each, over the some hundred tokens of an answer.
TOKENS_PER_RUNNING: Final = 250
#: Prompt tokens that an engine reads at a step, which makes one token of each
#: stream beside it. An event of three tokens bears two such steps; a longer
#: prompt holds up all three.
PIECE_TOKENS: Final = 2048
#: Tokens that a long prompt may wait for rather than make one stream late: one
#: that waits for six times as many is late itself, and loses six times as much.
TOKENS_PER_HARM: Final = 4400
#: Times that a shared part counts in addition when it has to be read: what
#: one engine keeps, another should not read again.
SHARED_FACTOR: Final = 3
#: Load by which a server of another hall must be lighter.
FAR_SLOTS: Final = 0.1
#: Trust that is taken for a server that always fails.
MIN_TRUST: Final = 0.05
#: Times the load of an engine whose slots are all taken.
FULL_FACTOR: Final = 4


class EngineOption(NamedTuple):
    """A model engine that could run a request.

    :param server: its id.
    :param running: requests that run there.
    :param slots: requests that it runs at once.
    :param unread: prompt tokens that it has to read before.
    :param missing: tokens of this prompt that it has to read.
    :param missing_shared: those of them that other prompts have as well.
    :param tokens_per_event: tokens that an event of its streams holds.
    :param pause_risk: how likely the pause of a stream beside a long prompt is
        too long there, from 0 to 1.
    :param trust: from 0, failing, to 1.
    """

    server: str
    running: int
    slots: int
    unread: int
    missing: int
    missing_shared: int
    tokens_per_event: int
    pause_risk: float
    trust: float


class ServiceOption(NamedTuple):
    """A plain server that could run a request.

    :param server: its id.
    :param running: requests that run there.
    :param slots: requests that it works on at once.
    :param near: whether it stands in the same hall.
    :param trust: from 0, failing, to 1.
    """

    server: str
    running: int
    slots: int
    near: bool
    trust: float


Option = TypeVar('Option', EngineOption, ServiceOption)


def choose_cheapest(
    options: Iterable[Option],
    measure_cost: Callable[[Option], float],
    chance: Callable[[], float],
) -> str | None:
    """Choose the server at which a request costs least.

    :param options: servers of one kind.
    :param measure_cost: measures what the request costs there.
    :param chance: draws from 0 to 1; settles draws.
    :returns: id of a server, or nothing when there is none.
    """
    best = min(
        options,
        key=lambda one: (measure_cost(one), chance()),
        default=None,
    )
    return best.server if best else None


def cost_engine(option: EngineOption) -> float:
    """Measure how long a request would wait, and keep others waiting.

    :param option: an engine.
    :returns: tokens, weighed by trust.
    """
    tokens = option.unread + option.missing
    tokens += SHARED_FACTOR * option.missing_shared
    tokens += TOKENS_PER_RUNNING * option.running
    tokens += TOKENS_PER_HARM * _count_late(option)
    if option.running >= option.slots:
        # It would wait for a slot, whatever it keeps.
        tokens *= FULL_FACTOR
    return tokens / max(MIN_TRUST, option.trust)


def _count_late(option: EngineOption) -> float:
    """Count the streams that the reading of a prompt would make late."""
    before = count_harmful(option.unread, option.tokens_per_event)
    whole = option.unread + option.missing
    after = count_harmful(whole, option.tokens_per_event)
    held_up = min(1, (after - before) / PIECE_TOKENS)
    return held_up * option.pause_risk * option.running


def count_harmful(unread: int, tokens_per_event: int) -> int:
    """Count the tokens to read beyond those that delay no event too long.

    Where there are none, nobody has to know how likely a long pause is, which
    is added up over what all routers have seen.

    :param unread: prompt tokens that an engine has to read.
    :param tokens_per_event: tokens that an event of its streams holds.
    :returns: tokens.
    """
    return max(0, unread - PIECE_TOKENS * (tokens_per_event - 1))


def cost_plain(option: ServiceOption) -> float:
    """Measure how busy a plain server is.

    :param option: a server.
    :returns: part of its slots, weighed by trust.
    """
    load = option.running / max(1, option.slots)
    if not option.near:
        load += FAR_SLOTS
    return (load + FAR_SLOTS) / max(MIN_TRUST, option.trust)
