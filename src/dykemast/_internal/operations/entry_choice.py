"""Which routers callers are told to use, where these are unequal."""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.models.news import Strain

#: Part of the largest capacity from which on a router counts as strong.
STRONG_SHARE: Final = 0.5
#: Weaker routers in one answer at least, so that callers who get it are not
#: left with none when the strong ones fail. Few, because callers choose among
#: the addresses evenly: of 64 that fit, six strong ones got a tenth.
MIN_WEAK: Final = 6


class EntryOption(NamedTuple):
    """A router that callers could be told to use.

    :param address: where it answers callers.
    :param strain: how much comes to it.
    """

    address: Endpoint
    strain: Strain


Sample = Callable[[Sequence[EntryOption], int], list[EntryOption]]


def choose_entries(
    options: Sequence[EntryOption],
    most: int,
    sample: Sample,
) -> list[EntryOption]:
    """Choose the routers of one answer.

    Routers that get more than they carry are left out, as long as there are
    others: callers then leave them. Where some are much stronger, these are
    always in the answer, with as many others at most.

    :param options: routers that take requests.
    :param most: how many fit.
    :param sample: draws some of a sequence.
    :returns: the chosen ones.
    """
    able = [one for one in options if not one.strain.is_exceeded()] or options
    least = STRONG_SHARE * max(map(_read_capacity, able), default=0)
    strong = [one for one in able if _read_capacity(one) >= least]
    chosen = sample(strong, min(len(strong), most))
    weak = [one for one in able if _read_capacity(one) < least]
    return chosen + _draw_weak(weak, len(chosen), most, sample)


def _read_capacity(option: EntryOption) -> float:
    return option.strain.capacity


def _draw_weak(
    weak: list[EntryOption],
    strong: int,
    most: int,
    sample: Sample,
) -> list[EntryOption]:
    wanted = max(MIN_WEAK, strong)
    return sample(weak, min(wanted, most - strong, len(weak)))
