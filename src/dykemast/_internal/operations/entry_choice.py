"""Choice of the routers in an entry answer, by capacity and load."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.models.gossip import RouterLoad

#: Fraction of the largest capacity from which on a router counts as strong.
STRONG_SHARE: Final = 0.5
#: Weaker routers in one answer at least, in case all strong ones fail. Few,
#: because callers spread requests evenly over all addresses.
MIN_WEAK_ROUTERS: Final = 6


class EntryOption(NamedTuple):
    """A candidate for an entry answer.

    :param address: its address for callers.
    :param router_load: its request rate and capacity.
    :param region: its region.
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
    """Filter routers by the allowed regions of a host's routes.

    :param options: routers that accept requests.
    :param allowed_regions: regions that the requests of each route may be sent
        to.
    :param region: region of the caller, which is always allowed.
    :returns: routers of these regions; all routers if there is none, since
        then the region has an outage, and routers do not forward requests to
        other routers.
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
    max_addresses: int,
    sample: Sample,
) -> list[EntryOption]:
    """Choose the routers of one answer.

    Overloaded routers are left out while there are others, so that callers
    move away from them. Strong routers are always in the answer, with as many
    weaker ones at most, or MIN_WEAK_ROUTERS if that is more.

    :param options: routers that accept requests.
    :param max_addresses: highest number of addresses in the answer.
    :param sample: draws a number of elements of a sequence at random.
    :returns: the chosen routers.
    """
    available = [
        one for one in options if not one.router_load.exceeds_capacity()
    ] or options
    min_capacity = STRONG_SHARE * max(map(_get_capacity, available), default=0)
    strong = [one for one in available if _get_capacity(one) >= min_capacity]
    chosen = sample(strong, min(len(strong), max_addresses))
    weak = [one for one in available if _get_capacity(one) < min_capacity]
    return chosen + _draw_weak(weak, len(chosen), max_addresses, sample)


def _get_capacity(option: EntryOption) -> float:
    return option.router_load.capacity


def _draw_weak(
    weak: list[EntryOption],
    strong: int,
    max_addresses: int,
    sample: Sample,
) -> list[EntryOption]:
    wanted = max(MIN_WEAK_ROUTERS, strong)
    return sample(weak, min(wanted, max_addresses - strong, len(weak)))
