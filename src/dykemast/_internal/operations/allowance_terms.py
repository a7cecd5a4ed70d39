"""Inputs for the row of one router in a budget."""

import math
from collections.abc import Set
from typing import NamedTuple


class Identity(NamedTuple):
    """Router process that owns a row.

    :param instance: name of the instance.
    :param incarnation: id that is new at each process start.
    """

    instance: str
    incarnation: str


class StoreEra(NamedTuple):
    """Era of the object store, which rises when it returns from a copy.

    :param number: the era.
    :param may_settle: whether all routers had time to write what they know.
    :param live: incarnations that had time to do so, with this one.
    :param latest: latest known incarnation of each instance, running or not.
    :param is_first: whether this process has seen no earlier era.
    :param began_at: seconds at which this process first saw it.
    :param unseen_s: seconds before that in which this router did not see what
        others wrote of the budget.
    """

    number: int = 0
    may_settle: bool = True
    live: Set[str] = frozenset()
    latest: Set[str] = frozenset()
    is_first: bool = False
    began_at: float = 0
    unseen_s: float = math.inf


class Terms(NamedTuple):
    """Bounds of a row, from the current configuration and fleet.

    :param version: version of the configuration.
    :param prepaid: tokens paid for.
    :param routers: number of routers that share the budget.
    :param era: era of the store.
    """

    version: int
    prepaid: int
    routers: int
    era: StoreEra = StoreEra()


class TokenRequest(NamedTuple):
    """Tokens that a row should allow beyond those consumed and held.

    :param pending: tokens that requests are waiting for.
    :param demand: recent demand, in tokens per second.
    :param spare: whether to keep spare tokens.
    """

    pending: int = 0
    demand: float = 0
    spare: bool = True


class Usage(NamedTuple):
    """Tokens that a router has used of a budget when it writes its row.

    :param spent: tokens known to be consumed.
    :param charged: tokens consumed, held or lent, less those borrowed.
    :param limit: upper bound of the tokens consumed, as confirmed by the store.
    """

    spent: int
    charged: int
    limit: int = 0
