"""Which routers callers are told to use, where these are unequal."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.models.gossip import RouterLoad

#: Part of the largest capacity from which on a router counts as strong.
STRONG_SHARE: Final = 0.5
#: Weaker routers in one answer at least, so that callers who get it are not
#: left with none when the strong ones fail. Few, because callers choose among
#: the addresses evenly: of 64 that fit, six strong ones got a tenth.
MIN_WEAK: Final = 6


class EntryOption(NamedTuple):
    """A router that callers could be told to use.

    :param address: where it answers callers.
    :param router_load: how much comes to it.
    :param region: where it stands.
    """

    address: Endpoint
    router_load: RouterLoad
    region: str = ''


Sample = Callable[[Sequence[EntryOption], int], list[EntryOption]]


def filter_by_region(
    options: Sequence[EntryOption],
    allowed_regions: Iterable[frozenset[str]],
    region: str,
) -> Sequence[EntryOption]:
    """Keep the routers that all routes of a host may be asked at.

    :param options: routers that take requests.
    :param allowed_regions: regions that the requests of each route stay in.
    :param region: the caller's own, which is never too far.
    :returns: routers of these regions; all while these have none, as such a
        region is in trouble, and no router sends a request on to another.
    """
    kept = [
        one
        for one in options
        if one.region == region
        or all(one.region in home for home in allowed_regions)
    ]
    return kept or options


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
    able = [
        one for one in options if not one.router_load.exceeds_capacity()
    ] or options
    least = STRONG_SHARE * max(map(_read_capacity, able), default=0)
    strong = [one for one in able if _read_capacity(one) >= least]
    chosen = sample(strong, min(len(strong), most))
    weak = [one for one in able if _read_capacity(one) < least]
    return chosen + _draw_weak(weak, len(chosen), most, sample)


def _read_capacity(option: EntryOption) -> float:
    return option.router_load.capacity


def _draw_weak(
    weak: list[EntryOption],
    strong: int,
    most: int,
    sample: Sample,
) -> list[EntryOption]:
    wanted = max(MIN_WEAK, strong)
    return sample(weak, min(wanted, most - strong, len(weak)))
