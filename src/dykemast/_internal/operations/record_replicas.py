"""Choice of the routers that keep replicas of records, and write them.

All routers choose the same ones for a key, as far as they know the same live
routers, so that a replica is found without knowing who made the record.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from dykemast._internal.operations.rendezvous import rank_owners

#: Routers that write the records of all: their calls to the store do not grow
#: with the fleet.
MAX_WRITERS: Final = 8
#: Replicas of a record besides the router that made it: one other router may
#: be lost with it.
REPLICAS: Final = 2
#: Routers that are asked for a record: one more, since the live routers may
#: have changed after it was made.
MAX_ASKED: Final = 3
#: Fraction of the largest capacity from which on a router may write: links of
#: weak ones are narrow.
MIN_CAPACITY_SHARE: Final = 0.5
_TASK: Final = 'stream records'


class Candidate(NamedTuple):
    """A live router.

    :param name: its instance.
    :param capacity: requests per second that it can handle; 0 if not known.
    """

    name: str
    capacity: float


def choose_writers(candidates: Iterable[Candidate]) -> list[str]:
    """Choose the routers that write the records of all.

    :param candidates: the live routers.
    :returns: their names.
    """
    known = list(candidates)
    largest = max((one.capacity for one in known), default=0)
    strong = [
        one.name
        for one in known
        if one.capacity >= MIN_CAPACITY_SHARE * largest
    ]
    return rank_owners(_TASK, strong)[:MAX_WRITERS]


def rank_replicas(key: str, writers: Iterable[str], own: str) -> list[str]:
    """Rank the other routers that keep a replica of a record.

    :param key: key of the record.
    :param writers: names of the writers.
    :param own: name of this router.
    :returns: names, the first replica first.
    """
    return rank_owners(key, (name for name in writers if name != own))
